//! Decides when a leader's next scheduling round is due.
//!
//! Each message that the leader task handles runs a round that is due. Rounds that take longer than
//! their period would be due at each message, and leave no time for the calls of other instances,
//! which then take the leader for dead.

use std::time::{Duration, Instant};

/// The pause after a round, as a multiple of the time that the round took.
const PAUSE_PER_ROUND_TIME: u32 = 1;

/// When scheduling rounds begin, so that they take no more than about half of the leader's time.
#[derive(Clone, Copy, Debug)]
pub struct RoundPace {
    began_at: Instant,
    ended_at: Instant,
}

impl RoundPace {
    /// Returns the pace of a leader that begins now and has run no round.
    pub fn new(now: Instant) -> Self {
        Self {
            began_at: now,
            ended_at: now,
        }
    }

    /// Records a round.
    pub fn record(&mut self, began_at: Instant, ended_at: Instant) {
        self.began_at = began_at;
        self.ended_at = ended_at;
    }

    /// Returns when the next round is due, where `period` is the shortest time from the beginning of
    /// one round to that of the next. After a long round the pause is as long as the round.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_cell::RoundPace;
    ///
    /// let now = Instant::now();
    /// let period = Duration::from_millis(6);
    /// let mut pace = RoundPace::new(now);
    /// pace.record(now, now + Duration::from_millis(1));
    /// assert_eq!(pace.due_at(period), now + period);
    /// ```
    pub fn due_at(&self, period: Duration) -> Instant {
        let took = self.ended_at.saturating_duration_since(self.began_at);
        (self.began_at + period).max(self.ended_at + took * PAUSE_PER_ROUND_TIME)
    }
}
