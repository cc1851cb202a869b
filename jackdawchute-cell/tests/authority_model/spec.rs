//! The specification: what each part may do next, by the product's own decisions.

use std::time::{Duration, Instant};

use jackdawchute_cell::authority::{
    Acknowledged, Authority, AuthorityState, ClaimState, EarlierLeaders, Replaced, PROMISED_FOR,
};

use super::world::{
    Claim, ClaimStage, Earlier, Instance, Leader, Member, Testimony, Worker, World, FIRST, L, P, Q,
};

/// How long a worker may take to end its tasks once their lease has lapsed.
pub(crate) const LAPSE_STOP_MAX: Duration = Duration::from_millis(400);
/// How long a successor assumed that its predecessor went on, by the former rules.
pub(crate) const STEP_DOWN_MAX: Duration = Duration::from_secs(1);
/// How long a leader extends a lease, in ticks.
pub(crate) const LEASE_TICKS: u64 = 1;

/// The guards of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A leader checks its authority when it sends an order.
    pub checks_authority: bool,
    /// A confirmation counts from when its call was sent.
    pub counts_from_send: bool,
    /// A leader concludes from silence as of its last confirmation.
    pub concludes_as_of_confirmation: bool,
    /// A successor allows for the authority of earlier leaders.
    pub waits_for_earlier: bool,
    /// Without the store, a leader needs the promises of all members.
    pub needs_promises: bool,
    /// A member claims only when its promise has ended.
    pub keeps_promise: bool,
    /// A member does not promise while a claim of its own may take effect.
    pub no_promise_while_claiming: bool,
    /// An incarnation promises only to the leader whose epoch it has read at the store itself.
    pub promises_what_it_read: bool,
    /// A promise counts from when it was asked for.
    pub promise_counts_from_request: bool,
    /// An instance that knows nothing of its predecessors allows for the longest authority.
    pub newcomer_allows_for_maximum: bool,
    /// The permission counts the time for which the machine is suspended.
    pub boot_clock: bool,
    /// A lease is granted from the earliest reading that the worker's clock may show.
    pub earliest_clock: bool,
}

impl Guards {
    /// All guards, as the product has them.
    pub const ALL: Self = Self {
        checks_authority: true,
        counts_from_send: true,
        concludes_as_of_confirmation: true,
        waits_for_earlier: true,
        needs_promises: true,
        keeps_promise: true,
        no_promise_while_claiming: true,
        promises_what_it_read: true,
        promise_counts_from_request: true,
        newcomer_allows_for_maximum: true,
        boot_clock: true,
        earliest_clock: true,
    };
    /// The rules before leaders had an authority that ends.
    pub const FORMER: Self = Self {
        checks_authority: false,
        concludes_as_of_confirmation: false,
        waits_for_earlier: false,
        ..Self::ALL
    };
}

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The task runs on both workers.
    TwoPlaces,
    /// A leader may act although a later one counts its authority as ended.
    ActsAfterItsEnd,
}

/// The scenario of one search.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    pub guards: Guards,
    /// The invariant that is checked.
    pub invariant: Violation,
    /// The length of a tick.
    pub tick: Duration,
    /// The present in every world, in ticks; no shorter than what a successor waits.
    pub now: u64,
    /// Which of L, P and Q claim the epoch.
    pub claims: [bool; 3],
    /// Which of them restart.
    pub restarts: [bool; 3],
    /// Whether members may be asked for promises.
    pub promises: bool,
    /// Whether P is a member from the start.
    pub has_member: bool,
    /// The earliest epoch whose leader acknowledges heartbeats during the search.
    pub heartbeats_from: u64,
    /// The last epoch.
    pub epoch_max: u64,
    /// Whether workers and the task are part of the search.
    pub tasks: bool,
    /// Any instant; the ticks count from it.
    pub start: Instant,
}

impl Spec {
    /// Returns the initial world: L has just confirmed its epoch and started the task on worker 0.
    pub fn initial(&self) -> World {
        let member = self.has_member.then(Member::default);
        let leader = Leader {
            epoch: FIRST,
            confirmed_at: self.now,
            permitted_from: self.now,
            confirmation: None,
            members: [None, member, None],
            earlier: None,
            task_at: Some(0),
            lease_sent: [self.now + LEASE_TICKS, 0],
            reported: [true; 2],
            order: None,
        };
        let acknowledged = Testimony {
            epoch: FIRST,
            earlier_until: 0,
            promised_until: 0,
        };
        World {
            epoch: FIRST,
            settled: true,
            instances: [
                Instance {
                    row: FIRST,
                    read: FIRST,
                    leader: Some(leader),
                    ..Instance::default()
                },
                Instance {
                    row: FIRST,
                    read: FIRST,
                    acknowledged: self.has_member.then_some(acknowledged),
                    ..Instance::default()
                },
                Instance::default(),
            ],
            workers: [
                Worker {
                    epoch: FIRST,
                    runs_task: self.tasks,
                    lease_until: self.now + LEASE_TICKS,
                },
                Worker {
                    epoch: FIRST,
                    ..Worker::default()
                },
            ],
        }
    }

