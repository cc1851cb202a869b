//! Access to state that the handles of a stand-in share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks shared state, also after a thread panicked while it held the lock, so that the state can
/// still be read.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
