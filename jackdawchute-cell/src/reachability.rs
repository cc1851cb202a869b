//! Logs when a dependency is lost and when it is regained.

use spdlog::warn;

/// Whether a dependency answered when it was last asked.
#[derive(Debug)]
pub(crate) struct Reachability {
    name: &'static str,
    lost: bool,
}

impl Reachability {
    pub(crate) fn new(name: &'static str) -> Self {
        Self { name, lost: false }
    }

    /// Takes note of an answer or of the want of one; logs only a change.
    pub(crate) fn note(&mut self, reachable: bool) {
        if self.lost == reachable {
            self.lost = !reachable;
            warn!("{}", self.name, kv: { reachable = reachable });
        }
    }
}
