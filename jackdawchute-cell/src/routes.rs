//! Which queue a call is for.

use jackdawchute_scheduler::QueuePolicy;
use jackdawchute_types::ConfigurationVersion;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Where callers reach a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRoute {
    /// The host that callers name.
    pub host: SmolStr,
    /// What their paths begin with.
    pub path_prefix: SmolStr,
    /// The queue.
    pub policy: QueuePolicy,
}

/// The queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routes {
    /// The version.
    pub version: ConfigurationVersion,
    /// The queues.
    pub queues: Vec<QueueRoute>,
    /// The largest request body in bytes.
    pub body_bytes_max: u64,
}

impl Routes {
    /// Finds the queue with the longest prefix for a host and path.
    ///
    /// ```
    /// assert!(jackdawchute_cell::Routes::default().find("host", "/path").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&QueueRoute> {
        self.queues
            .iter()
            .filter(|it| it.host == host && path.starts_with(it.path_prefix.as_str()))
            .max_by_key(|it| it.path_prefix.len())
    }

    /// Whether the queue exists.
    pub(crate) fn has_queue(&self, queue: &str) -> bool {
        self.queues.iter().any(|it| it.policy.queue == queue)
    }
}
