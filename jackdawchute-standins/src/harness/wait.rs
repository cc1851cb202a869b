//! Waiting for events with a generous deadline.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use crate::{Error, Result};

/// How long an event may take; far more than any takes on a busy machine.
pub const DEADLINE: Duration = Duration::from_secs(60);
/// The time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// Looks until `look` returns something.
///
/// # Errors
/// The deadline has passed; the error names `event`.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> jackdawchute_standins::Result<()> {
/// let seven = jackdawchute_standins::harness::wait_until("seven", || async { Some(7) }).await?;
/// assert_eq!(seven, 7);
/// # Ok(())
/// # }
/// ```
pub async fn wait_until<T, F>(event: &'static str, mut look: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let give_up_at = Instant::now() + DEADLINE;
    loop {
        if let Some(found) = look().await {
            return Ok(found);
        }
        if Instant::now() >= give_up_at {
            let cause = format!("not seen within {} s", DEADLINE.as_secs());
            return Err(Error::Invalid("wait for event", event.into(), cause));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
