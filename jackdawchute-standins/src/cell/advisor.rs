//! An advisor that allows every worker.

use std::time::Duration;

use async_trait::async_trait;
use jackdawchute_cell::{Advisor, Result};
use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest};

/// Allows every worker after the expected time.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryAdvisor;

#[async_trait]
impl Advisor for MemoryAdvisor {
    async fn advise(&self, request: &AdviceRequest, _timeout: Duration) -> Result<AdviceAnswer> {
        tokio::time::sleep(request.expected).await;
        let allowed = request.workers.iter();
        Ok(AdviceAnswer {
            allowed: allowed.map(|worker| (worker.clone(), "t".into())).collect(),
        })
    }
}
