//! Standing against takeover: a holder acts only while no successor exists.
//!
//! One holder with a task on worker 0 and requests on a minion, and one challenger that starts the
//! task on worker 1 and sends requests after its takeover. Any call may fail or hang at any time,
//! and the holder may be paused between its check and its send.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    owner_lease::OwnerLease,
    takeover::{may_fence, observe, promise, RowObservation},
    LeaseState,
};

const TAKEOVER_TICKS: u64 = 2;
const HOLD_OFF_TICKS: u64 = 2;
/// How long a task runs on without a renewal.
const TASK_LEASE_TICKS: u64 = 1;
/// How long a request takes at most.
const REQUEST_TICKS: u64 = 2;
/// What the minion holds.
const SLOTS: usize = 2;
/// How many requests the holder sends at a time between a check and a send.
const SENDERS: usize = 1;
/// The present in every world: instants move back instead, and those before 0 count as 0. No
/// duration here is as long, so worlds that differ only in older instants behave the same.
const NOW: u64 = 4;

/// What protects the invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// The lease is no longer than the takeover time.
    pub short_lease: bool,
    /// A renewal counts from when it was sent.
    pub counts_from_send: bool,
    /// Without the table the holder needs the challenger's promise.
    pub needs_promise: bool,
    /// A promise counts from when it was asked for.
    pub counts_from_ask: bool,
    /// The challenger keeps its promise.
    pub keeps_promise: bool,
    /// No promise is given while a fence is under way.
    pub no_promise_while_fencing: bool,
    /// Tasks are renewed up to an instant, not for a time from receipt.
    pub absolute_renewal: bool,
    /// The holder checks its standing before it renews or sends.
    pub checks_lease_state: bool,
    /// The successor keeps a slot back for each sender of the holder.
    pub keeps_slots: bool,
    /// The successor waits until the holder's requests and task leases surely ended.
    pub waits_for_end: bool,
}

impl Guards {
    /// Everything that the product does.
    pub const ALL: Self = Self {
        short_lease: true,
        counts_from_send: true,
        needs_promise: true,
        counts_from_ask: true,
        keeps_promise: true,
        no_promise_while_fencing: true,
        absolute_renewal: true,
        checks_lease_state: true,
        keeps_slots: true,
        waits_for_end: true,
    };
}

/// A broken invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// The holder may act although it is fenced.
    ActsWhileFenced,
    /// The task runs on both workers.
    TwoPlaces,
    /// The minion has more requests than slots.
    Overloaded,
}

/// One state of the search; instants are ticks, at which the present is always the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseWorld {
    /// When the fence took effect.
    pub fenced_at: Option<u64>,
    /// When the last renewal that the holder knows of counts from.
    pub confirmed: u64,
    /// A renewal in the network: when it was sent.
    pub renewal: Option<u64>,
    /// A renewal that took effect, whose answer has not arrived: when it was sent.
    pub renewed: Option<u64>,
    /// When the holder asked for a promise that was not answered yet.
    pub asked: Option<u64>,
    /// When the holder asked for a promise whose answer is in the network.
    pub promising: Option<u64>,
    /// Until when the holder has a promise.
    pub promised_until: Option<u64>,
    /// Until when the challenger promised not to fence.
    pub held_until: u64,
    /// Since when the challenger has seen the holder's row as it is now, if it has.
    pub watch: Option<u64>,
    /// A fence in the network, and whether the row is still as it depends on.
    pub fence: Option<bool>,
    /// A renewal of the task that the holder checked and has not sent yet: its instant.
    pub checked_renewal: Option<u64>,
    /// A renewal of the task in the network.
    pub task_renewal: Option<u64>,
    /// Until when worker 0 runs the task.
    pub task_until: u64,
    /// Whether worker 1 runs the task.
    pub runs_at_successor: bool,
    /// Whether the holder checked its standing for a request that it has not sent yet.
    pub checked_request: bool,
    /// When the holder's requests end at the latest.
    pub requests: Vec<u64>,
    /// How many requests the successor has at the minion.
    pub successor_requests: usize,
}

