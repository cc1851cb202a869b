//! An in-memory directory of workers and queues.

use std::time::Duration;

use async_trait::async_trait;
use jackdawchute_cell::{ConfigurationUpdate, Directory, Result, Routes, WorkersUpdate};
use jackdawchute_scheduler::WorkerEntry;
use tokio::sync::watch;

use super::access::Access;

/// A directory with a fixed list of workers and a configuration that a test can replace.
#[derive(Clone, Debug)]
pub struct MemoryDirectory {
    workers: Vec<WorkerEntry>,
    routes: watch::Receiver<Routes>,
    access: Access,
}

impl MemoryDirectory {
    /// Returns the directory handle of one instance; `routes` delivers the configuration.
    pub fn new(workers: Vec<WorkerEntry>, routes: watch::Receiver<Routes>) -> Self {
        Self {
            workers,
            routes,
            access: Access::default(),
        }
    }

    /// Denies this instance access until called with `false`.
    pub fn deny(&self, denied: bool) {
        self.access.set_denied(denied);
    }
}

#[async_trait]
impl Directory for MemoryDirectory {
    async fn workers(&self, after: Option<u64>, wait: Duration) -> Result<WorkersUpdate> {
        self.access.check("read workers")?;
        if after.is_some() {
            tokio::time::sleep(wait).await;
            return Ok(WorkersUpdate::Changed(Vec::new(), 1));
        }
        Ok(WorkersUpdate::All(self.workers.clone(), 1))
    }

    async fn configuration(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<ConfigurationUpdate> {
        self.access.check("read configuration")?;
        let mut routes = self.routes.clone();
        let known = after.unwrap_or(0);
        let newer = routes.wait_for(|routes| routes.version > known);
        let outcome = tokio::time::timeout(wait, newer).await;
        self.access.check("read configuration")?;
        match outcome {
            Ok(Ok(routes)) => Ok(ConfigurationUpdate::Current(routes.clone(), routes.version)),
            _ => Ok(ConfigurationUpdate::Unchanged(known)),
        }
    }
}
