//! Polling for events until a deadline.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use crate::{Error, Result};

/// How long an event may take, far longer than any takes on a busy machine.
pub const DEADLINE: Duration = Duration::from_secs(60);
/// The time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Calls `poll` until it returns a value, and returns that value.
///
/// # Errors
/// `poll` returned no value within [`DEADLINE`]; the error names `event`.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> jackdawchute_standins::Result<()> {
/// let seven = jackdawchute_standins::harness::wait_until("seven", || async { Some(7) }).await?;
/// assert_eq!(seven, 7);
/// # Ok(())
/// # }
/// ```
pub async fn wait_until<T, F>(event: &'static str, mut poll: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + DEADLINE;
    loop {
        if let Some(value) = poll().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            let cause = format!("did not occur within {} s", DEADLINE.as_secs());
            return Err(Error::Invalid("wait for event", event.into(), cause));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