/// The bounds of one search.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSpec {
    /// What protects the invariants.
    pub guards: Guards,
    /// Whether the holder asks for promises.
    pub promises: bool,
    /// Whether the task is part of the search.
    pub tasks: bool,
    /// Whether requests are part of the search.
    pub requests: bool,
    /// Any instant; the ticks count from it.
    pub start: Instant,
}

impl LeaseSpec {
    /// A holder that has just renewed, with a task that was just started.
    pub fn initial(&self) -> LeaseWorld {
        LeaseWorld {
            confirmed: NOW,
            task_until: NOW + TASK_LEASE_TICKS,
            ..LeaseWorld::default()
        }
    }

    /// The first invariant that does not hold.
    pub fn violation(&self, world: &LeaseWorld) -> Option<Violation> {
        if world.fenced_at.is_some() && self.guards.checks_lease_state && self.may_act(world) {
            return Some(Violation::ActsWhileFenced);
        }
        if world.runs_at_successor && NOW < world.task_until {
            return Some(Violation::TwoPlaces);
        }
        if world.requests.len() + world.successor_requests > SLOTS {
            return Some(Violation::Overloaded);
        }
        None
    }

    /// Every world that one step can lead to.
    pub fn next(&self, world: &LeaseWorld) -> Vec<LeaseWorld> {
        let mut next = Vec::new();
        if self.violation(world).is_some() {
            return next;
        }
        self.renew(world, &mut next);
        self.challenge(world, &mut next);
        if self.promises {
            self.ask(world, &mut next);
        }
        if self.tasks {
            self.renew_task(world, &mut next);
        }
        if self.requests {
            self.request(world, &mut next);
        }
        self.succeed(world, &mut next);
        next.push(one_tick_later(world));
        next
    }

    fn instant(&self, tick: u64) -> Instant {
        self.start + ticks(tick)
    }

    fn lease(&self) -> Duration {
        let extra = u64::from(!self.guards.short_lease);
        ticks(TAKEOVER_TICKS + extra)
    }

    fn may_act(&self, world: &LeaseWorld) -> bool {
        let challenger = "b".into();
        let promised = world
            .promised_until
            .map(|until| ("b".into(), self.instant(until)));
        let owner_lease = OwnerLease {
            confirmed: Some(self.instant(world.confirmed)),
            promises: BTreeMap::from_iter(promised),
            fenced_by: None,
        };
        let peers = std::iter::once(&challenger).filter(|_| self.guards.needs_promise);
        let lease_state = owner_lease.state(self.lease(), peers, self.instant(NOW));
        matches!(lease_state, LeaseState::Confirmed | LeaseState::StoreDown)
    }

    fn renew(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
        if world.renewal.is_none() && world.renewed.is_none() && world.fenced_at.is_none() {
            next.push(step(world, |w| w.renewal = Some(NOW)));
        }
        if let Some(sent) = world.renewal {
            let takes_effect = world.fenced_at.is_none();
            next.push(step(world, |w| {
                w.renewal = None;
                if takes_effect {
                    w.watch = None;
                    w.fence = w.fence.map(|_| false);
                    w.renewed = Some(sent);
                }
            }));
        }
        if let Some(sent) = world.renewed {
            let from = if self.guards.counts_from_send {
                sent
            } else {
                NOW
            };
            next.push(step(world, |w| {
                w.renewed = None;
                w.confirmed = w.confirmed.max(from);
            }));
        }
    }

    fn ask(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
        if world.asked.is_none() && world.promising.is_none() {
            next.push(step(world, |w| w.asked = Some(NOW)));
        }
        if let Some(asked) = world.asked {
            let is_fencing = world.fence.is_some() && self.guards.no_promise_while_fencing;
            let is_fenced = world.fenced_at.is_some() && self.guards.no_promise_while_fencing;
            let hold_off = promise(is_fencing || is_fenced, ticks(HOLD_OFF_TICKS));
            next.push(step(world, |w| {
                w.asked = None;
                if !hold_off.is_zero() {
                    w.promising = Some(asked);
                    w.held_until = NOW + hold_off.as_secs();
                }
            }));
        }
        if let Some(asked) = world.promising {
            let from = if self.guards.counts_from_ask {
                asked
            } else {
                NOW
            };
            next.push(step(world, |w| {
                w.promising = None;
                w.promised_until = Some(from + HOLD_OFF_TICKS);
            }));
        }
    }

