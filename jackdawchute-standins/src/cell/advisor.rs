//! Advisors that allow every worker.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use jackdawchute_cell::{Advisor, Error, Result};
use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest};

/// Allows every worker after the expected time.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryAdvisor;

#[async_trait]
impl Advisor for MemoryAdvisor {
    async fn advise(&self, request: &AdviceRequest, _timeout: Duration) -> Result<AdviceAnswer> {
        tokio::time::sleep(request.expected).await;
        Ok(allow_all(request))
    }
}

/// Answers one question at a time in their order, also those that were given up.
#[derive(Clone, Debug)]
pub struct SerialAdvisor {
    free_at: Arc<Mutex<Instant>>,
}

impl SerialAdvisor {
    /// An advisor that first answers questions of others for some time.
    ///
    /// ```
    /// use jackdawchute_standins::cell::SerialAdvisor;
    ///
    /// let advisor = SerialAdvisor::busy_for(std::time::Duration::from_secs(3));
    /// # drop(advisor);
    /// ```
    pub fn busy_for(backlog: Duration) -> Self {
        Self {
            free_at: Arc::new(Mutex::new(Instant::now() + backlog)),
        }
    }

    /// Takes a question in and tells when its answer is there.
    fn answered_at(&self, expected: Duration) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + expected;
        *free_at
    }
}

#[async_trait]
impl Advisor for SerialAdvisor {
    async fn advise(&self, request: &AdviceRequest, timeout: Duration) -> Result<AdviceAnswer> {
        let answered = tokio::time::sleep_until(self.answered_at(request.expected).into());
        match tokio::time::timeout(timeout, answered).await {
            Ok(()) => Ok(allow_all(request)),
            Err(_) => Err(Error::Unknown(
                "advise",
                "advisor".to_owned(),
                "no answer in time".to_owned(),
            )),
        }
    }
}

fn allow_all(request: &AdviceRequest) -> AdviceAnswer {
    let allowed = request.workers.iter();
    AdviceAnswer {
        allowed: allowed.map(|worker| (worker.clone(), "t".into())).collect(),
    }
}
