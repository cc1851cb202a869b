//! Keeps in the journal who may hold grants, so that a successor knows whom to ask or wait for.
//!
//! A grant without a journaled intent is given only to a registered holder. One entry for each
//! holder and group is enough, so that the grants themselves cost no write.

use std::time::Instant;

use jackdawchute_ownership::Directory;
use jackdawchute_types::IncarnationId;

use crate::{adopt::is_listed, group::Group, AppendOutcome, Effect};

/// A holder's entry in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Registration {
    /// Whether the journal surely has it.
    pub(crate) kept: bool,
    /// The holder is not listed any more.
    pub(crate) gone: bool,
}

impl Group {
    pub(crate) fn is_registered(&self, holder: &IncarnationId) -> bool {
        self.holders.get(holder).is_some_and(|entry| entry.kept)
    }

    /// Whether a registration would be tried now.
    pub(crate) fn may_register(&self, holder: &IncarnationId) -> bool {
        !self.journal_down && !self.holders.contains_key(holder)
    }

    /// Journals those of `holders` that are new.
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
                kept: false,
                gone: false,
            };
            self.holders.insert(holder.clone(), entry);
        }
        effects.push(Effect::Register {
            group: self.id.clone(),
            epoch: self.epoch,
            holders: new,
        });
    }

    /// Goes on after holders were journaled or were not.
    pub(crate) fn registered(
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
                    entry.kept = true;
                }
            } else {
                // It is tried again with the holder's next call.
                self.holders.remove(holder);
            }
        }
        self.pump(now, effects);
    }

    /// Registers the holders that appeared and notes those that vanished.
    pub(crate) fn note_listed(&mut self, directory: &Directory, effects: &mut Vec<Effect>) {
        for (holder, entry) in &mut self.holders {
            entry.gone = !is_listed(directory, holder);
        }
        self.register(directory.incarnations.keys(), effects);
    }

    /// Forgets the holders that vanished and of whom no request may run any more.
    pub(crate) fn forget_holders(&mut self, this: &IncarnationId, effects: &mut Vec<Effect>) {
        let holds_none = |holder: &IncarnationId| {
            let mut open = self.open.values();
            !open.any(|grant| grant.holder == *holder) && !self.unaccounted.contains_key(holder)
        };
        let gone = self
            .holders
            .iter()
            .filter(|(_, entry)| entry.gone && entry.kept);
        let over: Vec<IncarnationId> = gone
            .map(|(holder, _)| holder.clone())
            .filter(|holder| holder != this && holds_none(holder))
            .collect();
        if over.is_empty() {
            return;
        }
        for holder in &over {
            self.holders.remove(holder);
        }
        effects.push(Effect::Unregister {
            group: self.id.clone(),
            holders: over,
        });
    }
}
