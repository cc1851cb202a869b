//! What the timer takes and sends.

use std::time::{Duration, Instant};

use xtra::{prelude::MessageChannel, refcount::Weak};

/// Tells a subscriber the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// The monotonic time when the tick was sent.
    pub now: Instant,
}

/// Asks for a [`Tick`] each `period`, the first one after one period.
#[derive(Debug)]
pub struct Subscribe {
    /// The time between two ticks, above zero.
    pub period: Duration,
    /// Where the ticks go; the subscription ends with the subscriber.
    pub subscriber: MessageChannel<Tick, (), Weak>,
}
