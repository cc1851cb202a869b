//! The simulated processor of the leader, which handles one event at a time.

use std::{collections::VecDeque, time::Duration};

/// What the leader's processor takes for its work.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorPlan {
    /// The time for an order, a renewal, an advice request or a submission, with its answer.
    pub call: Duration,
    /// The time to decode a run end in the answer to a renewal.
    pub listed_end: Duration,
    /// The time of a scheduling round for each worker.
    pub round_per_worker: Duration,
    /// The number of orders to start that may be under way.
    pub starts_under_way_max: usize,
}

impl ProcessorPlan {
    /// Returns the time for a call and what follows from it; each round counts once a worker.
    pub(super) fn duration(&self, listed_ends: u32, round_workers: u32) -> Duration {
        self.call + self.listed_end * listed_ends + self.round_per_worker * round_workers
    }
}

/// The queue of the events that the leader has to handle, and when it can go on with them.
#[derive(Debug)]
pub(super) struct Processor<T> {
    plan: Option<ProcessorPlan>,
    waiting: VecDeque<T>,
    busy: bool,
}

impl<T> Processor<T> {
    /// Creates the processor; without a plan it takes no time.
    pub(super) fn new(plan: Option<ProcessorPlan>) -> Self {
        Self {
            plan,
            waiting: VecDeque::new(),
            busy: false,
        }
    }

    pub(super) fn plan(&self) -> Option<ProcessorPlan> {
        self.plan
    }

    /// Returns the event if it can be handled now; otherwise it waits behind all others, or before
    /// them if it is `urgent`.
    pub(super) fn admit(&mut self, event: T, urgent: bool) -> Option<T> {
        if !self.busy {
            return Some(event);
        }
        if urgent {
            self.waiting.push_front(event);
        } else {
            self.waiting.push_back(event);
        }
        None
    }

    /// Marks the processor as busy until [`Self::next`] is called.
    pub(super) fn begin(&mut self) {
        self.busy = true;
    }

    /// Ends the work on the last event and returns the next one.
    pub(super) fn next(&mut self) -> Option<T> {
        self.busy = false;
        self.waiting.pop_front()
    }
}