    /// Returns whether the invariant is violated.
    pub fn is_violated(&self, world: &World) -> bool {
        match self.invariant {
            Violation::TwoPlaces => world.workers.iter().all(|worker| worker.runs_task),
            Violation::ActsAfterItsEnd => {
                let leaders = || world.instances.iter().filter_map(|i| i.leader.as_ref());
                let now = self.instant(self.now);
                leaders().any(|later| {
                    let ended = |earlier: &Earlier| self.earlier_until(earlier) <= now;
                    later.earlier.as_ref().is_some_and(ended)
                        && leaders().any(|l| l.epoch < later.epoch && self.may_act(l))
                })
            }
        }
    }

    /// Returns every world that one step can lead to.
    pub fn next(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        for instance in [L, P, Q] {
            self.confirm(world, instance, &mut next);
            if self.promises {
                self.promise(world, instance, &mut next);
            }
            self.claim(world, instance, &mut next);
            self.heartbeat(world, instance, &mut next);
            if self.tasks {
                self.work(world, instance, &mut next);
            }
            if self.restarts[instance] {
                next.push(restarted(world, instance));
            }
        }
        self.tick(world, &mut next);
        next.iter_mut().for_each(|world| self.normalize(world));
        next
    }

    /// Drops what can have no effect any more, so that fewer worlds differ.
    pub(crate) fn normalize(&self, world: &mut World) {
        for instance in &mut world.instances {
            let Some(leader) = &mut instance.leader else {
                continue;
            };
            let is_current = leader.epoch == world.epoch;
            leader.confirmation = leader.confirmation.filter(|c| c.answered || is_current);
            for worker in [0, 1] {
                if self.own_lapsed(leader, worker) {
                    leader.lease_sent[worker] = 0;
                }
            }
            if self.guards != Guards::ALL || self.promises {
                continue;
            }
            // Without promises, only a further confirmation lets the leader act again.
            if !self.may_act(leader) {
                leader.confirmed_at = 0;
                leader.permitted_from = 0;
            }
            let may_confirm = leader.confirmation.is_some_and(|call| call.answered);
            let is_inert = !self.may_act(leader) && leader.order.is_none() && !may_confirm;
            if is_inert && leader.epoch < world.epoch && self.epoch_max == 2 {
                instance.leader = None;
            }
        }
    }

    pub(crate) fn instant(&self, tick: u64) -> Instant {
        self.start + self.boot(tick)
    }

    pub(crate) fn boot(&self, tick: u64) -> Duration {
        self.tick * tick as u32
    }

    pub(crate) fn in_ticks(&self, duration: Duration) -> u64 {
        (duration.as_millis() / self.tick.as_millis()) as u64
    }

    /// Whether a leader may act according to `Authority`.
    pub(crate) fn may_act(&self, leader: &Leader) -> bool {
        let confirmed_at = self.boot(leader.permitted_from);
        let mut authority = Authority::new(confirmed_at);
        let members = leader.members.iter().enumerate();
        for (number, member) in members.filter(|_| self.guards.needs_promises) {
            if let Some(member) = member {
                let address = ([127, 0, 0, 1], number as u16).into();
                let incarnation = "member".into();
                authority.acknowledge(address, &incarnation, confirmed_at);
                let until = self.boot(member.promised_until);
                let asked_at = until.saturating_sub(PROMISED_FOR);
                authority.promised(address, &incarnation, asked_at, until - asked_at);
            }
        }
        authority.state(self.boot(self.now)) != AuthorityState::Ended
    }

    /// Whether the leader's own authority matters: nobody succeeds the last one.
    pub(crate) fn matters(&self, leader: &Leader) -> bool {
        self.tasks || leader.epoch < self.epoch_max
    }

    /// Whether an order may be sent now.
    pub(crate) fn may_send(&self, leader: &Leader) -> bool {
        !self.guards.checks_authority || self.may_act(leader)
    }

    /// Until when leaders before this one may act, according to `EarlierLeaders`.
    pub(crate) fn earlier_until(&self, earlier: &Earlier) -> Instant {
        let replaced = Replaced {
            epoch: earlier.replaced,
            settled: earlier.settled,
        };
        let claimed_at = self.instant(earlier.claimed_at);
        if !self.guards.waits_for_earlier {
            return claimed_at;
        }
        let mut leaders = EarlierLeaders::new(Some(replaced), claimed_at);
        if !self.guards.newcomer_allows_for_maximum {
            leaders.testified(&Acknowledged {
                epoch: earlier.replaced,
                sent_at: claimed_at,
                earlier_until: claimed_at,
                promised_until: claimed_at,
            });
        }
        for testimony in &earlier.testimonies {
            leaders.testified(&Acknowledged {
                epoch: testimony.epoch,
                sent_at: claimed_at,
                earlier_until: self.instant(testimony.earlier_until),
                promised_until: self.instant(testimony.promised_until),
            });
        }
        if let Some(stopped_at) = earlier.stopped_at {
            leaders.replaced_stopped(self.instant(stopped_at));
        }
        leaders.until()
    }

