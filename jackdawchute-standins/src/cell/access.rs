//! Denial of access to a stand-in for one instance.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};

use jackdawchute_cell::{Error, Result};

/// The timeout of a call that gets no answer, as that of the platform's client.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether one instance is denied access or gets no answers; clones share the setting.
#[derive(Clone, Debug, Default)]
pub(super) struct Access {
    denied: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
}

impl Access {
    pub(super) fn set_denied(&self, denied: bool) {
        self.denied.store(denied, Ordering::Relaxed);
    }

    pub(super) fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Returns an error that names `step` if access is denied, and after a timeout if the call is
    /// lost.
    pub(super) async fn pass_call(&self, step: &'static str) -> Result<()> {
        self.check(step)?;
        self.pass_answer(step).await
    }

    /// Returns an error that names `step` after a timeout if the answer is lost.
    pub(super) async fn pass_answer(&self, step: &'static str) -> Result<()> {
        if self.silent.load(Ordering::Relaxed) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            let cause = "no answer in time".to_owned();
            return Err(Error::Unknown(step, "store".to_owned(), cause));
        }
        Ok(())
    }

    /// Returns an error that names `step` if access is denied.
    fn check(&self, step: &'static str) -> Result<()> {
        if self.denied.load(Ordering::Relaxed) {
            let cause = "access denied".to_owned();
            return Err(Error::Unavailable(step, "store".to_owned(), cause));
        }
        Ok(())
    }
}
