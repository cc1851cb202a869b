//! The steps that an instance of the specification decides on: commits and effects.

use std::{sync::Arc, time::Duration};

use super::{
    instance::{CommitPurpose, GroupPhase, Intent},
    journal_spec::{EffectKind, JournalSpec, START_TICKS, TAKEOVER_TICKS},
    world::{World, GROUP},
};
use crate::{
    plan::{CommitPlan, Fence, GroupChange, GroupWrite},
    replay::{claimed_row, released_row},
    rows::{incarnation_key, GroupRow, IncarnationRow},
    takeover::{has_expired, observe},
};

impl JournalSpec {
    pub(super) fn decide(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let me = &world.instances[number];
        let may_write = me.is_idle() && me.commit_count < self.commits_max[number];
        if may_write {
            self.decide_ownership(world, number, next);
            self.decide_work(world, number, next);
        }
        self.send_effect(world, number, next);
    }

    fn decide_ownership(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let me = &world.instances[number];
        let (version, row) = world.table.group(GROUP);
        let group = |row, change| GroupWrite {
            group: GROUP.into(),
            expected_version: version,
            row,
            change,
        };
        if me.group_phase == GroupPhase::None && self.is_unowned(world, &row) {
            let row = claimed_row(&row, &me.id);
            let purpose = CommitPurpose::Claim(row.epoch);
            let plan = with_group(group(row, GroupChange::Claim));
            next.push(self.send(world, number, plan, purpose));
        }
        if let GroupPhase::CopyingInherited(_) = me.group_phase {
            let row = GroupRow {
                inherited: Vec::new(),
                ..row.clone()
            };
            let mut plan = with_group(group(row, GroupChange::ClearInherited));
            plan.segment = me
                .intent()
                .map_or(Vec::new(), |intent| me.segment(GROUP, Some(intent)));
            next.push(self.send(world, number, plan, CommitPurpose::ClearInherited));
        }
        if matches!(me.group_phase, GroupPhase::Complete(_))
            && world.release_count < self.releases_max
        {
            let plan = with_group(group(released_row(&row), GroupChange::Release));
            let mut releasing = self.send(world, number, plan, CommitPurpose::Release);
            releasing.release_count += 1;
            next.push(releasing);
        }
        self.detect_failure(world, number, next);
    }

    /// Whether the group has no owner or a fenced one.
    fn is_unowned(&self, world: &World, row: &GroupRow) -> bool {
        let Some(owner) = &row.owner else {
            return true;
        };
        let owner = world.table.incarnation(owner).and_then(|known| known.row);
        owner.is_some_and(|row| row.fenced_by.is_some())
    }

    /// Observes the other instance's row, and fences it once it has expired.
    fn detect_failure(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let me = &world.instances[number];
        let other = &world.instances[1 - number];
        let Some(known) = world.table.incarnation(&other.id) else {
            return;
        };
        let Some(row) = known.row.filter(|row| row.fenced_by.is_none()) else {
            return;
        };
        let now = self.instant(world.now);
        let observation = observe(me.observation, known.version, now);
        if has_expired(observation, Duration::from_secs(TAKEOVER_TICKS), now) {
            let fence = Fence {
                incarnation: other.id.clone(),
                expected_version: known.version,
                row: IncarnationRow {
                    fenced_by: Some(me.id.clone()),
                    ..row
                },
            };
            let plan = CommitPlan {
                fence: Some(fence),
                ..CommitPlan::default()
            };
            let mut fencing = self.send(world, number, plan, CommitPurpose::Fence);
            if !self.guards.fence_version_condition {
                remove_condition(&mut fencing, number, &other.id);
            }
            next.push(fencing);
        } else if me.observation != Some(observation) {
            let mut observing = world.clone();
            observing.instances[number].observation = Some(observation);
            next.push(observing);
        }
    }

    /// Journals a new intent, or the end of the open one.
    fn decide_work(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let me = &world.instances[number];
        if me.epoch().is_none() || me.unsent_effect.is_some() {
            return;
        }
        let new_intent = Intent {
            instance: number,
            worker: number,
            not_after: world.now + START_TICKS,
        };
        if me
            .intent()
            .is_some_and(|open_intent| self.tasks_end && world.executed.contains(&open_intent))
        {
            let mut ending = self.append(world, number, None);
            ending.task_ended = true;
            next.push(ending);
        }
        match me.intent() {
            None if world.task_ended => {}
            None if !world.refused[number] => {
                next.push(self.append(world, number, Some(new_intent)))
            }
            None => {}
            Some(open_intent)
                if self.kind == EffectKind::Task && self.cannot_start(world, open_intent) =>
            {
                next.push(self.append(world, number, Some(new_intent)));
            }
            Some(_) if self.kind == EffectKind::Task => {}
            Some(_) if !self.guards.no_resend => {
                next.push(self.append(world, number, Some(new_intent)))
            }
            Some(_) => {}
        }
    }

    /// Whether an open intent is known never to start: its worker does not run it and accepts it no
    /// more.
    fn cannot_start(&self, world: &World, open_intent: Intent) -> bool {
        let too_late = world.now > open_intent.not_after || !self.guards.start_deadline;
        !world.runs_on(open_intent.worker) && too_late
    }

    fn append(&self, world: &World, number: usize, value: Option<Intent>) -> World {
        let plan = CommitPlan {
            segment: world.instances[number].segment(GROUP, value),
            ..CommitPlan::default()
        };
        let mut appending = self.send(world, number, plan, CommitPurpose::Append(value));
        if !self.guards.intent_first {
            appending.instances[number].unsent_effect = value;
        }
        appending
    }

    fn send(
        &self,
        world: &World,
        number: usize,
        plan: CommitPlan,
        purpose: CommitPurpose,
    ) -> World {
        let mut world = world.clone();
        world.instances[number].send(plan, purpose);
        let id = world.instances[number].id.clone();
        let commit = world.instances[number]
            .pending
            .as_ref()
            .map(|pending| pending.commit.clone());
        world.commits.extend(commit.map(|commit| (number, commit)));
        if !self.guards.own_version_condition {
            remove_condition(&mut world, number, &id);
        }
        world
    }

    /// Sends the effect that may be sent; any other step may come before this one.
    fn send_effect(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let me = &world.instances[number];
        if me.unsent_effect.is_none() {
            return;
        }
        let mut sent = world.clone();
        sent.effects
            .extend(sent.instances[number].unsent_effect.take());
        next.push(sent);
    }
}

/// Removes the condition on an incarnation's row from the commit that was sent last.
fn remove_condition(world: &mut World, number: usize, id: &str) {
    let key = incarnation_key(id);
    let Some(pending) = &mut world.instances[number].pending else {
        return;
    };
    let commit = Arc::make_mut(&mut pending.commit.0);
    commit.conditions.retain(|condition| condition.key != key);
    if let Some(sent) = world.commits.last_mut() {
        sent.1 = pending.commit.clone();
    }
}

fn with_group(write: GroupWrite) -> CommitPlan {
    CommitPlan {
        groups: vec![write],
        ..CommitPlan::default()
    }
}
