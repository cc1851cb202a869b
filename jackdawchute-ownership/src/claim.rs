//! Takes groups without an owner and rebuilds their state.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use jackdawchute_ports::RowVersion;
use jackdawchute_types::{GroupId, IncarnationId};

use crate::{
    assign::{claims, Owners},
    effect::Effect,
    plan::{CommitPlan, GroupChange, GroupWrite},
    replay::{claimed_row, replay, Journals},
    rows::GroupRow,
    state::{ClaimPhase, OwnedGroup, State},
    GroupEvent,
};

/// The most groups that one commit claims.
const CLAIMED_GROUPS_MAX: usize = 64;
/// The most inherited entries that one commit writes again.
const ADOPTED_ENTRIES_MAX: usize = 1_000;

impl State {
    /// Every group that needs an owner, with the unfenced one it has. A group that nobody desires
    /// any more still needs one while its state is not empty.
    pub(crate) fn owners(&self) -> Owners {
        let desired = self
            .desired
            .iter()
            .flat_map(|groups| groups.iter().cloned());
        let kept = self.view.groups.iter().filter_map(|(id, known)| {
            let row = known.row.as_ref()?;
            (row.owner.is_some() || !row.inherited.is_empty()).then(|| id.clone())
        });
        desired
            .chain(kept)
            .map(|id| (id.clone(), self.unfenced_owner(&id)))
            .collect()
    }

    fn unfenced_owner(&self, group: &str) -> Option<IncarnationId> {
        let owner = self.view.group(group)?.owner.clone()?;
        // A row that was not read yet belongs to an incarnation that has just joined.
        let is_fenced = self
            .view
            .incarnation(&owner)
            .is_some_and(|row| row.fenced_by.is_some());
        (!is_fenced).then_some(owner)
    }

    /// Claims what falls to this incarnation, if anything has changed since nothing did.
    pub(crate) fn plan_claims(&mut self, plan: &mut CommitPlan) {
        let is_known = self.shared_out == Some(self.view.revision);
        if is_known || self.is_leaving || self.desired.is_none() || self.last_scan.is_none() {
            return;
        }
        let me = &self.identity.incarnation;
        let mine = claims(&self.owners(), &self.takers(), me);
        let free = mine
            .into_iter()
            .filter(|group| !self.owned.contains_key(group));
        for group in free.take(CLAIMED_GROUPS_MAX) {
            let old = self.view.group(&group).cloned().unwrap_or_default();
            plan.groups.push(GroupWrite {
                expected: self.view.group_version(&group),
                row: claimed_row(&old, me),
                change: GroupChange::Claim,
                group,
            });
        }
        if plan.groups.is_empty() {
            self.shared_out = Some(self.view.revision);
        }
    }

    /// The table names this incarnation as the owner.
    pub(crate) fn claimed(
        &mut self,
        group: GroupId,
        row: GroupRow,
        fenced_owner: Option<IncarnationId>,
        effects: &mut Vec<Effect>,
    ) {
        let sources = row.inherited;
        let owned = OwnedGroup {
            epoch: row.epoch,
            phase: ClaimPhase::Loading { sources },
            fenced_owner,
            is_releasing: false,
        };
        self.owned.insert(group, owned);
        self.load(effects);
    }

    /// Reads the journals that loading groups need, unless that is under way.
    pub(crate) fn load(&mut self, effects: &mut Vec<Effect>) {
        if self.is_loading {
            return;
        }
        let mut groups = Vec::new();
        let mut journals = BTreeSet::new();
        for (group, owned) in &self.owned {
            if let ClaimPhase::Loading { sources, .. } = &owned.phase {
                groups.push(group.clone());
                journals.extend(sources.iter().map(|source| source.incarnation.clone()));
            }
        }
        if groups.is_empty() {
            return;
        }
        self.is_loading = true;
        effects.push(Effect::Load {
            groups,
            sources: journals.into_iter().collect(),
        });
    }

    /// The journals were read, or could not be: the next tick tries again.
    pub fn loaded(
        &mut self,
        groups: &[GroupId],
        journals: Option<Journals>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.is_loading = false;
        if let Some(journals) = journals {
            for group in groups {
                self.adopt(group, &journals, &mut effects);
            }
            self.load(&mut effects);
        }
        self.pump(now, &mut effects);
        effects
    }

    fn adopt(&mut self, group: &GroupId, journals: &Journals, effects: &mut Vec<Effect>) {
        let Some(owned) = self.owned.get_mut(group) else {
            return;
        };
        let ClaimPhase::Loading { sources } = &owned.phase else {
            return;
        };
        let state = replay(group, sources, journals);
        let fenced_owner = owned.fenced_owner.clone();
        owned.phase = match sources.is_empty() {
            true => ClaimPhase::Complete,
            false => ClaimPhase::CopyingInherited,
        };
        self.journal.inherit((group.clone(), owned.epoch), &state);
        effects.push(Effect::Publish(GroupEvent::Claimed {
            group: group.clone(),
            epoch: owned.epoch,
            entries: Arc::new(state.into_iter().collect()),
            fenced_owner,
        }));
    }

    /// Writes inherited state into the own journal, and with the last of it clears the sources.
    pub(crate) fn plan_adoption(&self, plan: &mut CommitPlan) {
        let mut room = ADOPTED_ENTRIES_MAX;
        let adopting = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.phase == ClaimPhase::CopyingInherited);
        for (group, owned) in adopting {
            let group_epoch = (group.clone(), owned.epoch);
            let entries = self.journal.unjournaled(&group_epoch, room + 1);
            if entries.len() <= room {
                plan.groups.extend(self.cleared(group));
            }
            let taken = entries.len().min(room);
            plan.segment.extend(entries.into_iter().take(taken));
            room -= taken;
        }
    }

    fn cleared(&self, group: &GroupId) -> Option<GroupWrite> {
        let old = self.view.group(group)?;
        let row = GroupRow {
            inherited: Vec::new(),
            ..old.clone()
        };
        Some(GroupWrite {
            group: group.clone(),
            expected: self.own_group_version(group),
            row,
            change: GroupChange::ClearInherited,
        })
    }

    pub(crate) fn own_group_version(&self, group: &GroupId) -> RowVersion {
        self.view.group_version(group)
    }

    pub(crate) fn inherited_cleared(&mut self, group: &GroupId) {
        if let Some(owned) = self.owned.get_mut(group) {
            owned.phase = ClaimPhase::Complete;
            self.journal.clear_inherited(&(group.clone(), owned.epoch));
        }
    }
}
