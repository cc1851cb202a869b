//! What the network of the specification does.

use jackdawchute_ports::{Commit, CommitOutcome};

use super::{
    instance::Intent,
    journal_spec::{JournalSpec, Kind},
    world::{Violation, World},
};
use crate::rows::{decode, incarnation_key, segment_key, Segment};

impl JournalSpec {
    pub(super) fn network(&self, world: &World, next: &mut Vec<World>) {
        for index in 0..world.commits.len() {
            self.deliver_commit(world, index, next);
        }
        for index in 0..world.effects.len() {
            next.push(self.deliver_effect(world, index, true));
            if self.kind == Kind::Task && world.doubled < self.doubled_max {
                next.push(self.deliver_effect(world, index, false));
            }
        }
    }

    fn deliver_commit(&self, world: &World, index: usize, next: &mut Vec<World>) {
        let mut arrived = world.clone();
        let (number, commit) = arrived.commits.remove(index);
        let outcome = arrived.table.apply(&commit.0);
        self.record(&mut arrived, number, &commit.0, &outcome);
        let awaited = arrived.instances[number].sending.as_ref();
        let is_awaited =
            awaited.is_some_and(|sending| sending.commit == commit && !sending.outcome_unknown);
        // The answer is lost, or the sender waits no more.
        if !is_awaited || self.loses_answers {
            next.push(arrived.clone());
        }
        if !is_awaited {
            return;
        }
        match outcome {
            CommitOutcome::Committed { version } => self.landed(&mut arrived, number, version),
            CommitOutcome::Conflict { key, .. } => self.conflict(&mut arrived, number, &key),
        }
        next.push(arrived);
    }

    fn conflict(&self, world: &mut World, number: usize, key: &str) {
        let me = &mut world.instances[number];
        if key != incarnation_key(&me.id) {
            me.sending = None;
        } else if let Some(sending) = &mut me.sending {
            sending.outcome_unknown = true;
        }
    }

    /// Notes what the journal of the group's owner holds now.
    fn record(&self, world: &mut World, number: usize, commit: &Commit, outcome: &CommitOutcome) {
        let CommitOutcome::Committed { .. } = outcome else {
            return;
        };
        let own = segment_key(&world.instances[number].id, 0);
        let prefix = own.trim_end_matches('0');
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
                world.truth = intent;
                let was_refused =
                    intent.is_some_and(|intent| world.refused[intent.by] && intent.by == number);
                if was_refused {
                    self.note(world, Violation::RefusedAndJournaled);
                }
            }
        }
    }

    fn deliver_effect(&self, world: &World, index: usize, is_last: bool) -> World {
        let mut world = world.clone();
        let intent = match is_last {
            true => world.effects.remove(index),
            false => {
                world.doubled += 1;
                world.effects[index]
            }
        };
        let is_late =
            self.kind == Kind::Task && self.guards.not_after && world.now > intent.not_after;
        let is_known = self.kind == Kind::Task && world.runs_on(intent.worker);
        if !is_late && !is_known {
            world.done.push(intent);
        }
        if world.done.len() > 1 {
            let violation = match self.kind {
                Kind::Task => Violation::TwoPlaces,
                Kind::Request => Violation::RanTwice,
            };
            self.note(&mut world, violation);
        }
        if world.refused[intent.by] && world.done.contains(&intent) {
            self.note(&mut world, Violation::RefusedAndRan);
        }
        world
    }
}
