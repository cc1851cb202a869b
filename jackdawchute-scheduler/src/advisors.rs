//! Which advisors answer the advice requests of a scheduling round.
//!
//! An advisor answers one request at a time, and under load the advisors' time is what a cell is
//! short of. A request is sent only when an advisor is about to be free, so that the step with the
//! best rank at that moment gets the advisor. The requests about a step are sent together, since
//! their tickets are used together. A step for which no advisor is free asks nothing and keeps its
//! rank.

use std::time::{Duration, Instant};

use jackdawchute_types::AdvisorId;

/// How much longer than the time between two rounds a request may wait at its advisor: the way there,
/// and what an estimate may be off.
const SEND_AHEAD: Duration = Duration::from_millis(100);
/// The longest time between two rounds that counts for how early requests are sent.
const ROUND_PAUSE_MAX: Duration = Duration::from_millis(400);

/// An instance's advisor, and when it is expected to have answered all requests sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdvisorSlot {
    /// The instance whose advisor it is.
    pub advisor: AdvisorId,
    /// When the advisor is expected to be free.
    pub free_at: Instant,
}

/// The advisors that can be asked in a scheduling round.
#[derive(Clone, Debug, Default)]
pub struct Advisors {
    slots: Vec<AdvisorSlot>,
    /// How many of the advisors, the first ones, answer short requests only.
    reserved: usize,
    /// The longest expected time of a short request.
    short_max: Duration,
    /// The longest time that a request may wait at its advisor.
    backlog_max: Duration,
    /// How long before an advisor is free a request may be sent to it.
    send_ahead: Duration,
}

impl Advisors {
    /// Returns advisors of which the first `reserved` answer only requests that are expected to take
    /// `short_max` at most, and all refuse what would wait for more than `backlog_max`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_scheduler::{AdvisorSlot, Advisors};
    ///
    /// let slot = AdvisorSlot { advisor: ([127, 0, 0, 1], 80).into(), free_at: Instant::now() };
    /// let advisors = Advisors::new(vec![slot], 0, Duration::ZERO, Duration::from_secs(1));
    /// assert_eq!(advisors.slots(), [slot]);
    /// ```
    pub fn new(
        slots: Vec<AdvisorSlot>,
        reserved: usize,
        short_max: Duration,
        backlog_max: Duration,
    ) -> Self {
        Self {
            slots,
            reserved,
            short_max,
            backlog_max,
            send_ahead: SEND_AHEAD,
        }
    }

    /// Returns the advisors and when they are free.
    ///
    /// ```
    /// assert!(jackdawchute_scheduler::Advisors::default().slots().is_empty());
    /// ```
    pub fn slots(&self) -> &[AdvisorSlot] {
        &self.slots
    }

    /// Allows for the time between two rounds, in which no request is sent.
    pub(crate) fn allow_for_pause(&mut self, pause: Duration) {
        self.send_ahead = SEND_AHEAD + pause.min(ROUND_PAUSE_MAX);
    }

    /// Returns whether an advisor takes a request now that is expected to take `expected`.
    pub(crate) fn takes(&self, expected: Duration, now: Instant) -> bool {
        let candidates = self.slots.get(self.skipped_for(expected)..);
        let mut candidates = candidates.unwrap_or_default().iter();
        candidates.any(|slot| slot.free_at <= now + self.send_ahead)
    }

    /// Assigns requests about one step, by how long each is expected to take, to the advisors that
    /// are free first.
    ///
    /// The answers arrive within `spread` of each other: requests for which the advisors are too few
    /// are left out. Returns nothing if no advisor takes a request now.
    pub(crate) fn assign(
        &mut self,
        expected: &[Duration],
        spread: Duration,
        now: Instant,
    ) -> Vec<AdvisorId> {
        let mut assigned = Vec::with_capacity(expected.len());
        let mut first_starts_at = None;
        for expected in expected {
            let skipped = self.skipped_for(*expected);
            let candidates = self.slots.iter_mut().skip(skipped);
            let Some(slot) = candidates.min_by_key(|slot| slot.free_at) else {
                break;
            };
            let starts_at = slot.free_at.max(now);
            let latest = match first_starts_at {
                Some(first) => first + spread,
                None => now + self.send_ahead,
            };
            if starts_at > latest.min(now + self.backlog_max) {
                break;
            }
            first_starts_at.get_or_insert(starts_at);
            slot.free_at = starts_at + *expected;
            assigned.push(slot.advisor);
        }
        assigned
    }

    /// Returns how many advisors a request must leave to shorter ones.
    fn skipped_for(&self, expected: Duration) -> usize {
        if expected > self.short_max {
            self.reserved
        } else {
            0
        }
    }
}