    fn challenge(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
        if world.fenced_at.is_some() {
            return;
        }
        if let Some(is_current) = world.fence {
            next.push(step(world, |w| {
                w.fence = None;
                w.fenced_at = is_current.then_some(NOW);
            }));
            return;
        }
        let now = self.instant(NOW);
        let observation = world.watch.map(|since| RowObservation {
            version: 0,
            since: self.instant(since),
        });
        let seen = observe(observation, 0, now);
        let held_off = Some(self.instant(world.held_until)).filter(|_| self.guards.keeps_promise);
        if may_fence(seen, ticks(TAKEOVER_TICKS), held_off, now) {
            next.push(step(world, |w| w.fence = Some(true)));
        } else if observation != Some(seen) {
            next.push(step(world, |w| w.watch = Some(NOW)));
        }
    }

    fn renew_task(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
        let may_act = !self.guards.checks_lease_state || self.may_act(world);
        if may_act && world.checked_renewal.is_none() && world.task_renewal.is_none() {
            let until = NOW + TASK_LEASE_TICKS;
            next.push(step(world, |w| w.checked_renewal = Some(until)));
        }
        if let Some(until) = world.checked_renewal {
            next.push(step(world, |w| {
                w.checked_renewal = None;
                w.task_renewal = Some(until);
            }));
        }
        if let Some(until) = world.task_renewal {
            let until = match self.guards.absolute_renewal {
                true => until,
                false => NOW + TASK_LEASE_TICKS,
            };
            next.push(step(world, |w| {
                w.task_renewal = None;
                // Without the guard, the worker also revives a task that it still remembers.
                w.task_until = w.task_until.max(until);
            }));
        }
    }

    fn request(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
        let may_act = !self.guards.checks_lease_state || self.may_act(world);
        if may_act && !world.checked_request && world.requests.len() < SLOTS {
            next.push(step(world, |w| w.checked_request = true));
        }
        if world.checked_request && world.requests.len() < SLOTS {
            next.push(step(world, |w| {
                w.checked_request = false;
                w.requests.push(NOW + REQUEST_TICKS);
            }));
        }
    }

    fn succeed(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
        let Some(fenced_at) = world.fenced_at else {
            return;
        };
        let wait = TASK_LEASE_TICKS.max(REQUEST_TICKS);
        if self.guards.waits_for_end && NOW < fenced_at + wait {
            return;
        }
        if self.tasks && !world.runs_at_successor {
            next.push(step(world, |w| w.runs_at_successor = true));
        }
        let kept = if self.guards.keeps_slots { SENDERS } else { 0 };
        if self.requests && world.successor_requests + kept < SLOTS {
            next.push(step(world, |w| w.successor_requests += 1));
        }
    }
}

fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn one_tick_later(world: &LeaseWorld) -> LeaseWorld {
    let back = |instant: u64| instant.saturating_sub(1);
    LeaseWorld {
        fenced_at: world.fenced_at.map(back),
        confirmed: back(world.confirmed),
        renewal: world.renewal.map(back),
        renewed: world.renewed.map(back),
        asked: world.asked.map(back),
        promising: world.promising.map(back),
        promised_until: world.promised_until.map(back),
        held_until: back(world.held_until),
        watch: world.watch.map(back),
        fence: world.fence,
        checked_renewal: world.checked_renewal.map(back),
        task_renewal: world.task_renewal.map(back),
        task_until: back(world.task_until),
        runs_at_successor: world.runs_at_successor,
        checked_request: world.checked_request,
        requests: world
            .requests
            .iter()
            .map(|end| back(*end))
            .filter(|end| *end > NOW)
            .collect(),
        successor_requests: world.successor_requests,
    }
}

fn step(world: &LeaseWorld, change: impl FnOnce(&mut LeaseWorld)) -> LeaseWorld {
    let mut world = world.clone();
    change(&mut world);
    world
}
