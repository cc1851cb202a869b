//! The steps of the network: delivery of commits and effects, and loss of answers.

use jackdawchute_ports::{Commit, CommitOutcome};

use super::{
    instance::Intent,
    journal_spec::{EffectKind, JournalSpec},
    world::{Violation, World},
};
use crate::rows::{decode, incarnation_key, segment_key, Segment};

impl JournalSpec {
    pub(super) fn deliver(&self, world: &World, next: &mut Vec<World>) {
        for index in 0..world.commits.len() {
            self.deliver_commit(world, index, next);
        }
        for index in 0..world.effects.len() {
            next.push(self.deliver_effect(world, index, true));
            if self.kind == EffectKind::Task && world.duplicate_count < self.duplicates_max {
                next.push(self.deliver_effect(world, index, false));
            }
        }
    }

    /// Delivers a commit to the table, and its answer to the sender or to no one.
    fn deliver_commit(&self, world: &World, index: usize, next: &mut Vec<World>) {
        let mut arrived = world.clone();
        let (number, commit) = arrived.commits.remove(index);
        let outcome = arrived.table.apply(&commit.0);
        self.record_journaled(&mut arrived, number, &commit.0, &outcome);
        let awaited = arrived.instances[number].pending.as_ref();
        let is_awaited =
            awaited.is_some_and(|pending| pending.commit == commit && !pending.outcome_unknown);
        // The answer is lost, or the sender does not wait for it any more.
        if !is_awaited || self.loses_answers {
            next.push(arrived.clone());
        }
        if !is_awaited {
            return;
        }
        match outcome {
            CommitOutcome::Committed { version } => {
                self.commit_succeeded(&mut arrived, number, version)
            }
            CommitOutcome::Conflict { key, .. } => {
                self.commit_conflicted(&mut arrived, number, &key)
            }
        }
        next.push(arrived);
    }

    fn commit_conflicted(&self, world: &mut World, number: usize, key: &str) {
        let me = &mut world.instances[number];
        if key != incarnation_key(&me.id) {
            me.pending = None;
        } else if let Some(pending) = &mut me.pending {
            pending.outcome_unknown = true;
        }
    }

    /// Updates what the group's journal holds, from the segments of a commit that took effect.
    fn record_journaled(
        &self,
        world: &mut World,
        number: usize,
        commit: &Commit,
        outcome: &CommitOutcome,
    ) {
        let CommitOutcome::Committed { .. } = outcome else {
            return;
        };
        let first_segment_key = segment_key(&world.instances[number].id, 0);
        let prefix = first_segment_key.trim_end_matches('0');
        let segments = commit
            .writes
            .iter()
            .filter(|write| write.key.starts_with(prefix));
        for write in segments {
            let Some(segment) = write.value.as_deref().and_then(decode::<Segment>) else {
                continue;
            };
            for entry in segment {
                let intent = entry.value.as_deref().and_then(Intent::parse);
                world.journaled = intent;
                let was_refused = intent.is_some_and(|intent| {
                    world.refused[intent.instance] && intent.instance == number
                });
                if was_refused {
                    self.report_violation(world, Violation::RefusedAndJournaled);
                }
            }
        }
    }

    /// Delivers an effect to its worker or minion; unless it is the last delivery, a duplicate
    /// stays in the network.
    fn deliver_effect(&self, world: &World, index: usize, is_last: bool) -> World {
        let mut world = world.clone();
        let intent = match is_last {
            true => world.effects.remove(index),
            false => {
                world.duplicate_count += 1;
                world.effects[index]
            }
        };
        let is_late = self.kind == EffectKind::Task
            && self.guards.start_deadline
            && world.now > intent.not_after;
        let is_running = self.kind == EffectKind::Task && world.runs_on(intent.worker);
        if !is_late && !is_running {
            world.executed.push(intent);
        }
        if world.executed.len() > 1 {
            let violation = match self.kind {
                EffectKind::Task => Violation::TwoPlaces,
                EffectKind::Request => Violation::RanTwice,
            };
            self.report_violation(&mut world, violation);
        }
        if world.refused[intent.instance] && world.executed.contains(&intent) {
            self.report_violation(&mut world, Violation::RefusedAndRan);
        }
        world
    }
}
