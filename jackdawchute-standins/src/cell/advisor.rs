//! In-memory advisors that allow every worker.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use jackdawchute_cell::{Advisor, Error, Result};
use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest};

use super::MemoryWorkers;

/// Answers each advice request after its expected time, in parallel.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryAdvisor;

#[async_trait]
impl Advisor for MemoryAdvisor {
    async fn advise(&self, request: &AdviceRequest, _timeout: Duration) -> Result<AdviceAnswer> {
        tokio::time::sleep(request.expected).await;
        Ok(allow_all(request))
    }
}

/// Answers as [`MemoryAdvisor`] does, with tickets that only the present incarnations of the workers
/// accept.
#[derive(Clone, Debug)]
pub struct TicketAdvisor {
    workers: MemoryWorkers,
}

impl TicketAdvisor {
    /// Returns an advisor that gives out tickets for these workers.
    ///
    /// ```
    /// use jackdawchute_standins::cell::{MemoryWorkers, TicketAdvisor};
    ///
    /// let workers = MemoryWorkers::new(1, std::time::Duration::from_millis(10));
    /// let advisor = TicketAdvisor::new(workers);
    /// # drop(advisor);
    /// ```
    pub fn new(workers: MemoryWorkers) -> Self {
        Self { workers }
    }
}

#[async_trait]
impl Advisor for TicketAdvisor {
    async fn advise(&self, request: &AdviceRequest, _timeout: Duration) -> Result<AdviceAnswer> {
        tokio::time::sleep(request.expected).await;
        let named = request.workers.iter();
        let allowed = named.filter_map(|worker| {
            let ticket = self.workers.ticket(worker)?;
            Some((worker.clone(), ticket.into()))
        });
        Ok(AdviceAnswer {
            allowed: allowed.collect(),
        })
    }
}

/// Answers advice requests one at a time in order of arrival, including those whose caller has
/// timed out.
#[derive(Clone, Debug)]
pub struct SerialAdvisor {
    free_at: Arc<Mutex<Instant>>,
}

impl SerialAdvisor {
    /// Returns an advisor that is first busy with other callers' requests for the time `backlog`.
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

    /// Queues a request and returns when its answer will be ready.
    fn enqueue(&self, expected: Duration) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + expected;
        *free_at
    }
}

#[async_trait]
impl Advisor for SerialAdvisor {
    async fn advise(&self, request: &AdviceRequest, timeout: Duration) -> Result<AdviceAnswer> {
        let answered = tokio::time::sleep_until(self.enqueue(request.expected).into());
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
