//! Steps of the leaders' work at the workers.

use jackdawchute_cell::authority::CLOCK_RATE_MIN;

use super::{
    spec::{Guards, Spec, LAPSE_STOP_MAX, LEASE_TICKS, STEP_DOWN_MAX},
    world::{Leader, Order, World},
};

impl Spec {
    /// Whether every lease of a worker has lapsed, as far as a leader knows.
    pub(crate) fn has_lapsed(&self, leader: &Leader, worker: usize) -> bool {
        let as_of = match self.guards.concludes_as_of_confirmation {
            true => leader.confirmed_at,
            false => self.now,
        };
        let lease = self.boot(LEASE_TICKS).div_f64(CLOCK_RATE_MIN);
        let earlier_until = leader.earlier.as_ref().map(|earlier| {
            let claimed_at = self.instant(earlier.claimed_at);
            match self.guards == Guards::FORMER {
                true => claimed_at + STEP_DOWN_MAX,
                false => self.earlier_until(earlier),
            }
        });
        let earlier_lapsed =
            earlier_until.is_none_or(|until| self.instant(as_of) > until + lease + LAPSE_STOP_MAX);
        self.own_lapsed(leader, worker) && earlier_lapsed
    }

    /// Whether every lease of a worker has lapsed that the leader has granted.
    pub(crate) fn own_lapsed(&self, leader: &Leader, worker: usize) -> bool {
        let as_of = match self.guards.concludes_as_of_confirmation {
            true => leader.confirmed_at,
            false => self.now,
        };
        let ahead = u64::from(!self.guards.earliest_clock);
        let until = self.instant(leader.lease_sent[worker]) + LAPSE_STOP_MAX;
        leader.lease_sent[worker] == 0 || self.instant(as_of + ahead) > until
    }

    /// Asks a worker for its runs, extends the task's lease, starts the task, or delivers an order.
    pub(crate) fn work(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let Some(leader) = &world.instances[number].leader else {
            return;
        };
        if let Some(order) = leader.order {
            next.push(world.step(|w| {
                w.instances[number]
                    .leader
                    .iter_mut()
                    .for_each(|l| l.order = None);
                let worker = &mut w.workers[order.worker];
                if worker.epoch <= leader.epoch {
                    worker.epoch = leader.epoch;
                    worker.lease_until = worker.lease_until.max(order.until);
                    worker.runs_task |= order.starts;
                }
            }));
        }
        let until = self.now + LEASE_TICKS + u64::from(!self.guards.earliest_clock);
        let may_order = leader.order.is_none() && self.may_send(leader);
        for (name, worker) in world.workers.iter().enumerate() {
            let order = |starts| {
                world.step(|w| {
                    if let Some(leader) = &mut w.instances[number].leader {
                        leader.task_at = Some(name);
                        leader.lease_sent[name] = leader.lease_sent[name].max(until);
                        leader.order = Some(Order {
                            worker: name,
                            until,
                            starts,
                        });
                    }
                })
            };
            let other = 1 - name;
            let is_here = leader.task_at == Some(name);
            let ended_elsewhere = leader.task_at.is_none() || self.has_lapsed(leader, other);
            let other_accounted_for = leader.reported[other] || self.has_lapsed(leader, other);
            if may_order && is_here {
                next.push(order(false));
            }
            if may_order
                && !is_here
                && leader.reported[name]
                && ended_elsewhere
                && other_accounted_for
            {
                next.push(order(true));
            }
            if !leader.reported[name] && worker.epoch <= leader.epoch {
                let reached = world.step(|w| w.workers[name].epoch = leader.epoch);
                next.push(reached.step(|w| {
                    if let Some(leader) = &mut w.instances[number].leader {
                        leader.reported[name] = true;
                        if worker.runs_task {
                            leader.task_at = Some(name);
                        }
                    }
                }));
                if worker.epoch < leader.epoch {
                    next.push(reached);
                }
            }
        }
    }
}
