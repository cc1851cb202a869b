//! The clock that goes on while the machine is suspended.

use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

/// A reading of the boot clock: the time since the machine started.
pub type BootTime = Duration;

/// Returns the time since the machine started, including any time for which it was suspended, which
/// [`Instant`](std::time::Instant) leaves out.
///
/// ```
/// let earlier = jackdawchute_timer::boot_time();
/// assert!(jackdawchute_timer::boot_time() >= earlier);
/// ```
pub fn boot_time() -> BootTime {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .expect("Linux has had this clock since 2.6.39")
}
