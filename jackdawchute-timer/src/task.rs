//! The timer task.

use std::time::Instant;

use xtra::prelude::*;

use crate::{Subscribe, Tick};

/// A task that sends ticks to its subscribers.
#[derive(Debug, Default, xtra::Actor)]
pub struct TimerTask;

/// Spawns a timer on the current tokio runtime and returns its address.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let timer = jackdawchute_timer::spawn();
/// assert!(timer.is_connected());
/// # }
/// ```
pub fn spawn() -> Address<TimerTask> {
    xtra::spawn_tokio(TimerTask, Mailbox::unbounded())
}

impl Handler<Subscribe> for TimerTask {
    type Return = ();

    async fn handle(&mut self, subscription: Subscribe, _context: &mut Context<Self>) {
        tokio::spawn(send_ticks(subscription));
    }
}

/// Sends ticks until the subscriber ends.
///
/// A slow subscriber gets late ticks, never a burst of the ones that it missed.
async fn send_ticks(subscription: Subscribe) {
    let mut interval = tokio::time::interval(subscription.period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // The first tick of an interval is immediate.
    interval.tick().await;
    while subscription.subscriber.is_connected() {
        interval.tick().await;
        if subscription
            .subscriber
            .send(Tick {
                now: Instant::now(),
            })
            .await
            .is_err()
        {
            return;
        }
    }
}
