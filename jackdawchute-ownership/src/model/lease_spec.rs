//! The specification of the owner lease: a holder acts only while no successor exists.
//!
//! It has one holder, with a task on worker 0 and requests to a minion, and one challenger, which
//! starts the task on worker 1 and sends requests after its takeover. Any call may fail or hang at
//! any time, and the holder may be paused between its check of the lease and its send.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    owner_lease::OwnerLease,
    takeover::{may_fence, observe, promise_duration, RowObservation},
    LeaseState,
};

/// How long the holder's row must be unchanged before it is fenced, in ticks.
const TAKEOVER_TICKS: u64 = 2;
/// How long a promise is valid, in ticks.
const HOLD_OFF_TICKS: u64 = 2;
/// How long a task runs on without a renewal, in ticks.
const TASK_LEASE_TICKS: u64 = 1;
/// The longest time that a request takes, in ticks.
const REQUEST_TICKS: u64 = 2;
/// How many requests the minion has capacity for.
const SLOTS: usize = 2;
/// How many of the holder's requests may be between the check of its lease and their send at a
/// time.
const SENDERS: usize = 1;
/// The present in every world, in ticks. It never changes: a tick moves all other instants back by
/// one instead, and those before 0 count as 0. No duration here is longer than this, so that worlds
/// that differ only in older instants behave the same.
const NOW: u64 = 4;

/// The guards of the protocol; the search shows that each is necessary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// The lease is no longer than the takeover time.
    pub short_lease: bool,
    /// A renewal counts from when it was sent.
    pub counts_from_send: bool,
    /// Without the table the holder needs the challenger's promise.
    pub needs_promise: bool,
    /// A promise counts from when it was requested.
    pub counts_from_request: bool,
    /// The challenger keeps its promise.
    pub keeps_promise: bool,
    /// No promise is given while a fence is in flight.
    pub no_promise_while_fencing: bool,
    /// Tasks are renewed up to an instant, not for a time from receipt.
    pub absolute_renewal: bool,
    /// The holder checks its lease state before it renews a task or sends a request.
    pub checks_lease_state: bool,
    /// The successor reserves a slot for each sender of the holder.
    pub reserves_slots: bool,
    /// The successor waits until all requests and task leases of the holder are known to be over.
    pub waits_for_end: bool,
}

impl Guards {
    /// All guards, as the product has them.
    pub const ALL: Self = Self {
        short_lease: true,
        counts_from_send: true,
        needs_promise: true,
        counts_from_request: true,
        keeps_promise: true,
        no_promise_while_fencing: true,
        absolute_renewal: true,
        checks_lease_state: true,
        reserves_slots: true,
        waits_for_end: true,
    };
}

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// The holder may act although it is fenced.
    ActsWhileFenced,
    /// The task runs on both workers.
    TwoPlaces,
    /// The minion has more requests than slots.
    Overloaded,
}

/// One state of the search. Instants are ticks; the present is always `NOW`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseWorld {
    /// When the fence took effect.
    pub fenced_at: Option<u64>,
    /// The instant from which the last renewal that the holder knows of counts.
    pub confirmed: u64,
    /// A renewal in the network: when it was sent.
    pub renewal_in_flight: Option<u64>,
    /// A renewal that took effect and whose answer has not arrived: when it was sent.
    pub unanswered_renewal: Option<u64>,
    /// A request for a promise that was not answered yet: when it was sent.
    pub promise_request: Option<u64>,
    /// A promise in the network: when it was requested.
    pub promise_answer: Option<u64>,
    /// Until when the holder has a promise.
    pub promised_until: Option<u64>,
    /// Until when the challenger has promised not to fence.
    pub promise_kept_until: u64,
    /// Since when the challenger has seen the holder's row unchanged, if it has.
    pub unchanged_since: Option<u64>,
    /// A fence in the network, and whether the row still has the version that the fence is
    /// conditional on.
    pub fence_in_flight: Option<bool>,
    /// A renewal of the task that the holder has checked its lease for and not sent yet: its end.
    pub checked_renewal: Option<u64>,
    /// A renewal of the task in the network: its end.
    pub task_renewal: Option<u64>,
    /// Until when worker 0 runs the task.
    pub task_until: u64,
    /// Whether worker 1 runs the task.
    pub runs_at_successor: bool,
    /// Whether the holder has checked its lease for a request that it has not sent yet.
    pub checked_request: bool,
    /// When each of the holder's requests ends at the latest.
    pub requests: Vec<u64>,
    /// How many requests the successor has at the minion.
    pub successor_requests: usize,
}

/// The scenario of one search.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSpec {
    /// The guards that are switched on.
    pub guards: Guards,
    /// Whether the holder requests promises.
    pub promises: bool,
    /// Whether the task is part of the search.
    pub tasks: bool,
    /// Whether requests are part of the search.
    pub requests: bool,
    /// Any instant; the ticks count from it.
    pub start: Instant,
}

impl LeaseSpec {
    /// Returns the initial world: the holder has just renewed its row and started the task.
    pub fn initial(&self) -> LeaseWorld {
        LeaseWorld {
            confirmed: NOW,
            task_until: NOW + TASK_LEASE_TICKS,
            ..LeaseWorld::default()
        }
    }

