//! An event loop over virtual time: Poisson arrivals, exponential service times.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use jackdawchute_admission::{AdmissionPolicy, WorkItem, WorkItemId};
use jackdawchute_types::{ClassId, RefusalReason, TeamId};
use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::scenario::{Scenario, TEAMS};

/// Requests that arrive before this time are not measured.
const WARM_UP: Duration = Duration::from_secs(5);
/// Requests that arrive after this time are not measured; the load goes on until they are done.
const MEASURED_UNTIL: Duration = Duration::from_secs(15);
/// The end of arrivals: the load lasts beyond the deadline of each measured request.
const END: Duration = Duration::from_secs(45);
/// How often the policy is asked for expired tickets.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// The longest wait that is told apart, in microseconds.
const WAIT_MAX_US: u64 = 60_000_000;

/// What came of one class.
#[derive(Debug)]
pub struct ClassResult {
    pub name: &'static str,
    pub offered: u64,
    /// Requests that started within their deadline and were answered.
    pub answered: u64,
    pub refused: BTreeMap<RefusalReason, u64>,
    pub wait_us: Histogram<u64>,
    /// Wait and service together.
    pub response_us: Histogram<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { class: usize },
    Done { id: WorkItemId },
    Tick,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Box<dyn AdmissionPolicy>,
    start: Instant,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    next_id: WorkItemId,
    /// One for each class, so that a flood changes no other class's arrivals.
    random: Vec<SmallRng>,
    queued: HashMap<WorkItemId, (usize, Duration, Duration)>,
    running: HashMap<WorkItemId, (WorkItem, Duration)>,
    results: Vec<ClassResult>,
}

/// Runs the policy of a name through a scenario.
pub fn run(scenario: &Scenario, policy: &str, seed: u64) -> Vec<ClassResult> {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.run();
    simulation.results
}

/// A time with mean 1 between the events of a Poisson process.
fn exponential(random: &mut SmallRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, WAIT_MAX_US, 3).expect("the bounds are valid")
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: &str, seed: u64) -> Self {
        let mut policy = scenario.policy(policy);
        policy.set_limits(scenario.limits());
        policy.set_capacity(scenario.capacity_units());
        let classes = &scenario.user.classes;
        let result = |name| ClassResult {
            name,
            offered: 0,
            answered: 0,
            refused: BTreeMap::new(),
            wait_us: histogram(),
            response_us: histogram(),
        };
        Self {
            scenario,
            policy,
            start: Instant::now(),
            events: BinaryHeap::new(),
            event_count: 0,
            next_id: 0,
            random: (0..classes.len())
                .map(|index| SmallRng::seed_from_u64(seed + index as u64))
                .collect(),
            queued: HashMap::new(),
            running: HashMap::new(),
            results: classes.iter().map(|class| result(class.name)).collect(),
        }
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((time, self.event_count, event)));
    }

    fn run(&mut self) {
        self.at(TICK_PERIOD, Event::Tick);
        for class in 0..self.results.len() {
            self.at(Duration::ZERO, Event::Arrival { class });
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            match event {
                Event::Arrival { class } => self.arrive(class, time),
                Event::Done { id } => self.finish(id),
                Event::Tick => self.tick(time),
            }
            self.start_queued(time);
        }
    }

    fn arrive(&mut self, class: usize, time: Duration) {
        let load = &self.scenario.user.classes[class];
        let gap = exponential(&mut self.random[class]) / self.scenario.rate(class);
        let service_time = load
            .service_time
            .mul_f64(exponential(&mut self.random[class]));
        let team = self.team(class);
        if time < END {
            let next = time + Duration::from_secs_f64(gap);
            self.at(next, Event::Arrival { class });
        }
        self.next_id += 1;
        let arrived = self.start + time;
        let ticket = WorkItem {
            id: self.next_id,
            class: ClassId::new_static(load.name),
            team,
            arrived,
            deadline: Some(arrived + load.deadline),
            cost: 1,
        };
        if is_measured(time) {
            self.results[class].offered += 1;
        }
        match self.policy.offer(ticket, arrived) {
            Ok(()) => {
                self.queued
                    .insert(self.next_id, (class, time, service_time));
            }
            Err(refusal) => self.refuse(class, time, refusal.reason),
        }
    }

    fn team(&mut self, class: usize) -> TeamId {
        let random = &mut self.random[class];
        let team = if random.random::<bool>() {
            0
        } else {
            random.random_range(0..TEAMS)
        };
        smol_str::format_smolstr!("team-{team}")
    }

    fn refuse(&mut self, class: usize, arrived: Duration, reason: RefusalReason) {
        if is_measured(arrived) {
            *self.results[class].refused.entry(reason).or_default() += 1;
        }
    }

    fn start_queued(&mut self, time: Duration) {
        let now = self.start + time;
        while let Some(ticket) = self.policy.next(now) {
            let id = ticket.id;
            let (class, arrived, service_time) = self
                .queued
                .remove(&id)
                .expect("the policy returns what it was offered");
            self.running.insert(id, (ticket, service_time));
            assert!(
                self.running.len() <= self.scenario.capacity_units() as usize,
                "over capacity"
            );
            if is_measured(arrived) {
                let result = &mut self.results[class];
                let in_time = time - arrived <= self.scenario.user.classes[class].deadline;
                result.answered += u64::from(in_time);
                record(&mut result.wait_us, time - arrived);
                record(&mut result.response_us, time - arrived + service_time);
            }
            self.at(time + service_time, Event::Done { id });
        }
    }

    fn finish(&mut self, id: WorkItemId) {
        if let Some((ticket, service_time)) = self.running.remove(&id) {
            self.policy.release(&ticket, service_time);
        }
    }

    fn tick(&mut self, time: Duration) {
        for (ticket, refusal) in self.policy.expire(self.start + time) {
            let (class, arrived, _) = self
                .queued
                .remove(&ticket.id)
                .expect("the policy returns what it was offered");
            self.refuse(class, arrived, refusal.reason);
        }
        if time < END || !self.queued.is_empty() {
            self.at(time + TICK_PERIOD, Event::Tick);
        }
    }
}

fn is_measured(arrived: Duration) -> bool {
    (WARM_UP..MEASURED_UNTIL).contains(&arrived)
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let time_us = u64::try_from(time.as_micros()).unwrap_or(WAIT_MAX_US);
    histogram.saturating_record(time_us);
}
