//! Limits the backlog of requests at an advisor, so that an overloaded one recovers.
//!
//! An advisor answers its requests in order, including those that have timed out at the caller. A
//! backlog longer than the callers' timeout would never shrink, because every request in it would
//! time out and be sent again.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::settings::ADVISOR_BACKLOG_MAX;

/// The number of a request to an advisor, in the order of sending.
pub type AdviceRequestId = u64;

/// The refusal of a request that would wait too long behind earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy {
    /// The expected time until the advisor has answered all earlier requests.
    pub free_in: Duration,
}

/// The pending requests of an advisor and their expected time, as estimated by their sender.
#[derive(Clone, Debug, Default)]
pub struct AdvisorQueue {
    /// The requests that are in flight or timed out, oldest first, and how long each takes.
    pending: VecDeque<(AdviceRequestId, Duration)>,
    /// When the advisor is expected to have answered all pending requests.
    free_at: Option<Instant>,
    last_request_id: AdviceRequestId,
}

impl AdvisorQueue {
    /// Adds a request that is expected to take `expected`, and returns its number.
    ///
    /// # Errors
    /// The backlog is too long, and the request must not be sent now.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_cell::AdvisorQueue;
    ///
    /// let mut queue = AdvisorQueue::default();
    /// let now = Instant::now();
    /// let long = Duration::from_secs(5);
    /// assert!(queue.push(long, now).is_ok());
    /// assert_eq!(queue.push(long, now).unwrap_err().free_in, long);
    /// ```
    pub fn push(
        &mut self,
        expected: Duration,
        now: Instant,
    ) -> std::result::Result<AdviceRequestId, Busy> {
        let free_in = self.free_in(now);
        if free_in > ADVISOR_BACKLOG_MAX {
            return Err(Busy { free_in });
        }
        if free_in.is_zero() {
            self.pending.clear();
        }
        self.last_request_id += 1;
        self.pending.push_back((self.last_request_id, expected));
        self.free_at = Some(now + free_in + expected);
        Ok(self.last_request_id)
    }

    /// Removes an answered request, and all earlier ones: the advisor answers in order.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_cell::AdvisorQueue;
    ///
    /// let mut queue = AdvisorQueue::default();
    /// let now = Instant::now();
    /// let request_id = queue.push(Duration::from_secs(5), now).unwrap();
    /// queue.answered(request_id, now);
    /// assert_eq!(queue.free_in(now), Duration::ZERO);
    /// ```
    pub fn answered(&mut self, request_id: AdviceRequestId, now: Instant) {
        self.pending.retain(|(id, _)| *id > request_id);
        self.recompute_free_at(now);
    }

    /// Records that a request has timed out. All requests stay pending: the advisor may not have
    /// started any of them, and will work on each.
    pub fn timed_out(&mut self, now: Instant) {
        self.recompute_free_at(now);
    }

    /// Returns the expected time until the advisor has answered all requests.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_cell::AdvisorQueue;
    ///
    /// let queue = AdvisorQueue::default();
    /// assert_eq!(queue.free_in(Instant::now()), Duration::ZERO);
    /// ```
    pub fn free_in(&self, now: Instant) -> Duration {
        self.free_at
            .map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    fn recompute_free_at(&mut self, now: Instant) {
        let pending: Duration = self.pending.iter().map(|(_, expected)| *expected).sum();
        self.free_at = Some(now + pending);
    }
}
