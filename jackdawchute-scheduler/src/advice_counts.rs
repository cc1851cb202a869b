//! Counts of what comes of advice, for the log and the metrics.

/// What came of the advice since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceCounts {
    /// The steps that could not request advice in the last round, as no advisor was about to be free.
    pub steps_waiting: usize,
    /// The tickets in the advisors' answers.
    pub tickets_received: usize,
    /// The tickets with which at least one task was ordered to start; the others have lapsed, or will.
    pub tickets_used: usize,
}
