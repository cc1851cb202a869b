//! The queues of the configuration and the paths at which callers reach them.

use jackdawchute_scheduler::QueuePolicy;
use jackdawchute_tenants::{access, Access, Tenant};
use jackdawchute_types::ConfigurationVersion;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A queue and the host and path at which callers reach it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRoute {
    /// The host name in callers' requests, without a port.
    pub host: SmolStr,
    /// The prefix of the paths that belong to the queue.
    pub path_prefix: SmolStr,
    /// Whether callers need no key of a tenant.
    #[serde(default)]
    pub public: bool,
    /// The queue's name and scheduling policy.
    pub policy: QueuePolicy,
}

/// The queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routes {
    /// The version of the configuration; 0 before the first is known.
    pub version: ConfigurationVersion,
    /// All queues of the configuration, in its order.
    pub queues: Vec<QueueRoute>,
    /// The tenants with their keys, caps and shares; `None` where the configuration names none, so that
    /// callers need no key.
    #[serde(default)]
    pub tenants: Option<Vec<Tenant>>,
    /// The largest request body that callers may send, in bytes.
    pub body_bytes_max: u64,
}

impl Routes {
    /// Returns the queue with the longest matching prefix for a host and path.
    ///
    /// ```
    /// assert!(jackdawchute_cell::Routes::default().find("host", "/path").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&QueueRoute> {
        self.queues
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.path_prefix.as_str()))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the queue with this name, if the configuration has it.
    pub(crate) fn queue(&self, name: &str) -> Option<&QueueRoute> {
        self.queues.iter().find(|route| route.policy.queue == name)
    }

    /// Decides whether a call to a queue may go on that presented a key, or none.
    ///
    /// ```
    /// use jackdawchute_cell::Routes;
    /// use jackdawchute_tenants::{Access, Caller};
    ///
    /// // A configuration without tenants asks for no key.
    /// let access = Routes::default().access(false, None);
    /// assert_eq!(access, Access::Granted(Caller::default()));
    /// ```
    pub fn access(&self, public: bool, presented: Option<&str>) -> Access {
        access(public, self.tenants.as_deref(), self.version, presented)
    }
}
