//! Counts of the tickets that advisors gave, for the log and the metrics.

/// The tickets since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceCounts {
    /// The tickets in the advisors' answers.
    pub tickets_received: usize,
    /// The tickets with which at least one task was ordered to start; the others have lapsed, or will.
    pub tickets_used: usize,
}