    /// Returns the first invariant that is violated, if any.
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

    /// Returns every world that one step can lead to.
    pub fn next(&self, world: &LeaseWorld) -> Vec<LeaseWorld> {
        let mut next = Vec::new();
        if self.violation(world).is_some() {
            return next;
        }
        self.renew(world, &mut next);
        self.challenge(world, &mut next);
        if self.promises {
            self.request_promise(world, &mut next);
        }
        if self.tasks {
            self.renew_task(world, &mut next);
        }
        if self.requests {
            self.send_request(world, &mut next);
        }
        self.start_successor_work(world, &mut next);
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

    /// Whether the holder may act according to `OwnerLease`, as the product checks it.
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

    /// Sends a renewal, applies it to the row, or delivers its answer.
    fn renew(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
        if world.renewal_in_flight.is_none()
            && world.unanswered_renewal.is_none()
            && world.fenced_at.is_none()
        {
            next.push(step(world, |w| w.renewal_in_flight = Some(NOW)));
        }
        if let Some(sent) = world.renewal_in_flight {
            let takes_effect = world.fenced_at.is_none();
            next.push(step(world, |w| {
                w.renewal_in_flight = None;
                if takes_effect {
                    w.unchanged_since = None;
                    w.fence_in_flight = w.fence_in_flight.map(|_| false);
                    w.unanswered_renewal = Some(sent);
                }
            }));
        }
        if let Some(sent) = world.unanswered_renewal {
            let from = if self.guards.counts_from_send {
                sent
            } else {
                NOW
            };
            next.push(step(world, |w| {
                w.unanswered_renewal = None;
                w.confirmed = w.confirmed.max(from);
            }));
        }
    }

    /// Requests a promise, lets the challenger answer, or delivers the answer.
    fn request_promise(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
        if world.promise_request.is_none() && world.promise_answer.is_none() {
            next.push(step(world, |w| w.promise_request = Some(NOW)));
        }
        if let Some(promise_request) = world.promise_request {
            let is_fencing =
                world.fence_in_flight.is_some() && self.guards.no_promise_while_fencing;
            let is_fenced = world.fenced_at.is_some() && self.guards.no_promise_while_fencing;
            let hold_off = promise_duration(is_fencing || is_fenced, ticks(HOLD_OFF_TICKS));
            next.push(step(world, |w| {
                w.promise_request = None;
                if !hold_off.is_zero() {
                    w.promise_answer = Some(promise_request);
                    w.promise_kept_until = NOW + hold_off.as_secs();
                }
            }));
        }
        if let Some(promise_request) = world.promise_answer {
            let from = if self.guards.counts_from_request {
                promise_request
            } else {
                NOW
            };
            next.push(step(world, |w| {
                w.promise_answer = None;
                w.promised_until = Some(from + HOLD_OFF_TICKS);
            }));
        }
    }

    /// Observes the holder's row, sends a fence, or applies it.
    fn challenge(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
        if world.fenced_at.is_some() {
            return;
        }
        if let Some(is_current) = world.fence_in_flight {
            next.push(step(world, |w| {
                w.fence_in_flight = None;
                w.fenced_at = is_current.then_some(NOW);
            }));
            return;
        }
        let now = self.instant(NOW);
        let observation = world.unchanged_since.map(|since| RowObservation {
            version: 0,
            since: self.instant(since),
        });
        let current = observe(observation, 0, now);
        let promised_until =
            Some(self.instant(world.promise_kept_until)).filter(|_| self.guards.keeps_promise);
        if may_fence(current, ticks(TAKEOVER_TICKS), promised_until, now) {
            next.push(step(world, |w| w.fence_in_flight = Some(true)));
        } else if observation != Some(current) {
            next.push(step(world, |w| w.unchanged_since = Some(NOW)));
        }
    }

    /// Checks the lease for a renewal of the task, sends the renewal, or delivers it.
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
                // Without the guard, the worker also resumes a task whose lease has lapsed.
                w.task_until = w.task_until.max(until);
            }));
        }
    }

    /// Checks the lease for a request, or sends it.
    fn send_request(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
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

    /// Starts the task or sends a request at the successor.
    fn start_successor_work(&self, world: &LeaseWorld, next: &mut Vec<LeaseWorld>) {
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
        let reserved = if self.guards.reserves_slots {
            SENDERS
        } else {
            0
        };
        if self.requests && world.successor_requests + reserved < SLOTS {
            next.push(step(world, |w| w.successor_requests += 1));
        }
    }
}

fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns the world after one tick: every instant moves back by one.
fn one_tick_later(world: &LeaseWorld) -> LeaseWorld {
    let back = |instant: u64| instant.saturating_sub(1);
    LeaseWorld {
        fenced_at: world.fenced_at.map(back),
        confirmed: back(world.confirmed),
        renewal_in_flight: world.renewal_in_flight.map(back),
        unanswered_renewal: world.unanswered_renewal.map(back),
        promise_request: world.promise_request.map(back),
        promise_answer: world.promise_answer.map(back),
        promised_until: world.promised_until.map(back),
        promise_kept_until: back(world.promise_kept_until),
        unchanged_since: world.unchanged_since.map(back),
        fence_in_flight: world.fence_in_flight,
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
