//! How long a ticket would wait.

use std::time::{Duration, Instant};

use jackdawchute_types::TeamId;

use super::{Class, FairShare};

/// How long estimates count on capacity that was there.
const PEAK_TIME: Duration = Duration::from_secs(10);

/// The most capacity of the last while.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peak {
    pub(super) units: u32,
    pub(super) until: Option<Instant>,
}

impl FairShare {
    /// The units that a class gets when it and every class that is active now has work enough.
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

    /// How long a new ticket of a team would wait, from measured service times.
    ///
    /// The class gets at least its floor; as long as it shares what the floors leave, what more
    /// urgent classes have queued goes first.
    pub(super) fn expected_wait(&self, index: usize, team: &TeamId) -> Option<Duration> {
        let class = &self.classes[index];
        let own = class.queues.team_len(team) + 1;
        // The other teams go at most once for each of this team's own tickets.
        let ahead = class
            .queues
            .len()
            .min(own * class.queues.team_count().max(1));
        let urgent = self
            .classes
            .iter()
            .filter(|other| other.priority() < class.priority());
        let urgent: usize = urgent.map(|other| other.queues.len()).sum();
        let count = |tickets: usize| u32::try_from(tickets).unwrap_or(u32::MAX);
        let floor = self.floor_of(class, self.peak.units).max(class.used_units);
        let by_floor = class.service_time.drain_time(count(ahead), floor)?;
        let entitled = self.entitled_units(index);
        let shared = class
            .service_time
            .drain_time(count(ahead + urgent), entitled)?;
        Some(by_floor.min(shared))
    }

    fn floor_of(&self, class: &Class, capacity_units: u32) -> u32 {
        let percent = class
            .limits
            .as_ref()
            .map_or(0, |limits| limits.floor_percent);
        capacity_units.saturating_mul(percent) / 100
    }

    /// Remembers the most capacity of the last while: estimates pass over a short loss of it, such
    /// as while a new owner learns which slots are in use.
    pub(super) fn note_capacity(&mut self, now: Instant) {
        if self.capacity_units >= self.peak.units
            || self.peak.until.is_none_or(|until| until <= now)
        {
            self.peak = Peak {
                units: self.capacity_units,
                until: Some(now + PEAK_TIME),
            };
        }
    }
}
