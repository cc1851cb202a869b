//! An in-memory directory of workers and queues.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_cell::{ConfigurationUpdate, Directory, Result, Routes, WorkersUpdate};
use jackdawchute_scheduler::WorkerEntry;
use tokio::sync::watch;

use super::access::Access;

/// A directory with a list of workers and a configuration that a test can replace.
#[derive(Clone, Debug)]
pub struct MemoryDirectory {
    workers: watch::Receiver<Vec<WorkerEntry>>,
    routes: watch::Receiver<Routes>,
    access: Access,
}

impl MemoryDirectory {
    /// Returns the directory handle of one instance; `workers` delivers the list of workers, and
    /// `routes` the configuration.
    pub fn new(
        workers: watch::Receiver<Vec<WorkerEntry>>,
        routes: watch::Receiver<Routes>,
    ) -> Self {
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
        let mut workers = self.workers.clone();
        workers.mark_unchanged();
        // The list is versioned by its content alone, so that a change between two calls shows too.
        let version_of = |entries: &Vec<WorkerEntry>| {
            let mut hasher = DefaultHasher::new();
            format!("{entries:?}").hash(&mut hasher);
            hasher.finish()
        };
        let changed =
            workers.wait_for(|entries| after.is_none_or(|known| known != version_of(entries)));
        let outcome = tokio::time::timeout(wait, changed).await;
        self.access.check("read workers")?;
        Ok(match outcome {
            Ok(Ok(entries)) => WorkersUpdate::All(entries.clone(), version_of(&entries)),
            _ => WorkersUpdate::Changed(Vec::new(), after.unwrap_or(0)),
        })
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
