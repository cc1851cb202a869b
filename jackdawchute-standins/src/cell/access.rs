//! Denial of access to a stand-in for one instance.

use std::sync::{
    atomic::{AtomicBool, Ordering},
    Arc,
};

use jackdawchute_cell::{Error, Result};

/// Whether one instance is denied access; clones share the setting.
#[derive(Clone, Debug, Default)]
pub(super) struct Access {
    denied: Arc<AtomicBool>,
}

impl Access {
    pub(super) fn set_denied(&self, denied: bool) {
        self.denied.store(denied, Ordering::Relaxed);
    }

    /// Returns an error that names `step` if access is denied.
    pub(super) fn check(&self, step: &'static str) -> Result<()> {
        if self.denied.load(Ordering::Relaxed) {
            let cause = "access denied".to_owned();
            return Err(Error::Unavailable(step, "store".to_owned(), cause));
        }
        Ok(())
    }
}
