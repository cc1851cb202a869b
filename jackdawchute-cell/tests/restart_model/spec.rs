//! The specification: the rules, the invariants, and what time and workers may do.

use super::world::{Leader, Link, Order, View, Worker, World, COUNT_MAX, FAILING};

/// How long a leader may act after its epoch was claimed.
pub const AUTHORITY: u8 = 1;
/// How long a leader extends a lease.
pub const LEASE: u8 = 1;
/// The lowest tokens of the leaders; a raised one is higher by one.
const FIRST_TOKEN: u8 = 1;
const SUCCESSOR_TOKEN: u8 = 3;

/// The guards of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// While its worker is silent, a run with a start that got no answer is kept for the longest
    /// delay of an order.
    pub waits_for_delay: bool,
    /// It is kept for the longest hold besides, which what a late order began may last.
    pub waits_for_hold: bool,
    /// It is kept for the longest delay although the worker answers without it, and a successor keeps
    /// one in place of each saved name.
    pub waits_though_answered: bool,
    /// A start is repeated only while its worker answers.
    pub repeats_while_answered: bool,
    /// The token is raised for a new incarnation.
    pub raises_token: bool,
    /// A new incarnation gets no task, and no run of the former one is given up, before it has listed
    /// its runs under the raised token.
    pub lists_before_placement: bool,
    /// The lease of a new incarnation counts as the longest hold from that list on.
    pub holds_from_list: bool,
    /// The lease of an incarnation that a successor hears first counts so, too.
    pub successor_holds_from_list: bool,
    /// A start that was answered by an incarnation that its leader had not heard counts as one without
    /// an answer.
    pub counts_start_as_unanswered: bool,
    /// The worker that may begin a task is saved before the start is sent, or else once no answer
    /// came.
    pub names_before_start: bool,
    /// The name is kept for as long as the lease of a new incarnation counts as the longest hold.
    pub keeps_names_for_hold: bool,
    /// A successor waits for the workers that are saved so.
    pub waits_for_named: bool,
    /// That wait begins at the end of the earlier leader's authority, or else at the claim.
    pub waits_from_end_of_authority: bool,
}

impl Guards {
    /// All guards that need the worker's silence.
    pub const ALL: Self = Self {
        waits_for_delay: true,
        waits_for_hold: true,
        waits_though_answered: false,
        repeats_while_answered: true,
        raises_token: true,
        lists_before_placement: true,
        holds_from_list: true,
        successor_holds_from_list: true,
        counts_start_as_unanswered: true,
        names_before_start: true,
        keeps_names_for_hold: true,
        waits_for_named: true,
        waits_from_end_of_authority: true,
    };
    /// All guards, and no conclusion from an answer while an order may still be carried out.
    pub const LONGER_WAITS: Self = Self {
        waits_though_answered: true,
        ..Self::ALL
    };
    /// The rules before orders to a former incarnation counted.
    pub const FORMER: Self = Self {
        waits_for_delay: false,
        waits_for_hold: false,
        holds_from_list: false,
        successor_holds_from_list: false,
        counts_start_as_unanswered: false,
        names_before_start: false,
        keeps_names_for_hold: false,
        waits_for_named: false,
        ..Self::ALL
    };
}

/// What happens in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Tick,
    Claim,
    Restart,
    /// A worker carries out an order that got no answer.
    CarriedOut(Order),
    NameSaved(Link, usize),
    StartAnswered(Link, usize),
    StartUnanswered(Link, usize),
    StopAnswered(Link, usize),
    RenewalAnswered(Link),
    RenewalUnanswered(Link),
    GivenUp(Link),
}

/// The scenario of one search.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    pub guards: Guards,
    pub workers: usize,
    pub tasks: usize,
    /// Whether a second leader claims the epoch.
    pub has_successor: bool,
    /// Whether the new incarnation of the failing worker is cut off, so that only orders that were
    /// sent before reach it.
    pub is_cut_off: bool,
    /// The clock of the workers at first; [`Spec::clock_max`] stands for all later readings.
    pub first_clock: u8,
    /// The longest delay of an order.
    pub late_order_max: u8,
    /// The longest lease that a worker accepts.
    pub hold_max: u8,
    /// The most orders without an answer under way.
    pub orders_max: usize,
    /// Whether a later incarnation may begin a run that an earlier one was told to stop.
    pub begins_after_stop: bool,
    /// Whether the failing worker may restart between its report to the successor and the end of the
    /// time in which orders of the earlier leader may reach it.
    pub restarts_after_report: bool,
}

