//! The lists of workers and queues, in memory.

use std::time::Duration;

use async_trait::async_trait;
use jackdawchute_cell::{ConfigurationUpdate, Directory, Result, Routes, WorkersUpdate};
use jackdawchute_scheduler::WorkerEntry;
use tokio::sync::watch;

use super::door::Door;

/// Lists that do not change, but for the configuration.
#[derive(Clone, Debug)]
pub struct MemoryDirectory {
    workers: Vec<WorkerEntry>,
    routes: watch::Receiver<Routes>,
    door: Door,
}

impl MemoryDirectory {
    /// The lists for one instance.
    pub fn new(workers: Vec<WorkerEntry>, routes: watch::Receiver<Routes>) -> Self {
        Self {
            workers,
            routes,
            door: Door::default(),
        }
    }

    /// Turns this instance away from now on, or serves it again.
    pub fn deny(&self, denied: bool) {
        self.door.shut(denied);
    }
}

#[async_trait]
impl Directory for MemoryDirectory {
    async fn workers(&self, after: Option<u64>, wait: Duration) -> Result<WorkersUpdate> {
        self.door.pass("read workers")?;
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
        self.door.pass("read configuration")?;
        let mut routes = self.routes.clone();
        let known = after.unwrap_or(0);
        let newer = routes.wait_for(|routes| routes.version > known);
        let outcome = tokio::time::timeout(wait, newer).await;
        self.door.pass("read configuration")?;
        match outcome {
            Ok(Ok(routes)) => Ok(ConfigurationUpdate::Current(routes.clone(), routes.version)),
            _ => Ok(ConfigurationUpdate::Unchanged(known)),
        }
    }
}
