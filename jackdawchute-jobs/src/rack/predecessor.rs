//! Whether a fenced owner of a rack may still renew leases. The journal tells it to later owners, to
//! which the rack may be handed over in that time.

use std::time::Instant;

use jackdawchute_ownership::{JournalEntry, LeaseState};
use jackdawchute_types::GroupId;

use crate::{
    effect::{AfterAppend, Effect},
    rack::state::RackGroups,
    record::{delete_entry, FENCED_OWNER_KEY},
};

/// Whether the journal of a rack says that a fenced owner may still renew leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FencedOwnerNote {
    /// It does not, and need not.
    NotNeeded,
    /// It is to say so.
    Due,
    /// The append that says so has no result yet.
    Appending,
    /// It says so.
    Journaled,
}

impl FencedOwnerNote {
    /// Returns the state of the note when a rack is claimed.
    pub(crate) fn at_claim(is_journaled: bool, fenced: bool) -> Self {
        match (is_journaled, fenced) {
            (true, _) => Self::Journaled,
            (false, true) => Self::Due,
            (false, false) => Self::NotNeeded,
        }
    }
}

impl RackGroups {
    /// Journals which racks had an owner that was fenced and may still renew leases, and removes
    /// that once it can't.
    pub(crate) fn journal_fenced_owners(&mut self, now: Instant) -> Vec<Effect> {
        if self.lease_state != LeaseState::Confirmed {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for (group, rack) in &mut self.owned {
            let is_over = now > rack.predecessor_renews_until;
            match rack.fenced_owner_note {
                FencedOwnerNote::Due if !is_over => {
                    rack.fenced_owner_note = FencedOwnerNote::Appending;
                    effects.push(note(group));
                }
                FencedOwnerNote::Journaled if is_over => {
                    rack.fenced_owner_note = FencedOwnerNote::NotNeeded;
                    effects.push(Effect::Append {
                        entries: vec![delete_entry(group, FENCED_OWNER_KEY.into())],
                        after: AfterAppend::Nothing,
                    });
                }
                _ => {}
            }
        }
        effects
    }

    /// Records whether the note about the fenced owner of a rack is `committed`; if not, it is
    /// journaled again.
    pub fn predecessor_noted(&mut self, group: &GroupId, committed: bool) {
        let rack = self.owned.get_mut(group);
        if let Some(rack) = rack.filter(|r| r.fenced_owner_note == FencedOwnerNote::Appending) {
            rack.fenced_owner_note = match committed {
                true => FencedOwnerNote::Journaled,
                false => FencedOwnerNote::Due,
            };
        }
    }
}

/// Returns the append that says that a fenced owner may still renew leases.
fn note(group: &GroupId) -> Effect {
    let entry = JournalEntry {
        group: group.clone(),
        key: FENCED_OWNER_KEY.into(),
        value: Some(String::new()),
    };
    Effect::Append {
        entries: vec![entry],
        after: AfterAppend::PredecessorNoted(group.clone()),
    }
}
