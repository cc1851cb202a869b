//! Registers in the journal which incarnations may hold grants.
//!
//! A successor asks these for the grants that they hold, or waits until their requests are known to
//! have ended. A grant without a journaled intent is given only to a registered holder. One entry
//! for each holder and group is enough, so that the grants themselves need no write.

use std::time::Instant;

use jackdawchute_ownership::Directory;
use jackdawchute_types::{Epoch, GroupId, IncarnationId};

use crate::{group::Group, recover::is_listed, AppendOutcome, Effect, State};

/// The registration of a holder in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Registration {
    /// Whether the entry is known to be in the journal.
    pub(crate) journaled: bool,
    /// Whether the holder is missing from the directory.
    pub(crate) unlisted: bool,
}

impl Group {
    pub(crate) fn is_registered(&self, holder: &IncarnationId) -> bool {
        self.holders
            .get(holder)
            .is_some_and(|entry| entry.journaled)
    }

    /// Returns whether a registration of the holder may be tried now.
    pub(crate) fn may_register(&self, holder: &IncarnationId) -> bool {
        !self.journal_down && !self.holders.contains_key(holder)
    }

    /// Journals those of `holders` that are not registered yet.
    pub(crate) fn register<'a>(
        &mut self,
        holders: impl Iterator<Item = &'a IncarnationId>,
        effects: &mut Vec<Effect>,
    ) {
        let new: Vec<IncarnationId> = holders
            .filter(|holder| !self.holders.contains_key(*holder))
            .cloned()
            .collect();
        if new.is_empty() {
            return;
        }
        for holder in &new {
            let entry = Registration {
                journaled: false,
                unlisted: false,
            };
            self.holders.insert(holder.clone(), entry);
        }
        effects.push(Effect::RegisterHolders {
            group: self.id.clone(),
            epoch: self.epoch,
            holders: new,
        });
    }

    /// Processes the result of journaling holders.
    pub(crate) fn holders_appended(
        &mut self,
        holders: &[IncarnationId],
        outcome: AppendOutcome,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if let AppendOutcome::NotJournaled { store_down } = outcome {
            self.journal_down |= store_down;
        }
        for holder in holders {
            if outcome == AppendOutcome::Journaled {
                if let Some(entry) = self.holders.get_mut(holder) {
                    entry.journaled = true;
                }
            } else {
                // The registration is tried again with the holder's next call.
                self.holders.remove(holder);
            }
        }
        self.grant_waiting(now, effects);
    }

    /// Registers the incarnations of the directory, and marks the holders that are missing from it.
    pub(crate) fn update_listed(&mut self, directory: &Directory, effects: &mut Vec<Effect>) {
        for (holder, entry) in &mut self.holders {
            entry.unlisted = !is_listed(directory, holder);
        }
        self.register(directory.incarnations.keys(), effects);
    }

    /// Removes the registrations of unlisted holders of which no request may run any more.
    pub(crate) fn unregister_unlisted(
        &mut self,
        own_incarnation: &IncarnationId,
        effects: &mut Vec<Effect>,
    ) {
        if self.journal_down {
            return;
        }
        let holds_none = |holder: &IncarnationId| {
            let mut open = self.open_grants.values();
            !open.any(|grant| grant.holder == *holder) && !self.unaccounted.contains_key(holder)
        };
        let unlisted = self
            .holders
            .iter()
            .filter(|(_, entry)| entry.unlisted && entry.journaled);
        let removable: Vec<IncarnationId> = unlisted
            .map(|(holder, _)| holder.clone())
            .filter(|holder| holder != own_incarnation && holds_none(holder))
            .collect();
        if removable.is_empty() {
            return;
        }
        for holder in &removable {
            self.holders.remove(holder);
        }
        effects.push(Effect::UnregisterHolders {
            group: self.id.clone(),
            epoch: self.epoch,
            holders: removable,
        });
    }

    /// Registers holders again whose entries are still in the journal: a successor would hold slots
    /// back for them.
    fn holders_unregistered(&mut self, holders: &[IncarnationId], outcome: AppendOutcome) {
        let AppendOutcome::NotJournaled { store_down } = outcome else {
            return;
        };
        self.journal_down |= store_down;
        for holder in holders {
            let entry = Registration {
                journaled: true,
                unlisted: true,
            };
            self.holders.entry(holder.clone()).or_insert(entry);
        }
    }
}

impl State {
    /// Processes the result of an [`Effect::UnregisterHolders`]; what failed is tried again.
    pub fn holders_unregistered(
        &mut self,
        id: &GroupId,
        epoch: Epoch,
        holders: &[IncarnationId],
        outcome: AppendOutcome,
    ) {
        let group = self.groups.get_mut(id);
        if let Some(group) = group.filter(|group| group.epoch == epoch) {
            group.holders_unregistered(holders, outcome);
        }
    }
}
