//! The messages that the timer accepts and sends.

use std::time::{Duration, Instant};

use xtra::{prelude::MessageChannel, refcount::Weak};

/// A periodic message to a subscriber, with the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// The monotonic time at which the tick was sent.
    pub now: Instant,
}

/// Requests a [`Tick`] every `period`, the first one after one period.
#[derive(Debug)]
pub struct Subscribe {
    /// The time between two ticks; must not be zero.
    pub period: Duration,
    /// The channel that gets the ticks; the subscription ends when the subscriber does.
    pub subscriber: MessageChannel<Tick, (), Weak>,
}
