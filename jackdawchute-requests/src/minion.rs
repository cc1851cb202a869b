//! The slots and the ejection of one minion.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_types::IncarnationId;

use crate::EjectionSettings;

/// A minion of a group and the grants that count against its slots.
#[derive(Clone, Debug)]
pub(crate) struct Minion {
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    /// Whether the membership list names the minion as live.
    pub(crate) live: bool,
    /// Until when requests granted by the owner of another group may run on it; `None` without a move
    /// from one.
    pub(crate) moved_until: Option<Instant>,
    /// The number of grants whose requests may run, of every holder and epoch.
    pub(crate) in_use: u32,
    /// The number of grants without a journaled intent, by holder.
    unjournaled_by_holder: BTreeMap<IncarnationId, u32>,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    duration: Duration,
}

impl Minion {
    pub(crate) fn new(address: SocketAddr, slots: u32) -> Self {
        Self {
            address,
            slots,
            live: true,
            moved_until: None,
            in_use: 0,
            unjournaled_by_holder: BTreeMap::new(),
            ejection: None,
        }
    }

    /// Creates a minion that is known only from grants and gets no new ones.
    pub(crate) fn unlisted(address: SocketAddr) -> Self {
        Self {
            live: false,
            ..Self::new(address, 0)
        }
    }

    /// Updates the minion from the membership list; its grants stay counted.
    pub(crate) fn update(&mut self, listed: &Self) {
        self.address = listed.address;
        self.slots = listed.slots;
        self.live = listed.live;
        self.moved_until = listed.moved_until;
    }

    /// Returns how many slots may be granted, with `held_back` slots left for unreported grants.
    pub(crate) fn free_slots(&self, held_back: u32, now: Instant) -> u32 {
        if !self.live || self.moved_until.is_some_and(|until| now < until) {
            return 0;
        }
        let slots = match self.ejection {
            Some(ejection) if now < ejection.until => 0,
            // One request probes whether the minion accepts connections again.
            Some(_) => self.slots.min(1),
            None => self.slots,
        };
        slots.saturating_sub(held_back.saturating_add(self.in_use))
    }

    pub(crate) fn unjournaled_held_by(&self, holder: &IncarnationId) -> u32 {
        self.unjournaled_by_holder.get(holder).copied().unwrap_or(0)
    }

    pub(crate) fn occupy_slot(&mut self, holder: &IncarnationId, journaled: bool) {
        self.in_use += 1;
        if !journaled {
            *self
                .unjournaled_by_holder
                .entry(holder.clone())
                .or_default() += 1;
        }
    }

    pub(crate) fn release_slot(&mut self, holder: &IncarnationId, journaled: bool) {
        self.in_use = self.in_use.saturating_sub(1);
        if journaled {
            return;
        }
        if let Some(count) = self.unjournaled_by_holder.get_mut(holder) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.unjournaled_by_holder.remove(holder);
            }
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    pub(crate) fn eject(&mut self, settings: &EjectionSettings, now: Instant) {
        let duration = match self.ejection {
            // Refused connections of grants from before the ejection count as the same failure.
            Some(ejection) if now < ejection.until => return,
            Some(ejection) => (ejection.duration * 2).min(settings.max),
            None => settings.base,
        };
        self.ejection = Some(Ejection {
            until: now + duration,
            duration,
        });
    }

    pub(crate) fn reinstate(&mut self) {
        self.ejection = None;
    }
}
