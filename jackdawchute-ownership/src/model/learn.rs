//! What an instance of the specification learns.

use std::collections::BTreeMap;

use super::{
    instance::{Holding, Instance, Sending, Work},
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
    pub(super) fn learn(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let me = &world.instances[number];
        if let Holding::Loading(epoch) = me.holding {
            if me.sending.is_none() {
                next.push(self.loaded(world, number, epoch));
            }
        }
        if let Some(sending) = &me.sending {
            match sending.outcome_unknown {
                true => self.resolve(world, number, sending, next),
                // The answer does not come in time; the commit may still arrive.
                false if self.loses_answers => next.push(self.lost(world, number)),
                false => {}
            }
        }
    }

    fn loaded(&self, world: &World, number: usize, epoch: u64) -> World {
        let mut world = world.clone();
        let (_, row) = world.table.group(GROUP);
        world.instances[number].live = self.load(&world, &row);
        let me = &mut world.instances[number];
        me.holding = match row.inherited.is_empty() {
            true => Holding::Complete(epoch),
            false => Holding::CopyingInherited(epoch),
        };
        // A successor that was fenced itself in between adopts nothing that counts.
        let is_owner = row.owner.as_ref() == Some(&me.id) && row.epoch == epoch;
        if is_owner && me.intent() != world.truth {
            self.note(&mut world, Violation::StateLost);
        }
        world
    }

    fn load(&self, world: &World, row: &GroupRow) -> BTreeMap<EntryKey, String> {
        let mut sources = row.inherited.clone();
        if !self.guards.source_epochs {
            sources = every_epoch(&sources);
        }
        let journals = world
            .table
            .journals(sources.iter().map(|source| &source.incarnation));
        replay(GROUP, &sources, &journals)
    }

    fn lost(&self, world: &World, number: usize) -> World {
        let mut lost = world.clone();
        if let Some(sending) = &mut lost.instances[number].sending {
            sending.outcome_unknown = true;
        }
        if !self.guards.no_assumed_success {
            let version = lost.instances[number].own_version;
            self.landed(&mut lost, number, version);
        } else if !self.guards.no_assumed_failure {
            self.refused(&mut lost, number);
        }
        lost
    }

    fn resolve(&self, world: &World, number: usize, sending: &Sending, next: &mut Vec<World>) {
        let me = &world.instances[number];
        let row = world.table.incarnation(&me.id);
        let mut resolved = world.clone();
        match commit_status(&sending.commit.0.write_id, me.own_version, row.as_ref()) {
            CommitStatus::Committed { version, fenced_by } => {
                self.landed(&mut resolved, number, version);
                resolved.instances[number].is_fenced = fenced_by.is_some();
            }
            CommitStatus::Pending if sending.attempts < self.attempts_max => {
                resolved.commits.push((number, sending.commit.clone()));
                if let Some(sending) = &mut resolved.instances[number].sending {
                    sending.attempts += 1;
                    sending.outcome_unknown = false;
                }
            }
            // The specification deletes no rows.
            CommitStatus::Pending | CommitStatus::RowDeleted => return,
            CommitStatus::Rejected { .. } => {
                self.refused(&mut resolved, number);
                resolved.instances[number].is_fenced = true;
            }
        }
        next.push(resolved);
    }

    pub(super) fn landed(&self, world: &mut World, number: usize, version: u64) {
        let me = &mut world.instances[number];
        let Some(sending) = me.sending.take() else {
            return;
        };
        me.own_version = version;
        me.own_row = sending.row;
        match sending.work {
            Work::Append(value) => {
                me.live = value
                    .map(|intent| ("only".into(), intent.value()))
                    .into_iter()
                    .collect();
                if self.guards.intent {
                    me.outbox = value;
                }
            }
            Work::Claim(epoch) => me.holding = Holding::Loading(epoch),
            Work::ClearInherited => clear_inherited(me),
            Work::Release => {
                me.holding = Holding::None;
                me.live.clear();
            }
            Work::Renewal | Work::Fence => {}
        }
    }

    /// The commit surely has no effect: a caller is told that its request did not run.
    fn refused(&self, world: &mut World, number: usize) {
        let Some(sending) = world.instances[number].sending.take() else {
            return;
        };
        if let Work::Append(Some(intent)) = sending.work {
            world.refused[number] = true;
            if world.truth == Some(intent) {
                self.note(world, Violation::RefusedAndJournaled);
            }
        }
    }
}

fn clear_inherited(me: &mut Instance) {
    if let Holding::CopyingInherited(epoch) = me.holding {
        me.holding = Holding::Complete(epoch);
    }
}

fn every_epoch(sources: &[JournalSource]) -> Vec<JournalSource> {
    let epochs = |source: &JournalSource| {
        let incarnation = source.incarnation.clone();
        (0..=source.epoch).map(move |epoch| JournalSource {
            incarnation: incarnation.clone(),
            epoch,
        })
    };
    sources.iter().flat_map(epochs).collect()
}
