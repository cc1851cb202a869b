//! The border towards the metrics.

use std::time::Duration;

use crate::{ClassId, RefusalReason, RetryReason};

/// Counts what slices decide; the daemon gives one that feeds its metrics.
pub trait Recorder: Send + Sync + 'static {
    /// Work of a class was refused.
    fn refused(&self, class: &ClassId, reason: RefusalReason);
    /// An attempt was repeated.
    fn retried(&self, class: &ClassId, reason: RetryReason);
    /// Work was placed after waiting.
    fn placed(&self, class: &ClassId, waited: Duration);
}

/// Counts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoRecorder;

impl Recorder for NoRecorder {
    fn refused(&self, _class: &ClassId, _reason: RefusalReason) {}
    fn retried(&self, _class: &ClassId, _reason: RetryReason) {}
    fn placed(&self, _class: &ClassId, _waited: Duration) {}
}
