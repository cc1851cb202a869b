//! Follows the operators' configuration, and knows when it was confirmed last.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use jackdawchute_peer::PeerClient;
use jackdawchute_timer::{boot_time, BootTime};
use jackdawchute_types::whole_ms;
use spdlog::{info, warn};
use tokio::sync::watch;

use crate::{
    election::LeaderView,
    messages::{CellAnswer, CellCall, SLICE},
    reachability::Reachability,
    settings::{FOLLOW_PAUSE, FOLLOW_WAIT, HEARTBEAT_TIMEOUT},
    ConfigurationUpdate, Directory, Metrics, Routes,
};

/// The age of the last confirmation up to which a configuration shows that a key does not exist:
/// the longest time between two confirmations by a store that answers, and what an answer takes.
const CONFIRMATION_AGE_MAX: Duration = FOLLOW_WAIT.saturating_add(HEARTBEAT_TIMEOUT);
/// After what time a caller may try again whose key could not be checked: by then the store or the
/// leader has been asked several times.
const UNCHECKED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a key shows that the configuration in use does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// No tenant has the key.
    Final,
    /// A newer configuration may have the key.
    Undecided {
        /// After what time the caller may try again.
        retry_after: Duration,
    },
}

/// When the configuration in use was last confirmed as the newest; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfirmedConfiguration {
    /// By the boot clock, in milliseconds; 0 before the first time.
    confirmed_at_ms: Arc<AtomicU64>,
}

impl ConfirmedConfiguration {
    /// Records that a configuration as of `at` is in use.
    pub(crate) fn confirm(&self, at: BootTime) {
        self.confirmed_at_ms
            .fetch_max(whole_ms(at), Ordering::Relaxed);
    }

    /// Returns how long ago the configuration in use was confirmed.
    pub(crate) fn age(&self, now: BootTime) -> Duration {
        now.saturating_sub(Duration::from_millis(
            self.confirmed_at_ms.load(Ordering::Relaxed),
        ))
    }

    /// Returns what a key shows that the configuration in use does not know.
    pub(crate) fn denial(&self, now: BootTime) -> Denial {
        if self.age(now) <= CONFIRMATION_AGE_MAX {
            Denial::Final
        } else {
            Denial::Undecided {
                retry_after: UNCHECKED_RETRY_AFTER,
            }
        }
    }
}

/// The sources of the configuration and the channel on which it is published.
pub(crate) struct ConfigurationFollower {
    pub(crate) confirmed: ConfirmedConfiguration,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) peers: PeerClient,
    pub(crate) view: watch::Receiver<LeaderView>,
    pub(crate) routes: watch::Sender<Routes>,
    pub(crate) metrics: Metrics,
}

impl ConfigurationFollower {
    /// Publishes a configuration if its version is higher than that in use.
    fn apply(&self, newest: Routes, source: &'static str) {
        if newest.version > self.routes.borrow().version {
            info!("configuration applied", kv: {
                version = newest.version, queues = newest.queues.len(), source = source
            });
            self.metrics.set_configuration_version(newest.version);
            self.routes.send_replace(newest);
        }
    }

    /// Applies the leader's configuration, while this instance cannot read that of the store.
    async fn fetch_from_leader(&self) {
        let address = {
            let view = self.view.borrow();
            let row = view.row.as_ref().filter(|_| view.local.is_none());
            row.map(|row| row.record.address)
        };
        // A leader that cannot read the configuration learns nothing from itself.
        let Some(address) = address else {
            return;
        };
        let call = CellCall::Configuration;
        let sent_at = boot_time();
        let answer = self
            .peers
            .call(address, SLICE, &call, HEARTBEAT_TIMEOUT)
            .await;
        match answer {
            Ok(CellAnswer::Configuration {
                routes,
                confirmed_ms_ago,
            }) => {
                self.apply(routes, "peer");
                if let Some(age_ms) = confirmed_ms_ago {
                    let age = Duration::from_millis(age_ms);
                    self.confirmed.confirm(sent_at.saturating_sub(age));
                }
            }
            Ok(_) => {}
            Err(error) => warn!("configuration cannot be read from the leader", kv: {
                peer: = address, cause: = error
            }),
        }
    }
}

/// Follows the configuration and publishes each higher version, until all receivers are dropped.
pub(crate) async fn follow_configuration(follower: ConfigurationFollower) {
    let mut after = None;
    // Whether the store has a configuration that could not be read and may be newer.
    let mut unreadable = false;
    let mut reachability = Reachability::new("configuration");
    while !follower.routes.is_closed() {
        let update = follower.directory.configuration(after, FOLLOW_WAIT).await;
        reachability.record(update.is_ok());
        match update {
            Ok(ConfigurationUpdate::Current(newest, version)) => {
                after = Some(version);
                unreadable = false;
                follower.apply(newest, "store");
                follower.confirmed.confirm(boot_time());
            }
            Ok(ConfigurationUpdate::Unchanged(version)) => {
                after = Some(version);
                if !unreadable {
                    follower.confirmed.confirm(boot_time());
                }
            }
            Ok(ConfigurationUpdate::Unreadable(version)) => {
                after = Some(version);
                unreadable = true;
            }
            Ok(ConfigurationUpdate::HistoryLost) => after = None,
            Err(_) => {
                // A change may have been missed, so the whole configuration is read next.
                after = None;
                follower.fetch_from_leader().await;
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
        }
    }
}
