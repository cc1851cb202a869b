//! The steps in which an instance of the specification receives journals and answers.

use std::collections::BTreeMap;

use super::{
    instance::{CommitPurpose, GroupPhase, Instance, SentCommit},
    journal_spec::JournalSpec,
    world::{Violation, World, GROUP},
};
use crate::{
    commit_status::{commit_status, CommitStatus},
    replay::replay,
    rows::{GroupRow, JournalSource},
    EntryKey,
};

impl JournalSpec {
    pub(super) fn receive(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let me = &world.instances[number];
        if let GroupPhase::Loading(epoch) = me.group_phase {
            if me.pending.is_none() {
                next.push(self.read_journals(world, number, epoch));
            }
        }
        if let Some(pending) = &me.pending {
            match pending.outcome_unknown {
                true => self.resolve_outcome(world, number, pending, next),
                // The answer does not come in time; the commit may still arrive.
                false if self.loses_answers => next.push(self.lose_answer(world, number)),
                false => {}
            }
        }
    }

    /// Reads the journals of earlier owners, and begins to serve the group.
    fn read_journals(&self, world: &World, number: usize, epoch: u64) -> World {
        let mut world = world.clone();
        let (_, row) = world.table.group(GROUP);
        world.instances[number].live_entries = self.replayed_state(&world, &row);
        let me = &mut world.instances[number];
        me.group_phase = match row.inherited.is_empty() {
            true => GroupPhase::Complete(epoch),
            false => GroupPhase::CopyingInherited(epoch),
        };
        // A successor that was itself fenced in the meantime may read any state; it is not the
        // owner.
        let is_owner = row.owner.as_ref() == Some(&me.id) && row.epoch == epoch;
        if is_owner && me.intent() != world.journaled {
            self.report_violation(&mut world, Violation::StateLost);
        }
        world
    }

    fn replayed_state(&self, world: &World, row: &GroupRow) -> BTreeMap<EntryKey, String> {
        let mut sources = row.inherited.clone();
        if !self.guards.source_epochs {
            sources = all_epochs(&sources);
        }
        let journals = world
            .table
            .journals(sources.iter().map(|source| &source.incarnation));
        replay(GROUP, &sources, &journals)
    }

    /// Loses the answer to the pending commit.
    fn lose_answer(&self, world: &World, number: usize) -> World {
        let mut lost = world.clone();
        if let Some(pending) = &mut lost.instances[number].pending {
            pending.outcome_unknown = true;
        }
        if !self.guards.no_assumed_success {
            let version = lost.instances[number].own_row_version;
            self.commit_succeeded(&mut lost, number, version);
        } else if !self.guards.no_assumed_failure {
            self.commit_failed(&mut lost, number);
        }
        lost
    }

    /// Resolves the pending commit from the instance's row.
    fn resolve_outcome(
        &self,
        world: &World,
        number: usize,
        pending: &SentCommit,
        next: &mut Vec<World>,
    ) {
        let me = &world.instances[number];
        let row = world.table.incarnation(&me.id);
        let mut resolved = world.clone();
        match commit_status(&pending.commit.0.write_id, me.own_row_version, row.as_ref()) {
            CommitStatus::Committed { version, fenced_by } => {
                self.commit_succeeded(&mut resolved, number, version);
                resolved.instances[number].is_fenced = fenced_by.is_some();
            }
            CommitStatus::Pending if pending.attempts < self.attempts_max => {
                resolved.commits.push((number, pending.commit.clone()));
                if let Some(pending) = &mut resolved.instances[number].pending {
                    pending.attempts += 1;
                    pending.outcome_unknown = false;
                }
            }
            // The specification deletes no rows.
            CommitStatus::Pending | CommitStatus::RowDeleted => return,
            CommitStatus::Rejected { .. } => {
                self.commit_failed(&mut resolved, number);
                resolved.instances[number].is_fenced = true;
            }
        }
        next.push(resolved);
    }

    /// Applies the success of the pending commit.
    pub(super) fn commit_succeeded(&self, world: &mut World, number: usize, version: u64) {
        let me = &mut world.instances[number];
        let Some(pending) = me.pending.take() else {
            return;
        };
        me.own_row_version = version;
        me.own_row = pending.row;
        match pending.purpose {
            CommitPurpose::Append(value) => {
                me.live_entries = value
                    .map(|intent| ("only".into(), intent.value()))
                    .into_iter()
                    .collect();
                if self.guards.intent_first {
                    me.unsent_effect = value;
                }
            }
            CommitPurpose::Claim(epoch) => me.group_phase = GroupPhase::Loading(epoch),
            CommitPurpose::ClearInherited => clear_inherited(me),
            CommitPurpose::Release => {
                me.group_phase = GroupPhase::None;
                me.live_entries.clear();
            }
            CommitPurpose::Renewal | CommitPurpose::Fence => {}
        }
    }

    /// Applies the failure of the pending commit: if it journals an intent, the caller is told that
    /// its request did not run.
    fn commit_failed(&self, world: &mut World, number: usize) {
        let Some(pending) = world.instances[number].pending.take() else {
            return;
        };
        if let CommitPurpose::Append(Some(intent)) = pending.purpose {
            world.refused[number] = true;
            if world.journaled == Some(intent) {
                self.report_violation(world, Violation::RefusedAndJournaled);
            }
        }
    }
}

fn clear_inherited(me: &mut Instance) {
    if let GroupPhase::CopyingInherited(epoch) = me.group_phase {
        me.group_phase = GroupPhase::Complete(epoch);
    }
}

fn all_epochs(sources: &[JournalSource]) -> Vec<JournalSource> {
    let epochs = |source: &JournalSource| {
        let incarnation = source.incarnation.clone();
        (0..=source.epoch).map(move |epoch| JournalSource {
            incarnation: incarnation.clone(),
            epoch,
        })
    };
    sources.iter().flat_map(epochs).collect()
}
