//! How much an advisor has to do before a further question.
//!
//! Answers an advisor that is overrun. It works on questions in turn, also on those that nobody
//! waits for any more; a backlog beyond the patience of those who ask would never shrink, because
//! every question in it would be given up and asked again.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::settings::ADVISOR_BACKLOG_MAX;

/// Numbers the questions to an advisor.
pub type AdviceRequestId = u64;

/// A question that is not asked, since too many wait before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy {
    /// How long until the advisor has answered these.
    pub free_in: Duration,
}

/// The questions that an advisor has not answered, as far as the instance knows that asks it.
#[derive(Clone, Debug, Default)]
pub struct AdvisorQueue {
    /// Those under way or given up, oldest first, and how long each takes.
    open: VecDeque<(AdviceRequestId, Duration)>,
    free_at: Option<Instant>,
    last_request_id: AdviceRequestId,
}

impl AdvisorQueue {
    /// Takes a question in that takes `expected`.
    ///
    /// # Errors
    /// So much waits already that the question is not to be asked now.
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
            self.open.clear();
        }
        self.last_request_id += 1;
        self.open.push_back((self.last_request_id, expected));
        self.free_at = Some(now + free_in + expected);
        Ok(self.last_request_id)
    }

    /// Takes note of an answer: all earlier questions are done with.
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
        self.open.retain(|(id, _)| *id > request_id);
        self.count_from(now);
    }

    /// Takes note that a question was given up. The advisor may not have begun any of those that
    /// are open, and works on all of them.
    pub fn timed_out(&mut self, now: Instant) {
        self.count_from(now);
    }

    /// How long until the advisor has answered all questions.
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

    fn count_from(&mut self, now: Instant) {
        let open: Duration = self.open.iter().map(|(_, expected)| *expected).sum();
        self.free_at = Some(now + open);
    }
}