impl Spec {
    /// Returns the initial world: the first leader has heard both workers, and nothing runs.
    pub fn initial(&self) -> World {
        let view = View {
            incarnation: Some(0),
            reported: true,
            accepts_tasks: true,
            ..View::default()
        };
        let worker = Worker {
            first_clock: self.first_clock,
            token: self.token(0, &view),
            ..Worker::default()
        };
        World {
            leaders: [
                Some(Leader {
                    views: [view; COUNT_MAX],
                }),
                None,
            ],
            workers: [worker; COUNT_MAX],
            ..World::default()
        }
    }

    /// The reading from which on every lease end of an earlier incarnation is beyond the longest
    /// hold.
    pub fn clock_max(&self) -> u8 {
        self.hold_max + self.late_order_max
    }

    /// Whether a task runs on two workers.
    pub fn runs_twice(&self, world: &World) -> bool {
        (0..self.tasks).any(|task| {
            let runs = world
                .workers
                .iter()
                .filter(|worker| worker.runs[task].is_some());
            runs.count() > 1
        })
    }

    /// Whether a worker runs more than its capacity of one task, of which some was ordered after its
    /// incarnation was heard.
    pub fn exceeds_capacity(&self, world: &World) -> bool {
        world.workers.iter().any(|worker| {
            let runs = || worker.runs.iter().flatten();
            runs().count() > 1 && runs().any(|ordered_here| *ordered_here)
        })
    }

    /// Returns every world that one step can lead to.
    pub fn next(&self, world: &World) -> Vec<(Step, World)> {
        let mut next = Vec::new();
        next.push((Step::Tick, self.one_tick_later(world)));
        if self.has_successor && world.claimed_for.is_none() {
            next.push((Step::Claim, self.claimed(world)));
        }
        if self.may_restart(world) {
            next.push((Step::Restart, restarted(world, self.clock_max())));
        }
        for (index, order) in world.orders.iter().enumerate() {
            let Some(order) = order else {
                continue;
            };
            let carried_out = world.step(|w| {
                w.orders[index] = None;
                self.carry_out(w, order);
            });
            next.push((Step::CarriedOut(*order), carried_out));
        }
        for leader in [0, 1] {
            for worker in 0..self.workers {
                self.lead(world, Link { leader, worker }, &mut next);
            }
        }
        next.iter_mut().for_each(|(_, world)| self.normalize(world));
        next.retain(|(_, later)| later != world);
        next
    }

    /// Drops what can have no effect any more, so that fewer worlds differ.
    fn normalize(&self, world: &mut World) {
        let workers = world.workers;
        world.retain_orders(|order| {
            let worker = &workers[order.worker];
            let may_restart = worker.incarnation == 0 && order.worker == FAILING;
            let is_refused = order.lease_left <= 0 || order.token < worker.token;
            order.age <= self.late_order_max && (may_restart || !is_refused)
        });
        for order in world.orders.iter_mut().flatten() {
            let held_until = (self.hold_max + self.late_order_max - order.age) as i8;
            if order.lease_left > held_until {
                order.lease_left = held_until;
            }
        }
        world.orders.sort_unstable();
        if world.claimed_for.is_some() {
            // Replaced, the first leader concludes nothing, and the second one does not need to know
            // who may begin a task at workers that it has heard.
            for view in world.leaders[0].iter_mut().flat_map(|it| &mut it.views) {
                view.lease_left = 0;
            }
            if let (None, Some(successor)) = (world.leaders[0], world.leaders[1]) {
                let is_heard = |worker: usize| successor.views[worker].incarnation.is_some();
                for named in &mut world.named {
                    *named = named.filter(|worker| !is_heard(*worker));
                }
            }
        }
        let waited_for = AUTHORITY + self.late_order_max + self.hold_max;
        let is_over = world.claimed_for.is_some_and(|it| it >= waited_for);
        if is_over {
            world.named = Default::default();
        }
        let is_named = world.named.iter().any(Option::is_some);
        let orders_for = AUTHORITY + self.late_order_max;
        if !is_named && world.claimed_for.is_some_and(|it| it > orders_for) {
            world.claimed_for = Some(waited_for);
        }
        let views = world
            .leaders
            .iter_mut()
            .flatten()
            .flat_map(|it| &mut it.views);
        for view in views {
            for run in view.runs.iter_mut().flatten() {
                if !self.guards.waits_though_answered || !run.unanswered {
                    run.since_copy = 0;
                    run.stopped = false;
                }
            }
            // The time counts for runs with an unanswered start alone.
            if !view.runs.iter().flatten().any(|run| run.unanswered) {
                view.silent_for = view.silent_for.map(|_| 0);
            }
        }
    }

