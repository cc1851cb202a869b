//! State that a stand-in shares among its handles.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks shared state; a test that panicked elsewhere does not hide what it left.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
