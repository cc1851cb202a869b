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

    /// Leaves all calls of this instance without effect and answer until called with `false`, as a
    /// network that loses them.
    pub fn silence(&self, silent: bool) {
        self.access.set_silent(silent);
    }
}

#[async_trait]
impl Directory for MemoryDirectory {
    async fn workers(&self, after: Option<u64>, wait: Duration) -> Result<WorkersUpdate> {
        self.access.pass_call("read workers").await?;
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
        let update = match tokio::time::timeout(wait, changed).await {
            Ok(Ok(entries)) => WorkersUpdate::All(entries.clone(), version_of(&entries)),
            _ => WorkersUpdate::Changed(Vec::new(), after.unwrap_or(0)),
        };
        self.access.pass_call("read workers").await?;
        Ok(update)
    }

    async fn configuration(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<ConfigurationUpdate> {
        self.access.pass_call("read configuration").await?;
        let mut routes = self.routes.clone();
        let known = after.unwrap_or(0);
        let newer = routes.wait_for(|routes| routes.version > known);
        let update = match tokio::time::timeout(wait, newer).await {
            Ok(Ok(routes)) => ConfigurationUpdate::Current(routes.clone(), routes.version),
            _ => ConfigurationUpdate::Unchanged(known),
        };
        self.access.pass_call("read configuration").await?;
        Ok(update)
    }
}
