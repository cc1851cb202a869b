//! The slots of one minion.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_types::IncarnationId;

use crate::EjectionSettings;

/// One minion of a group.
#[derive(Clone, Debug)]
pub(crate) struct Minion {
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    /// Listed as live.
    pub(crate) live: bool,
    /// Grants that may be running, of every holder and epoch.
    pub(crate) in_use: u32,
    /// Grants without a journaled intent.
    by_holder: BTreeMap<IncarnationId, u32>,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    last: Duration,
}

impl Minion {
    pub(crate) fn new(address: SocketAddr, slots: u32) -> Self {
        Self {
            address,
            slots,
            live: true,
            in_use: 0,
            by_holder: BTreeMap::new(),
            ejection: None,
        }
    }

    /// A minion that is only known from grants.
    pub(crate) fn unlisted(address: SocketAddr) -> Self {
        Self {
            live: false,
            ..Self::new(address, 0)
        }
    }

    /// Takes what the membership list says; grants stay counted.
    pub(crate) fn update(&mut self, listed: &Self) {
        self.address = listed.address;
        self.slots = listed.slots;
        self.live = listed.live;
    }

    /// The slots that may be granted, with `held_back` slots kept for unknown grants.
    pub(crate) fn free(&self, held_back: u32, now: Instant) -> u32 {
        if !self.live {
            return 0;
        }
        let slots = match self.ejection {
            Some(ejection) if now < ejection.until => 0,
            // One request probes whether it takes connections again.
            Some(_) => self.slots.min(1),
            None => self.slots,
        };
        slots.saturating_sub(held_back.saturating_add(self.in_use))
    }

    pub(crate) fn held_by(&self, holder: &IncarnationId) -> u32 {
        self.by_holder.get(holder).copied().unwrap_or(0)
    }

    pub(crate) fn take(&mut self, holder: &IncarnationId, journaled: bool) {
        self.in_use += 1;
        if !journaled {
            *self.by_holder.entry(holder.clone()).or_default() += 1;
        }
    }

    pub(crate) fn release(&mut self, holder: &IncarnationId, journaled: bool) {
        self.in_use = self.in_use.saturating_sub(1);
        if journaled {
            return;
        }
        if let Some(count) = self.by_holder.get_mut(holder) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.by_holder.remove(holder);
            }
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    pub(crate) fn eject(&mut self, settings: &EjectionSettings, now: Instant) {
        let last = match self.ejection {
            // Refusals of grants that were given together count once.
            Some(ejection) if now < ejection.until => return,
            Some(ejection) => (ejection.last * 2).min(settings.max),
            None => settings.base,
        };
        self.ejection = Some(Ejection {
            until: now + last,
            last,
        });
    }

    pub(crate) fn reinstate(&mut self) {
        self.ejection = None;
    }
}
