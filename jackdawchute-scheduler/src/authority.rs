//! What a leader may do and conclude, by how far its epoch is confirmed.
//!
//! A worker that is silent for a lease has ended its runs only if nobody else may have extended the
//! lease. A successor may do so from its claim on, and an earlier leader until its authority ends.

use std::time::{Duration, Instant};

use crate::{
    worker::{CLOCK_RATE_MIN, LAPSE_STOP_MAX},
    Scheduler, Settings,
};

/// How far a leader's epoch is confirmed.
#[derive(Clone, Copy, Debug)]
pub struct EpochAuthority {
    /// Whether the leader may start tasks and extend leases.
    pub may_act: bool,
    /// When the last call was sent that showed the epoch at the store: no later leader existed then.
    pub confirmed_at: Instant,
    /// Until when an earlier leader may start tasks and extend leases.
    pub earlier_until: Instant,
}

/// As of when leases count as lapsed, and how long those of earlier leaders last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LapseView {
    pub(crate) as_of: Instant,
    /// Until when an earlier leader may extend leases of workers that do not refuse its token.
    pub(crate) earlier_until: Instant,
    /// The longest time that a run lasts after its lease was extended.
    pub(crate) lease_time: Duration,
    /// The longest time that a run lasts after an order to extend its lease that got no answer.
    pub(crate) late_extension_time: Duration,
    /// The longest time that a run lasts after its worker has carried out an order, in any
    /// incarnation.
    pub(crate) hold_time: Duration,
    /// Whether a silent worker may carry out an order of an earlier leader late that no row names.
    pub(crate) suspects_late_extensions: bool,
}

impl EpochAuthority {
    /// Returns the authority of a leader that has claimed its epoch and that no other preceded.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            may_act: true,
            confirmed_at: now,
            earlier_until: now,
        }
    }

    /// Returns until when a run may last under a lease that an earlier leader extended last.
    pub(crate) fn earlier_leases_until(&self, settings: &Settings) -> Instant {
        self.earlier_until + lease_time(settings)
    }
}

/// Returns how long a run may last after its worker has carried out an order, in any incarnation.
pub(crate) fn hold_time(settings: &Settings) -> Duration {
    settings.hold_max.div_f64(CLOCK_RATE_MIN) + LAPSE_STOP_MAX
}

/// Returns how long a run may last after an order to extend its lease was sent that got no answer.
///
/// The order may be carried out until the lease that it extends has lapsed, and counts from there.
/// There is one such order at most: the next one is sent only to a worker that refuses it.
pub(crate) fn late_extension_time(settings: &Settings) -> Duration {
    lease_time(settings) * 2
}

fn lease_time(settings: &Settings) -> Duration {
    settings.lease_max().div_f64(CLOCK_RATE_MIN) + LAPSE_STOP_MAX
}

impl Settings {
    /// Returns the longest lease that a leader grants, in a renewal: the next one may come only after
    /// one that waits for a run to end.
    ///
    /// ```
    /// let settings = jackdawchute_scheduler::Settings::default();
    /// assert_eq!(settings.lease_max(), settings.lease + settings.renew_wait_max);
    /// ```
    pub fn lease_max(&self) -> Duration {
        self.lease + self.renew_wait_max
    }
}

impl Scheduler {
    /// Sets how far the epoch is confirmed; to be called before a tick or a scheduling round.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{EpochAuthority, Scheduler, Settings};
    ///
    /// let now = Instant::now();
    /// let mut scheduler = Scheduler::new(Settings::default(), 2, now);
    /// scheduler.set_authority(EpochAuthority {
    ///     may_act: false,
    ///     confirmed_at: now,
    ///     earlier_until: now,
    /// });
    /// assert!(!scheduler.may_act());
    /// ```
    pub fn set_authority(&mut self, authority: EpochAuthority) {
        self.placement_needed |= authority.may_act && !self.authority.may_act;
        self.authority = authority;
    }

    /// Returns whether the leader may start tasks and extend leases.
    pub fn may_act(&self) -> bool {
        self.authority.may_act
    }

    pub(crate) fn lapse_view(&self) -> LapseView {
        LapseView {
            as_of: self.authority.confirmed_at,
            earlier_until: self.authority.earlier_until,
            lease_time: lease_time(&self.settings),
            late_extension_time: late_extension_time(&self.settings),
            hold_time: hold_time(&self.settings),
            suspects_late_extensions: self.suspects_late_extensions(),
        }
    }
}
