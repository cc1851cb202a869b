//! The state that is searched. Durations are ticks.

/// The most workers and tasks of a world.
pub const COUNT_MAX: usize = 2;
/// The most orders without an answer that may still be carried out.
pub const ORDERS_MAX: usize = 3;

/// The worker that may restart, once, and leave orders without an answer.
pub const FAILING: usize = 0;

/// A leader and a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    pub leader: usize,
    pub worker: usize,
}

/// An order without an answer, which its worker may carry out late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Order {
    pub worker: usize,
    /// The incarnation that its leader knew.
    pub incarnation: u8,
    /// The first incarnation that may begin a run by it; earlier ones were told to stop the run.
    pub begins_from: u8,
    pub token: u8,
    /// The task that it starts; `None` for a renewal.
    pub starts: Option<usize>,
    /// The end of the lease, from the present reading of the worker's clock.
    pub lease_left: i8,
    /// The time since it was sent.
    pub age: u8,
}

/// The state of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Worker {
    pub incarnation: u8,
    /// The clock of the first incarnation, or its last reading.
    pub first_clock: u8,
    /// The highest token that the incarnation has seen.
    pub token: u8,
    /// How long the worker's lease lasts, whether something runs or not.
    pub lease_left: u8,
    /// The tasks that run, and whether they were ordered from this incarnation.
    pub runs: [Option<bool>; COUNT_MAX],
}

/// A run that is or may be on a worker, as a leader knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Run {
    /// Whether some copy of the start got no answer.
    pub unanswered: bool,
    /// Whether its start is not repeated any more. This and the next field count only with
    /// `Guards::waits_though_answered`.
    pub stopped: bool,
    /// The time since the last copy of the start that got no answer; below zero while the earlier
    /// leader may send one.
    pub since_copy: i8,
}

/// A worker as a leader knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// The incarnation that has answered last.
    pub incarnation: Option<u8>,
    /// Whether the leader has raised its token after a restart.
    pub raised: bool,
    /// Whether the incarnation has reported its runs under the present token.
    pub reported: bool,
    /// Whether it did so before a later leader has claimed the epoch, so that it gets tasks.
    pub accepts_tasks: bool,
    /// The time since the first order that got no answer; `None` while the worker answers.
    pub silent_for: Option<u8>,
    /// How long the worker's lease lasts at most.
    pub lease_left: u8,
    pub runs: [Option<Run>; COUNT_MAX],
}

impl View {
    pub fn is_responsive(&self) -> bool {
        self.reported && self.silent_for.is_none()
    }
}

/// The state of a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leader {
    pub views: [View; COUNT_MAX],
}

/// One state of the search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct World {
    /// The time since the second leader has claimed the epoch; `None` before.
    pub claimed_for: Option<u8>,
    /// The saved name of the worker that may begin each task.
    pub named: [Option<usize>; COUNT_MAX],
    /// The leaders of the first and the second epoch.
    pub leaders: [Option<Leader>; 2],
    pub workers: [Worker; COUNT_MAX],
    /// Sorted, so that equal sets are equal states.
    pub orders: [Option<Order>; ORDERS_MAX],
}

impl World {
    /// Returns the world after a change.
    pub fn step(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = *self;
        change(&mut world);
        world
    }

    /// Returns what a leader knows of a worker; `None` without that leader.
    pub fn view(&self, link: Link) -> Option<&View> {
        let leader = self.leaders[link.leader].as_ref();
        leader.map(|leader| &leader.views[link.worker])
    }

    /// Changes what a leader knows of a worker.
    pub fn change_view(&mut self, link: Link, change: impl FnOnce(&mut View)) {
        if let Some(leader) = &mut self.leaders[link.leader] {
            change(&mut leader.views[link.worker]);
        }
    }

    /// Saves or deletes the name of the worker of a task; only the current leader can.
    pub fn save_name(&mut self, leader: usize, task: usize, worker: Option<usize>) {
        if leader == 0 && self.claimed_for.is_none() {
            self.named[task] = worker;
        }
    }

    /// Drops the orders for which `keep` is false.
    pub fn retain_orders(&mut self, keep: impl Fn(&Order) -> bool) {
        for order in &mut self.orders {
            *order = order.filter(&keep);
        }
        self.orders.sort_unstable();
    }

    /// Adds an order that got no answer, unless so many are under way already.
    pub fn add_order(&mut self, order: Order, orders_max: usize) {
        let under_way = self.orders.iter().flatten();
        if under_way.count() < orders_max {
            if let Some(free) = self.orders.iter_mut().find(|order| order.is_none()) {
                *free = Some(order);
            }
        }
        self.orders.sort_unstable();
    }
}
