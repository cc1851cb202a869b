//! The state that is searched. Instants are ticks; the present is always the spec's `now`.

use std::collections::BTreeSet;

/// The leader of epoch 1.
pub const L: usize = 0;
/// A member: an instance that the leader of epoch 1 has acknowledged.
pub const P: usize = 1;
/// A newcomer: an instance that no leader has acknowledged.
pub const Q: usize = 2;
/// The epoch that the initial leader holds.
pub const FIRST: u64 = 1;

/// What an instance knows from the leader that acknowledged it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Testimony {
    pub epoch: u64,
    pub earlier_until: u64,
    pub promised_until: u64,
}

/// How far a claim is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimStage {
    /// The instance's last promise ends then.
    Waiting(u64),
    InNetwork,
    /// The store has answered that the claim took effect, or not.
    Answered(bool),
}

/// A claim that is under way or may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The epoch of the row that the claim replaces.
    pub replaced: u64,
    pub settled: bool,
    pub stage: ClaimStage,
    /// Whether the instance has stopped waiting for the answer.
    pub abandoned: bool,
}

/// A call that confirms a leader's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    pub sent_at: u64,
    /// Whether it is a commit that saves that no earlier leader has authority.
    pub settled: bool,
    /// Whether the store has answered.
    pub answered: bool,
}

/// A request for a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromiseCall {
    pub asked_at: u64,
    /// Whether the member has promised.
    pub answered: bool,
}

/// A member as its leader knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Member {
    pub promised_until: u64,
    pub call: Option<PromiseCall>,
}

/// What a leader knows of the leaders before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Earlier {
    pub replaced: u64,
    pub settled: bool,
    pub claimed_at: u64,
    pub testimonies: BTreeSet<Testimony>,
    pub stopped_at: Option<u64>,
}

/// An order in the network to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    pub worker: usize,
    /// The end of the lease, on the worker's clock.
    pub until: u64,
    /// Whether it starts the task, or else extends the lease only.
    pub starts: bool,
}

/// The state of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    pub epoch: u64,
    /// When the last call was sent that confirmed the epoch.
    pub confirmed_at: u64,
    /// The same on the clock that the permission is measured with.
    pub permitted_from: u64,
    pub confirmation: Option<Confirmation>,
    pub members: [Option<Member>; 3],
    pub earlier: Option<Earlier>,
    /// The worker that has the task, as far as the leader knows.
    pub task_at: Option<usize>,
    /// The latest end of a lease that was sent to each worker.
    pub lease_sent: [u64; 2],
    /// Whether each worker has reported its runs and follows this leader.
    pub reported: [bool; 2],
    pub order: Option<Order>,
}

/// The state of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Instance {
    /// The epoch of the newest leader row that it knows; 0 for none.
    pub row: u64,
    /// The highest epoch that it has read at the store itself; 0 for none.
    pub read: u64,
    pub acknowledged: Option<Testimony>,
    pub promised_until: Option<u64>,
    /// Whether a claim without an answer may take effect.
    pub unresolved: bool,
    pub claim: Option<Claim>,
    pub leader: Option<Leader>,
}

/// The state of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Worker {
    /// The highest epoch that it has seen.
    pub epoch: u64,
    pub runs_task: bool,
    pub lease_until: u64,
}

/// One state of the search.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub epoch: u64,
    /// Whether the head row says that no leader before the epoch has authority.
    pub settled: bool,
    pub instances: [Instance; 3],
    pub workers: [Worker; 2],
}

impl World {
    /// Returns the world after a change.
    pub fn step(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        change(&mut world);
        world
    }

    /// Returns the world one tick later: every instant moves back by one. What has no effect any
    /// more is dropped, so that fewer worlds differ.
    pub fn one_tick_later(&self, now: u64, keeps_late_answers: bool) -> Self {
        let mut world = self.clone();
        let back = |instant: &mut u64| *instant = instant.saturating_sub(1);
        for worker in &mut world.workers {
            back(&mut worker.lease_until);
            // A task stops less than a tick after its lease.
            worker.runs_task &= worker.lease_until >= now;
            if worker.lease_until < now {
                worker.lease_until = 0;
            }
        }
        for instance in &mut world.instances {
            if let Some(testimony) = &mut instance.acknowledged {
                back(&mut testimony.earlier_until);
            }
            instance.promised_until.iter_mut().for_each(back);
            instance.promised_until = instance.promised_until.filter(|until| *until > now);
            if let Some(ClaimStage::Waiting(until)) =
                instance.claim.as_mut().map(|claim| &mut claim.stage)
            {
                *until = (*until - 1).max(now);
            }
            let Some(leader) = &mut instance.leader else {
                continue;
            };
            back(&mut leader.confirmed_at);
            back(&mut leader.permitted_from);
            // 0 stands for leases that are known to have lapsed.
            let back_to_one = |until: &mut u64| *until = (*until).min((*until - 1).max(1));
            let granted = leader.lease_sent.iter_mut().filter(|until| **until > 0);
            granted.for_each(back_to_one);
            if let Some(confirmation) = &mut leader.confirmation {
                back(&mut confirmation.sent_at);
            }
            let confirmed_at = leader.confirmed_at;
            leader.confirmation = leader
                .confirmation
                .filter(|call| keeps_late_answers || call.sent_at > confirmed_at);
            for member in leader.members.iter_mut().flatten() {
                back(&mut member.promised_until);
                if member.promised_until <= now {
                    member.promised_until = 0;
                }
                if let Some(call) = &mut member.call {
                    back(&mut call.asked_at);
                }
                member.call = member.call.filter(|_| keeps_late_answers);
            }
            if let Some(order) = &mut leader.order {
                back(&mut order.until);
            }
            leader.order = leader.order.filter(|order| order.until >= now);
            if let Some(earlier) = &mut leader.earlier {
                back(&mut earlier.claimed_at);
                earlier.stopped_at.iter_mut().for_each(back);
                let testimonies = std::mem::take(&mut earlier.testimonies);
                earlier.testimonies = testimonies
                    .into_iter()
                    .map(|mut testimony| {
                        back(&mut testimony.earlier_until);
                        back(&mut testimony.promised_until);
                        testimony
                    })
                    .collect();
            }
        }
        world
    }
}
