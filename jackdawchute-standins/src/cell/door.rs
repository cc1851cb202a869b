//! Whether the platform turns one instance away.

use std::sync::{
    atomic::{AtomicBool, Ordering},
    Arc,
};

use jackdawchute_cell::{Error, Result};

/// Turns an instance away or serves it; clones share the choice.
#[derive(Clone, Debug, Default)]
pub(super) struct Door {
    shut: Arc<AtomicBool>,
}

impl Door {
    pub(super) fn shut(&self, shut: bool) {
        self.shut.store(shut, Ordering::Relaxed);
    }

    pub(super) fn pass(&self, step: &'static str) -> Result<()> {
        if self.shut.load(Ordering::Relaxed) {
            let cause = "turned away".to_owned();
            return Err(Error::Unavailable(step, "store".to_owned(), cause));
        }
        Ok(())
    }
}
