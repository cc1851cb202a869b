//! What an instance of the specification decides.

use std::{sync::Arc, time::Duration};

use super::{
    instance::{Holding, Intent, Work},
    journal_spec::{JournalSpec, Kind, START_TICKS, TAKEOVER_TICKS},
    world::{World, GROUP},
};
use crate::{
    adopt::{adopted, released},
    plan::{Fence, GroupChange, GroupWrite, Plan},
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
            let row = adopted(&row, &me.id);
            let work = Work::Claim(row.epoch);
            let plan = with_group(group(row, GroupChange::Claim));
            next.push(self.send(world, number, plan, work));
        }
        if let Holding::Adopting(_) = me.holding {
            let row = GroupRow {
                inherited: Vec::new(),
                ..row.clone()
            };
            let mut plan = with_group(group(row, GroupChange::Settle));
            plan.segment = me
                .intent()
                .map_or(Vec::new(), |intent| me.segment(GROUP, Some(intent)));
            next.push(self.send(world, number, plan, Work::Settle));
        }
        if matches!(me.holding, Holding::Settled(_)) && world.releases < self.releases_max {
            let plan = with_group(group(released(&row), GroupChange::Release));
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
        let watch = observe(me.watch, known.version, now);
        if has_expired(watch, Duration::from_secs(TAKEOVER_TICKS), now) {
            let fence = Fence {
                incarnation: other.id.clone(),
                expected: known.version,
                row: IncarnationRow {
                    fenced_by: Some(me.id.clone()),
                    ..row
                },
            };
            let plan = Plan {
                fence: Some(fence),
                ..Plan::default()
            };
            let mut fencing = self.send(world, number, plan, Work::Fence);
            if !self.guards.fence_version {
                forget_condition(&mut fencing, number, &other.id);
            }
            next.push(fencing);
        } else if me.watch != Some(watch) {
            let mut watching = world.clone();
            watching.instances[number].watch = Some(watch);
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
        let plan = Plan {
            segment: world.instances[number].segment(GROUP, value),
            ..Plan::default()
        };
        let mut appending = self.send(world, number, plan, Work::Append(value));
        if !self.guards.intent {
            appending.instances[number].outbox = value;
        }
        appending
    }

    fn send(&self, world: &World, number: usize, plan: Plan, work: Work) -> World {
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

fn with_group(write: GroupWrite) -> Plan {
    Plan {
        groups: vec![write],
        ..Plan::default()
    }
}
