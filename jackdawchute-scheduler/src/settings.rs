//! Durations that govern the scheduler's decisions.

use std::time::Duration;

/// Durations that govern the scheduler's decisions.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The length of a worker lease, the same for every instance of the cell.
    ///
    /// Longer than a takeover, so that tasks outlive it; short enough that the tasks of a worker
    /// that is cut off can soon run elsewhere.
    pub lease: Duration,
    /// The longest time that a worker may delay its answer to a renewal while no run ends; a renewal
    /// that extends the lease lengthens it by as much, and is answered at once.
    pub renew_wait_max: Duration,
    /// The longest time for which a worker runs tasks without a further order, on its own clock: the
    /// end of a lease that lies further ahead is brought forward.
    ///
    /// The clock of a new incarnation starts anew, so that the end of a lease on the former one's
    /// lies far ahead of it.
    pub hold_max: Duration,
    /// The longest time after which a worker may carry out an order that got no answer, in a later
    /// incarnation too.
    pub late_order_max: Duration,
    /// How long a worker must have left renewals unanswered before its runs are given up, which they
    /// are once its lease has lapsed.
    pub worker_silence_max: Duration,
    /// How long the outcome of an ended job is kept after its end.
    pub ended_retention: Duration,
    /// The longest time that a task takes to end after an order to stop.
    pub task_stop_max: Duration,
    /// The number of orders to start that may wait for their answers before no further task is
    /// placed. More of them only wait for each other on the leader's processor; the tasks wait
    /// better in the order of their urgency.
    pub starts_under_way_max: usize,
    /// By what factor tasks take longer away from the rack that holds their data.
    pub remote_slowdown: f64,
    /// The longest wait of a unit for a place near its data or on one rack; zero for none.
    pub place_wait_max: Duration,
    /// How long before its due time an occurrence may start, to allow for clocks that differ.
    pub occurrence_early_max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(4),
            renew_wait_max: Duration::from_millis(1_500),
            hold_max: Duration::from_secs(10),
            late_order_max: Duration::from_secs(12),
            worker_silence_max: Duration::from_millis(700),
            ended_retention: Duration::from_secs(130),
            task_stop_max: Duration::from_millis(900),
            starts_under_way_max: usize::MAX,
            remote_slowdown: 1.5,
            place_wait_max: Duration::ZERO,
            occurrence_early_max: Duration::ZERO,
        }
    }
}
