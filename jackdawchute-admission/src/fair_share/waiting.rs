//! The expected wait of a new item.

use std::time::{Duration, Instant};

use jackdawchute_types::TeamId;

use super::{Class, FairShare};

/// How long estimates use the highest capacity seen after it has dropped.
const PEAK_RETENTION: Duration = Duration::from_secs(10);

/// The highest capacity within the last [`PEAK_RETENTION`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeakCapacity {
    pub(super) units: u32,
    pub(super) until: Option<Instant>,
}

impl FairShare {
    /// Returns the units that a class gets while it and every other active class always have queued
    /// work.
    fn entitled_units(&self, index: usize) -> u32 {
        let class = &self.classes[index];
        let others = self.classes.iter().filter(|other| other.id != class.id);
        let reserved: u32 = others
            .filter(|other| other.is_active())
            .map(|other| self.floor_of(other, self.peak.units))
            .sum();
        class
            .used_units
            .max(self.peak.units.saturating_sub(reserved))
    }

    /// Returns how long a new item of a team would wait, or `None` before the first measured
    /// service time of the class.
    ///
    /// This is the shorter of two estimates: the class gets its floor only, or it also gets a share
    /// of what the floors leave, after the items that more urgent classes have queued.
    pub(super) fn expected_wait(&self, index: usize, team: &TeamId) -> Option<Duration> {
        let class = &self.classes[index];
        let team_items = class.queues.team_len(team) + 1;
        // With round robin, each other team goes at most once for each item of this team.
        let ahead = class
            .queues
            .len()
            .min(team_items * class.queues.team_count().max(1));
        let urgent_classes = self
            .classes
            .iter()
            .filter(|other| other.priority() < class.priority());
        let urgent_items: usize = urgent_classes.map(|other| other.queues.len()).sum();
        let to_u32 = |items: usize| u32::try_from(items).unwrap_or(u32::MAX);
        let floor_units = self.floor_of(class, self.peak.units).max(class.used_units);
        let by_floor = class.service_time.drain_time(to_u32(ahead), floor_units)?;
        let entitled_units = self.entitled_units(index);
        let by_share = class
            .service_time
            .drain_time(to_u32(ahead + urgent_items), entitled_units)?;
        Some(by_floor.min(by_share))
    }

    /// Returns the floor of a class at this capacity.
    fn floor_of(&self, class: &Class, capacity_units: u32) -> u32 {
        let percent = class
            .limits
            .as_ref()
            .map_or(0, |limits| limits.floor_percent);
        capacity_units.saturating_mul(percent) / 100
    }

    /// Records the highest recent capacity, so that estimates ignore a short loss of it, such as
    /// while a new owner finds out which slots are in use.
    pub(super) fn record_capacity(&mut self, now: Instant) {
        if self.capacity_units >= self.peak.units
            || self.peak.until.is_none_or(|until| until <= now)
        {
            self.peak = PeakCapacity {
                units: self.capacity_units,
                until: Some(now + PEAK_RETENTION),
            };
        }
    }
}
