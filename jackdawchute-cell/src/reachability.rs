//! Logs when a dependency stops answering and when it answers again.

use spdlog::warn;

/// Whether a dependency answered when it was last asked.
#[derive(Debug)]
pub(crate) struct Reachability {
    name: &'static str,
    unreachable: bool,
}

impl Reachability {
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            unreachable: false,
        }
    }

    /// Records whether the dependency answered, and logs a change.
    pub(crate) fn record(&mut self, reachable: bool) {
        if self.unreachable == reachable {
            self.unreachable = !reachable;
            warn!("reachability of the {} changed", self.name, kv: { reachable = reachable });
        }
    }
}