    fn one_tick_later(&self, world: &World) -> World {
        let mut world = *world;
        let silence_max = self.late_order_max + self.hold_max;
        if let Some(claimed_for) = &mut world.claimed_for {
            *claimed_for = (*claimed_for + 1).min(AUTHORITY + silence_max);
            if *claimed_for > AUTHORITY {
                world.leaders[0] = None;
            }
        }
        for worker in &mut world.workers[..self.workers] {
            if worker.incarnation == 0 {
                worker.first_clock = (worker.first_clock + 1).min(self.clock_max());
            }
            worker.lease_left = worker.lease_left.saturating_sub(1);
            if worker.lease_left == 0 {
                worker.runs = [None; COUNT_MAX];
            }
        }
        for order in world.orders.iter_mut().flatten() {
            order.age += 1;
            order.lease_left -= 1;
        }
        let views = world
            .leaders
            .iter_mut()
            .flatten()
            .flat_map(|leader| &mut leader.views);
        for view in views {
            view.lease_left = view.lease_left.saturating_sub(1);
            for run in view.runs.iter_mut().flatten() {
                run.since_copy = (run.since_copy + 1).min(silence_max as i8);
            }
            view.silent_for = view
                .silent_for
                .map(|silent_for| (silent_for + 1).min(silence_max));
        }
        world
    }

    /// The second leader knows nothing of the workers but what is saved.
    fn claimed(&self, world: &World) -> World {
        let view = View {
            lease_left: AUTHORITY + LEASE,
            ..View::default()
        };
        world.step(|w| {
            w.claimed_for = Some(0);
            w.leaders[1] = Some(Leader {
                views: [view; COUNT_MAX],
            });
        })
    }

    fn may_restart(&self, world: &World) -> bool {
        let worker = &world.workers[FAILING];
        let orders_for = AUTHORITY + self.late_order_max;
        let is_reported = worker.token >= SUCCESSOR_TOKEN;
        let is_excluded = is_reported && world.claimed_for.is_some_and(|it| it <= orders_for);
        worker.incarnation == 0 && (self.restarts_after_report || !is_excluded)
    }

    /// Lets a worker carry out an order; returns whether it took it.
    pub(crate) fn carry_out(&self, world: &mut World, order: &Order) -> bool {
        let worker = &mut world.workers[order.worker];
        if order.token < worker.token {
            return false;
        }
        worker.token = order.token;
        if order.lease_left <= 0 {
            return false;
        }
        let lease = self.hold_max.min(order.lease_left as u8);
        worker.lease_left = worker.lease_left.max(lease);
        let begins = worker.incarnation >= order.begins_from;
        if let Some(task) = order.starts.filter(|_| begins) {
            worker.runs[task].get_or_insert(order.incarnation == worker.incarnation);
        }
        true
    }

    /// The token of a leader's orders to a worker.
    pub(crate) fn token(&self, leader: usize, view: &View) -> u8 {
        let raised = view.raised && self.guards.raises_token;
        [FIRST_TOKEN, SUCCESSOR_TOKEN][leader] + u8::from(raised)
    }
}

/// Returns the world after a restart of the failing worker under its id: its clock and its token
/// begin anew. What an order says of its clock is then further ahead by the former reading.
fn restarted(world: &World, clock_max: u8) -> World {
    world.step(|w| {
        let worker = &mut w.workers[FAILING];
        let clock = worker.first_clock;
        *worker = Worker {
            incarnation: 1,
            first_clock: clock,
            ..Worker::default()
        };
        let orders = w.orders.iter_mut().flatten();
        for order in orders.filter(|order| order.worker == FAILING) {
            order.lease_left = (order.lease_left + clock as i8).min(clock_max as i8);
        }
    })
}