    /// Returns the promises and claims of an instance.
    pub(crate) fn claim_state(&self, instance: &Instance) -> ClaimState {
        let mut state = ClaimState::default();
        if let Some(until) = instance.promised_until {
            state.epoch_read(FIRST);
            state.promise(FIRST, self.instant(until) - PROMISED_FOR);
        }
        state.epoch_read(instance.read);
        let now = self.instant(self.now);
        if instance.unresolved {
            state.begin_claim(now);
            state.end_claim(true, false);
        }
        if instance.claim.is_some_and(|claim| !claim.abandoned) {
            state.begin_claim(now);
        }
        state
    }

    /// Returns what an instance knows from its last acknowledgement now.
    pub(crate) fn testimony(&self, instance: &Instance) -> Option<Testimony> {
        instance.acknowledged.map(|acknowledged| Testimony {
            promised_until: instance.promised_until.unwrap_or(self.now),
            ..acknowledged
        })
    }

    /// Delivers a heartbeat to a leader, with or without its acknowledgement, or tells a replaced
    /// leader of its successor.
    pub(crate) fn heartbeat(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let Some(leader) = &world.instances[number].leader else {
            return;
        };
        for (sender, instance) in world.instances.iter().enumerate() {
            if let (Some(replaced), Some(earlier)) = (&instance.leader, &leader.earlier) {
                if replaced.epoch == earlier.replaced {
                    next.push(world.step(|w| {
                        w.instances[sender].leader = None;
                        w.instances[sender].row = leader.epoch;
                        let earlier = w.instances[number].leader.iter_mut();
                        earlier
                            .filter_map(|leader| leader.earlier.as_mut())
                            .for_each(|earlier| earlier.stopped_at = Some(self.now));
                    }));
                }
            }
            let hears_of = instance.leader.is_none() && instance.row < leader.epoch;
            if hears_of && self.heartbeats_from <= self.epoch_max {
                next.push(world.step(|w| {
                    w.instances[sender].row = leader.epoch;
                    w.instances[sender].unresolved = false;
                }));
            }
            let is_follower = instance.leader.is_none() && instance.row == leader.epoch;
            if !is_follower || leader.epoch < self.heartbeats_from {
                continue;
            }
            let testimony = self
                .testimony(instance)
                .filter(|testimony| testimony.epoch < leader.epoch);
            let received = world.step(|w| {
                if let Some(leader) = &mut w.instances[number].leader {
                    if self.matters(leader) {
                        leader.members[sender].get_or_insert_default();
                    }
                    if let Some(earlier) = &mut leader.earlier {
                        earlier.testimonies.extend(testimony);
                    }
                }
            });
            if !self.matters(leader) {
                next.push(received);
                continue;
            }
            let now = self.instant(self.now);
            let left = leader.earlier.as_ref().map_or(Duration::ZERO, |earlier| {
                self.earlier_until(earlier).saturating_duration_since(now)
            });
            let left_ticks = left.as_millis().div_ceil(self.tick.as_millis()) as u64;
            next.push(received.step(|w| {
                w.instances[sender].acknowledged = Some(Testimony {
                    epoch: leader.epoch,
                    earlier_until: self.now + left_ticks,
                    promised_until: 0,
                });
            }));
            next.push(received);
        }
    }

    /// Lets a tick pass, during which L may be suspended. That differs from a pause of L only if the
    /// permission does not count it.
    pub(crate) fn tick(&self, world: &World, next: &mut Vec<World>) {
        let counts_from_request =
            self.guards.promise_counts_from_request && self.guards.counts_from_send;
        let later = world.one_tick_later(self.now, !counts_from_request);
        if let (false, Some(leader)) = (self.guards.boot_clock, &world.instances[L].leader) {
            next.push(later.step(|w| {
                if let Some(suspended) = &mut w.instances[L].leader {
                    suspended.permitted_from = leader.permitted_from;
                }
            }));
        }
        next.push(later);
    }
}

/// Returns the world after a restart of an instance; a claim of it may still take effect.
fn restarted(world: &World, instance: usize) -> World {
    world.step(|w| {
        let claim = w.instances[instance].claim.map(|claim| Claim {
            abandoned: true,
            ..claim
        });
        w.instances[instance] = Instance {
            claim: claim.filter(|claim| claim.stage == ClaimStage::InNetwork),
            ..Instance::default()
        };
    })
}
