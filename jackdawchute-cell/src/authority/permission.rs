//! The permission that each order checks when it is sent.

use std::sync::Arc;

use jackdawchute_timer::{boot_time, BootTime};
use tokio::sync::watch;

/// Tells the calls of a leader until when it may act; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Permission {
    /// `None` once it is revoked, which is final.
    until: Arc<watch::Sender<Option<BootTime>>>,
}

impl Permission {
    pub(crate) fn new(until: BootTime) -> Self {
        Self {
            until: Arc::new(watch::Sender::new(Some(until))),
        }
    }

    /// Sets until when the leader may act, unless the permission is revoked.
    pub(crate) fn set(&self, until: BootTime) {
        self.until.send_if_modified(|current| {
            let changed = current.is_some_and(|known| known != until);
            if changed {
                *current = Some(until);
            }
            changed
        });
    }

    /// Ends the permission for good.
    pub(crate) fn revoke(&self) {
        self.until.send_replace(None);
    }

    /// Returns whether the leader may act now; the clock counts the time for which the machine was
    /// suspended.
    pub(crate) fn is_valid(&self) -> bool {
        self.until.borrow().is_some_and(|until| boot_time() < until)
    }
}
