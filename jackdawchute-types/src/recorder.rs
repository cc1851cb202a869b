//! The interface through which slices count their decisions.

use std::time::Duration;

use crate::{ClassId, RefusalReason, RetryReason};

/// Counts decisions; the process passes an implementation that updates its metrics.
pub trait Recorder: Send + Sync + 'static {
    /// Counts a refusal of work of a class.
    fn refused(&self, class: &ClassId, reason: RefusalReason);
    /// Counts a repeated attempt.
    fn retried(&self, class: &ClassId, reason: RetryReason);
    /// Counts a placement and how long the work waited for it.
    fn placed(&self, class: &ClassId, waited: Duration);
}

/// A recorder that counts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoRecorder;

impl Recorder for NoRecorder {
    fn refused(&self, _class: &ClassId, _reason: RefusalReason) {}
    fn retried(&self, _class: &ClassId, _reason: RetryReason) {}
    fn placed(&self, _class: &ClassId, _waited: Duration) {}
}
