//! What an instance of the specification decides.

use std::{sync::Arc, time::Duration};

use super::{
    instance::{Holding, Intent, Work},
    journal_spec::{JournalSpec, Kind, START_TICKS, TAKEOVER_TICKS},
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
        let may_write = me.is_free() && me.writes < self.writes_max[number];
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
            expected: version,
            row,
            change,
        };
        if me.holding == Holding::None && self.is_free(world, &row) {
            let row = claimed_row(&row, &me.id);
            let work = Work::Claim(row.epoch);
            let plan = with_group(group(row, GroupChange::Claim));
            next.push(self.send(world, number, plan, work));
        }
        if let Holding::CopyingInherited(_) = me.holding {
            let row = GroupRow {
                inherited: Vec::new(),
                ..row.clone()
            };
            let mut plan = with_group(group(row, GroupChange::ClearInherited));
            plan.segment = me
                .intent()
                .map_or(Vec::new(), |intent| me.segment(GROUP, Some(intent)));
            next.push(self.send(world, number, plan, Work::ClearInherited));
        }
        if matches!(me.holding, Holding::Complete(_)) && world.releases < self.releases_max {
            let plan = with_group(group(released_row(&row), GroupChange::Release));
            let mut releasing = self.send(world, number, plan, Work::Release);
            releasing.releases += 1;
            next.push(releasing);
        }
        self.watch(world, number, next);
    }

    fn is_free(&self, world: &World, row: &GroupRow) -> bool {
        let Some(owner) = &row.owner else {
            return true;
        };
        let owner = world.table.incarnation(owner).and_then(|known| known.row);
        owner.is_some_and(|row| row.fenced_by.is_some())
    }

    fn watch(&self, world: &World, number: usize, next: &mut Vec<World>) {
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
                expected: known.version,
                row: IncarnationRow {
                    fenced_by: Some(me.id.clone()),
                    ..row
                },
            };
            let plan = CommitPlan {
                fence: Some(fence),
                ..CommitPlan::default()
            };
            let mut fencing = self.send(world, number, plan, Work::Fence);
            if !self.guards.fence_version {
                forget_condition(&mut fencing, number, &other.id);
            }
            next.push(fencing);
        } else if me.observation != Some(observation) {
            let mut watching = world.clone();
            watching.instances[number].observation = Some(observation);
            next.push(watching);
        }
    }

    fn decide_work(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let me = &world.instances[number];
        if me.epoch().is_none() || me.outbox.is_some() {
            return;
        }
        let fresh = Intent {
            by: number,
            worker: number,
            not_after: world.now + START_TICKS,
        };
        if me
            .intent()
            .is_some_and(|open| self.tasks_end && world.done.contains(&open))
        {
            let mut ending = self.append(world, number, None);
            ending.has_ended = true;
            next.push(ending);
        }
        match me.intent() {
            None if world.has_ended => {}
            None if !world.refused[number] => next.push(self.append(world, number, Some(fresh))),
            None => {}
            Some(open) if self.kind == Kind::Task && self.is_closed(world, open) => {
                next.push(self.append(world, number, Some(fresh)));
            }
            Some(_) if self.kind == Kind::Task => {}
            Some(_) if !self.guards.no_resend => next.push(self.append(world, number, Some(fresh))),
            Some(_) => {}
        }
    }

    /// Whether an open start surely never happens: its worker does not run it, and will not take
    /// it any more.
    fn is_closed(&self, world: &World, open: Intent) -> bool {
        let too_late = world.now > open.not_after || !self.guards.not_after;
        !world.runs_on(open.worker) && too_late
    }

    fn append(&self, world: &World, number: usize, value: Option<Intent>) -> World {
        let plan = CommitPlan {
            segment: world.instances[number].segment(GROUP, value),
            ..CommitPlan::default()
        };
        let mut appending = self.send(world, number, plan, Work::Append(value));
        if !self.guards.intent {
            appending.instances[number].outbox = value;
        }
        appending
    }

    fn send(&self, world: &World, number: usize, plan: CommitPlan, work: Work) -> World {
        let mut world = world.clone();
        world.instances[number].send(plan, work);
        let id = world.instances[number].id.clone();
        let commit = world.instances[number]
            .sending
            .as_ref()
            .map(|sending| sending.commit.clone());
        world.commits.extend(commit.map(|commit| (number, commit)));
        if !self.guards.fence {
            forget_condition(&mut world, number, &id);
        }
        world
    }

    /// Sends what may be sent; any other step may come first.
    fn send_effect(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let me = &world.instances[number];
        if me.outbox.is_none() {
            return;
        }
        let mut sent = world.clone();
        sent.effects.extend(sent.instances[number].outbox.take());
        next.push(sent);
    }
}

/// Removes the condition on an incarnation's row from the commit that was sent last.
fn forget_condition(world: &mut World, number: usize, id: &str) {
    let key = incarnation_key(id);
    let Some(sending) = &mut world.instances[number].sending else {
        return;
    };
    let commit = Arc::make_mut(&mut sending.commit.0);
    commit.conditions.retain(|condition| condition.key != key);
    if let Some(sent) = world.commits.last_mut() {
        sent.1 = sending.commit.clone();
    }
}

fn with_group(write: GroupWrite) -> CommitPlan {
    CommitPlan {
        groups: vec![write],
        ..CommitPlan::default()
    }
}
