//! Claims groups without an owner and rebuilds their state.

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
/// The most inherited entries that one commit copies into this incarnation's journal.
const COPIED_ENTRIES_MAX: usize = 1_000;

impl State {
    /// Returns every group that needs an owner, each with its unfenced owner if it has one. A group
    /// that is no longer desired still needs an owner while it has one or has inherited state.
    pub(crate) fn group_owners(&self) -> Owners {
        let desired = self
            .desired_groups
            .iter()
            .flat_map(|groups| groups.iter().cloned());
        let in_use = self.view.groups.iter().filter_map(|(id, known)| {
            let row = known.row.as_ref()?;
            (row.owner.is_some() || !row.inherited.is_empty()).then(|| id.clone())
        });
        desired
            .chain(in_use)
            .map(|id| (id.clone(), self.unfenced_owner(&id)))
            .collect()
    }

    fn unfenced_owner(&self, group: &str) -> Option<IncarnationId> {
        let owner = self.view.group(group)?.owner.clone()?;
        // An owner whose row was not read yet has just joined, and counts as unfenced.
        let is_fenced = self
            .view
            .incarnation(&owner)
            .is_some_and(|row| row.fenced_by.is_some());
        (!is_fenced).then_some(owner)
    }

    /// Adds claims of the groups that are assigned to this incarnation. Does nothing while the view
    /// still has the revision at which there was nothing left to claim.
    pub(crate) fn plan_claims(&mut self, plan: &mut CommitPlan) {
        let is_unchanged = self.no_claims_at_revision == Some(self.view.revision);
        if is_unchanged
            || self.is_leaving
            || self.desired_groups.is_none()
            || self.last_scan.is_none()
        {
            return;
        }
        let me = &self.identity.incarnation;
        let assigned = claims(&self.group_owners(), &self.candidate_owners(), me);
        let unowned = assigned
            .into_iter()
            .filter(|group| !self.owned_groups.contains_key(group));
        for group in unowned.take(CLAIMED_GROUPS_MAX) {
            let old = self.view.group(&group).cloned().unwrap_or_default();
            plan.groups.push(GroupWrite {
                expected_version: self.view.group_version(&group),
                row: claimed_row(&old, me),
                change: GroupChange::Claim,
                group,
            });
        }
        if plan.groups.is_empty() {
            self.no_claims_at_revision = Some(self.view.revision);
        }
    }

    /// Records that the table names this incarnation as the owner, and reads the journals of
    /// earlier owners.
    pub(crate) fn group_claimed(
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
        self.owned_groups.insert(group, owned);
        self.load_journals(effects);
    }

    /// Reads the journals that newly claimed groups need, unless such a read is in flight.
    pub(crate) fn load_journals(&mut self, effects: &mut Vec<Effect>) {
        if self.is_loading {
            return;
        }
        let mut groups = Vec::new();
        let mut journals = BTreeSet::new();
        for (group, owned) in &self.owned_groups {
            if let ClaimPhase::Loading { sources, .. } = &owned.phase {
                groups.push(group.clone());
                journals.extend(sources.iter().map(|source| source.incarnation.clone()));
            }
        }
        if groups.is_empty() {
            return;
        }
        self.is_loading = true;
        effects.push(Effect::LoadJournals {
            groups,
            sources: journals.into_iter().collect(),
        });
    }

    /// Handles the journals that were read for newly claimed groups; `None` if the read failed,
    /// which the next tick repeats.
    pub fn journals_loaded(
        &mut self,
        groups: &[GroupId],
        journals: Option<Journals>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.is_loading = false;
        if let Some(journals) = journals {
            for group in groups {
                self.serve_claimed(group, &journals, &mut effects);
            }
            self.load_journals(&mut effects);
        }
        self.send_next_commit(now, &mut effects);
        effects
    }

    /// Rebuilds the state of a claimed group, and starts to serve it.
    fn serve_claimed(&mut self, group: &GroupId, journals: &Journals, effects: &mut Vec<Effect>) {
        let Some(owned) = self.owned_groups.get_mut(group) else {
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

    /// Adds inherited entries to copy into this incarnation's journal; with the last entries of a
    /// group, the group's row stops listing earlier owners.
    pub(crate) fn plan_inherited_copies(&self, plan: &mut CommitPlan) {
        let mut remaining = COPIED_ENTRIES_MAX;
        let copying = self
            .owned_groups
            .iter()
            .filter(|(_, owned)| owned.phase == ClaimPhase::CopyingInherited);
        for (group, owned) in copying {
            let group_epoch = (group.clone(), owned.epoch);
            let entries = self.journal.unjournaled(&group_epoch, remaining + 1);
            if entries.len() <= remaining {
                plan.groups.extend(self.write_without_inherited(group));
            }
            let copied = entries.len().min(remaining);
            plan.segment.extend(entries.into_iter().take(copied));
            remaining -= copied;
        }
    }

    /// Returns the write that removes the earlier owners from a group's row.
    fn write_without_inherited(&self, group: &GroupId) -> Option<GroupWrite> {
        let old = self.view.group(group)?;
        let row = GroupRow {
            inherited: Vec::new(),
            ..old.clone()
        };
        Some(GroupWrite {
            group: group.clone(),
            expected_version: self.group_row_version(group),
            row,
            change: GroupChange::ClearInherited,
        })
    }

    pub(crate) fn group_row_version(&self, group: &GroupId) -> RowVersion {
        self.view.group_version(group)
    }

    /// Records that the group's row lists no earlier owners any more.
    pub(crate) fn inherited_cleared(&mut self, group: &GroupId) {
        if let Some(owned) = self.owned_groups.get_mut(group) {
            owned.phase = ClaimPhase::Complete;
            self.journal.clear_inherited(&(group.clone(), owned.epoch));
        }
    }
}
