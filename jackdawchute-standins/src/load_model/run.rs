//! The event loop of the simulation.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{
    AdviceRequest, Effect, EndReason, EpochAuthority, JobOutcome, JobStatus, RenewOrder, Scheduler,
    StartAnswer, StartOrder, Submission, TaskName,
};
use jackdawchute_types::{AdvisorId, JobId, Resources, WorkerId};
use rand::{rngs::StdRng, Rng, SeedableRng};

use super::{
    advisors::{self, SimAdvisors},
    event::Event,
    plan::Arrival,
    processor::Processor,
    workers::SimWorker,
    ModelPlan, Report,
};
use crate::load::Arrivals;

/// The round trip to a worker.
const WORKER_ROUND_TRIP: Duration = Duration::from_millis(3);
/// The duration of a commit.
const COMMIT_TIME: Duration = Duration::from_millis(9);
/// The commit period of the leader task.
const COMMIT_PERIOD: Duration = Duration::from_millis(25);
/// The tick period of the leader task.
const TICK_PERIOD: Duration = Duration::from_millis(40);
/// The maximum number of rows of a commit.
const COMMIT_ROWS_MAX: usize = 97;
/// The maximum size of a commit, in bytes.
const COMMIT_BYTES_MAX: usize = 500_000;
/// The Unix time at which the simulation begins.
const UNIX_START: Duration = Duration::from_secs(1_000_000);
/// The time before the first job, in which the scheduler makes the first renewal of each worker.
const WARM_UP: Duration = Duration::from_secs(1);
/// The workers' clock when the simulation begins.
const CLOCK_START: Duration = Duration::from_secs(10);

struct JobState {
    arrival: Arrival,
    kind: usize,
    submitted_at: Duration,
    /// The started members of each gang that has not started as a whole, by step.
    started_members: BTreeMap<u32, Vec<(WorkerId, TaskName, u64)>>,
}

/// The state of the simulation.
struct Model<'a> {
    plan: &'a ModelPlan,
    origin: Instant,
    now: Duration,
    /// The events to come, by time and then by the order in which they were added.
    events: BTreeMap<(Duration, u64), Event>,
    events_added: u64,
    scheduler: Scheduler,
    workers: BTreeMap<WorkerId, SimWorker>,
    advisors: SimAdvisors,
    jobs: HashMap<JobId, JobState>,
    random: StdRng,
    last_round_at: Duration,
    /// Whether a `RoundDue` event is among the events to come.
    round_scheduled: bool,
    report: Report,
    processor: Processor<Event>,
    commit_under_way: bool,
    /// The sum and the number of samples of the used share of processors.
    used_samples: (f64, usize),
}

/// Simulates a load and reports its results.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_standins::load_model::{run, ModelPlan};
///
/// let plan = ModelPlan { duration: Duration::from_secs(2), ..ModelPlan::today(1) };
/// assert!(run(&plan).starts > 0);
/// ```
///
/// # Panics
/// The scheduler placed more on a worker than its capacity, or reported itself as fenced.
pub fn run(plan: &ModelPlan) -> Report {
    let mut model = Model::new(plan);
    let until = WARM_UP + plan.duration * 2;
    while let Some(((at, _), event)) = model.events.pop_first() {
        if at > until {
            break;
        }
        model.now = at;
        model.advance(event);
    }
    model.finish()
}

impl<'a> Model<'a> {
    fn new(plan: &'a ModelPlan) -> Self {
        let origin = Instant::now();
        let fleet = &plan.fleet;
        let workers: BTreeMap<WorkerId, SimWorker> = (0..fleet.workers)
            .map(|index| {
                let slowness = fleet.slowness[index % fleet.slowness.len()];
                let worker = SimWorker::new(index, fleet.capacity, slowness);
                (worker.entry.worker.clone(), worker)
            })
            .collect();
        let mut model = Self {
            plan,
            origin,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            events_added: 0,
            scheduler: Scheduler::new(plan.settings(), 1, origin),
            advisors: SimAdvisors::new(fleet.advisors),
            jobs: HashMap::new(),
            random: StdRng::seed_from_u64(plan.seed),
            last_round_at: Duration::ZERO,
            round_scheduled: false,
            report: Report {
                duration: plan.duration,
                ..Report::default()
            },
            used_samples: (0.0, 0),
            workers,
            processor: Processor::new(plan.processor),
            commit_under_way: false,
        };
        let entries = model.workers.values().map(|it| it.entry.clone()).collect();
        model.scheduler.workers_listed(entries, origin);
        model.schedule(Duration::ZERO, Event::Tick);
        model.schedule(Duration::ZERO, Event::Commit);
        for (index, kind) in (0u64..).zip(&plan.kinds) {
            model
                .report
                .kinds
                .insert(kind.queue.queue.clone(), Default::default());
            // The rate varies: arrivals are drawn at the highest and thinned where it is lower.
            let highest = plan.bursts.iter().map(|it| it.factor).fold(1.0, f64::max);
            let mut random = StdRng::seed_from_u64(plan.seed ^ index);
            for at in Arrivals::new(plan.seed + index, kind.rate_per_s * highest)
                .take_while(|at| *at < plan.duration)
            {
                if random.random::<f64>() * highest < plan.factor(kind, at) {
                    model.schedule(WARM_UP + at, Event::JobArrives(index as usize));
                }
            }
        }
        model
    }

    /// Adds an event that happens after `wait`.
    fn schedule(&mut self, wait: Duration, event: Event) {
        self.events_added += 1;
        self.events
            .insert((self.now + wait, self.events_added), event);
    }

    /// The current time as the scheduler sees it.
    fn instant(&self) -> Instant {
        self.origin + self.now
    }

    /// The current time on the workers' clocks.
    fn clock(&self) -> Duration {
        CLOCK_START + self.now
    }

    /// Calls the scheduler and measures the time that it takes.
    fn decide<T>(&mut self, decision: impl FnOnce(&mut Scheduler, Instant) -> T) -> T {
        let now = self.instant();
        let began_at = Instant::now();
        let result = decision(&mut self.scheduler, now);
        self.report.decision_time += began_at.elapsed();
        result
    }

    /// Handles an event that has come, or puts it into the processor's queue.
    fn advance(&mut self, event: Event) {
        if matches!(event, Event::ProcessorFree) {
            if let Some(event) = self.processor.next() {
                self.advance(event);
            }
            return;
        }
        if !event.takes_turn() {
            self.handle(event);
            self.drive_scheduler();
            return;
        }
        // The leader makes commits on another thread, and handles their outcomes before all else.
        let is_urgent = matches!(event, Event::Committed(_));
        let Some(event) = self.processor.admit(event, is_urgent) else {
            return;
        };
        let listed_ends = match &event {
            Event::RenewalAnswered(_, _, answer) => answer.ended.len() as u32,
            _ => 0,
        };
        let rounds_before = self.report.rounds;
        self.handle(event);
        self.drive_scheduler();
        let Some(plan) = self.processor.plan() else {
            return;
        };
        let rounds = (self.report.rounds - rounds_before) as u32;
        let took = plan.duration(listed_ends, rounds * self.plan.fleet.workers as u32);
        self.processor.begin();
        self.schedule(took, Event::ProcessorFree);
    }

    fn handle(&mut self, event: Event) {
        match event {
            // Taken by `advance`.
            Event::ProcessorFree => {}
            Event::JobArrives(kind) => self.submit_job(kind),
            Event::Tick => {
                let unix = UNIX_START + self.now;
                self.advisors.tick(TICK_PERIOD);
                let authority = EpochAuthority {
                    may_act: true,
                    confirmed_at: self.origin + self.now,
                    earlier_until: self.origin,
                };
                self.decide(|scheduler, now| {
                    scheduler.set_authority(authority);
                    scheduler.tick(now, unix)
                });
                self.sample();
                self.schedule(TICK_PERIOD, Event::Tick);
            }
            Event::RoundDue => self.round_scheduled = false,
            Event::Commit => self.commit(),
            Event::Committed(batch) => {
                self.commit_under_way = false;
                self.decide(|scheduler, now| scheduler.committed(&batch, now));
                for job in batch.ended() {
                    self.job_ended(job);
                }
            }
            Event::Started(order) => self.started(order),
            Event::StartAnswered(order) => {
                let answer = StartAnswer::Started {
                    clock: self.clock(),
                };
                self.decide(|scheduler, now| {
                    scheduler.start_answered(&order.worker, &order.task, order.run, answer, now);
                });
            }
            Event::Stopped(order) => {
                let size = self.size(&order.task);
                if let Some(worker) = self.workers.get_mut(&order.worker) {
                    worker.end(&order.task, EndReason::Stopped, &size);
                }
                let clock = Some(self.clock());
                self.decide(|scheduler, now| {
                    scheduler.stop_answered(&order.worker, &order.task, order.run, clock, now);
                });
                self.answer_renewal(&order.worker);
            }
            Event::RenewalArrives(order) => self.renew(order),
            Event::RenewalDue(worker) => {
                let now = self.now;
                let due = |worker: &SimWorker| {
                    worker
                        .pending_renewal
                        .as_ref()
                        .is_some_and(|it| it.1 <= now)
                };
                if self.workers.get(&worker).is_some_and(due) {
                    self.answer_renewal(&worker);
                }
            }
            Event::RenewalAnswered(order, sent_at, answer) => {
                let sent_at = self.origin + sent_at;
                self.decide(|scheduler, now| {
                    scheduler.renew_answered(&order, sent_at, answer, now);
                    scheduler.issue_due_renewals(now);
                });
            }
            Event::TaskEnds(worker, task, run) => {
                let size = self.size(&task);
                let sim_worker = self.workers.get_mut(&worker);
                if let Some(sim_worker) =
                    sim_worker.filter(|it| it.running.get(&task).is_some_and(|it| it.run == run))
                {
                    sim_worker.end(&task, EndReason::Succeeded, &size);
                    self.answer_renewal(&worker);
                }
            }
            Event::AdviceAnswered(request, share) => {
                let answer = share.map(|share| advisors::answer(&request, share));
                self.decide(|scheduler, now| scheduler.advice_answered(&request, answer, now));
            }
        }
    }

    fn submit_job(&mut self, kind: usize) {
        let plan = &self.plan.kinds[kind];
        let arrival = Arrival::draw(plan, &mut self.random);
        let job: JobId = smol_str::format_smolstr!("{:016x}", self.random.random::<u64>());
        let (graph, queue) = (arrival.graph.clone(), plan.queue.clone());
        let worth = arrival.worth.0;
        let state = JobState {
            arrival,
            kind,
            submitted_at: self.now,
            started_members: BTreeMap::new(),
        };
        self.jobs.insert(job.clone(), state);
        let submission = self.decide(|scheduler, now| scheduler.submit(&job, graph, queue, now));
        let report = self.report.kinds.entry(plan.queue.queue.clone());
        let report = report.or_default();
        report.submitted += 1;
        report.submitted_worth += worth;
        let second = self.report.second(self.now - WARM_UP, &plan.queue.queue);
        second.submitted_worth += worth;
        let report = self.report.kinds.entry(plan.queue.queue.clone());
        let report = report.or_default();
        if matches!(submission, Submission::Refused { .. }) {
            report.refused += 1;
            self.jobs.remove(&job);
        }
    }

    fn commit(&mut self) {
        self.schedule(COMMIT_PERIOD, Event::Commit);
        if self.commit_under_way {
            return;
        }
        let unix_ms = (UNIX_START + self.now).as_millis() as u64;
        let batch = self.decide(|scheduler, _| {
            scheduler.take_batch(COMMIT_ROWS_MAX, COMMIT_BYTES_MAX, unix_ms)
        });
        if let Some(batch) = batch {
            self.commit_under_way = true;
            self.schedule(COMMIT_TIME, Event::Committed(batch));
        }
    }

    fn started(&mut self, order: StartOrder) {
        let size = self.size(&order.task);
        let run_time = self.run_time(&order.task);
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(&order.worker) {
            let slowness = worker.slowness;
            worker.start(&order, &size, run_time.mul_f64(slowness), now);
        }
        self.schedule_end(&order);
        self.schedule(WORKER_ROUND_TRIP / 2, Event::StartAnswered(order));
    }

    /// Adds the end of a started task: after its run time, counted for a gang from the start of its
    /// last member.
    fn schedule_end(&mut self, order: &StartOrder) {
        let step = order.task.step.step;
        let Some(job) = self.jobs.get_mut(&order.task.step.job) else {
            return;
        };
        let run_time = job.arrival.run_times[step as usize];
        let spec = &job.arrival.graph.steps[step as usize];
        let member = (order.worker.clone(), order.task.clone(), order.run);
        let ready = if spec.gang {
            let started = job.started_members.entry(step).or_default();
            started.retain(|it| it.2 == order.run);
            started.push(member);
            if started.len() < spec.tasks as usize {
                return;
            }
            std::mem::take(started)
        } else {
            vec![member]
        };
        let slowness = |(worker, ..): &(WorkerId, TaskName, u64)| self.workers[worker].slowness;
        let slowest = ready.iter().map(slowness).fold(0.0, f64::max);
        for (worker, task, run) in ready {
            self.schedule(
                run_time.mul_f64(slowest),
                Event::TaskEnds(worker, task, run),
            );
        }
    }

    /// Returns the run time of a task on a worker with a slowness of 1.
    fn run_time(&self, task: &TaskName) -> Duration {
        let job = self.jobs.get(&task.step.job);
        job.map_or(Duration::ZERO, |job| {
            job.arrival.run_times[task.step.step as usize]
        })
    }

    /// Returns the resources of a task; none once its job was removed.
    fn size(&self, task: &TaskName) -> Resources {
        let job = self.jobs.get(&task.step.job);
        job.map_or(Resources::ZERO, |job| {
            job.arrival.graph.steps[task.step.step as usize].resources
        })
    }

    /// Delivers a lease renewal to its worker.
    fn renew(&mut self, order: RenewOrder) {
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        let id = order.worker.clone();
        let wait = order.wait;
        let at_once = worker.renew(&order);
        worker.pending_renewal = Some((order, self.now + wait));
        if at_once {
            self.answer_renewal(&id);
        } else {
            self.schedule(wait, Event::RenewalDue(id));
        }
    }

    /// Answers the lease renewal that waits at a worker, if any.
    fn answer_renewal(&mut self, id: &WorkerId) {
        let clock = self.clock();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some((order, until)) = worker.pending_renewal.take() {
            let answer = worker.answer(clock, self.now);
            let sent_at = until.saturating_sub(order.wait);
            self.schedule(
                WORKER_ROUND_TRIP / 2,
                Event::RenewalAnswered(order, sent_at, answer),
            );
        }
    }

    /// Counts the worth of a job that completed.
    fn job_ended(&mut self, id: &JobId) {
        if self.scheduler.status(id) != JobStatus::Ended(JobOutcome::Completed) {
            return;
        }
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        let queue = &self.plan.kinds[job.kind].queue;
        let objective = job.arrival.objective(queue);
        let took = self.now - job.submitted_at;
        let report = self.report.kinds.entry(queue.queue.clone()).or_default();
        let earned = if took <= objective {
            report.on_time += 1;
            job.arrival.worth.0
        } else if took <= objective * 3 {
            report.late += 1;
            job.arrival.worth.1
        } else {
            0.0
        };
        report.earned_worth += earned;
        let queue = queue.queue.clone();
        let second = self.report.second(job.submitted_at - WARM_UP, &queue);
        second.earned_worth += earned;
    }

    /// Runs a scheduling round if one is due, and carries out the scheduler's effects.
    fn drive_scheduler(&mut self) {
        if self.now >= self.last_round_at + self.scheduler.round_period() {
            self.last_round_at = self.now;
            let before = self.report.decision_time;
            let advisors = self.advisors.snapshot(self.origin);
            self.decide(|scheduler, now| scheduler.run_round(advisors, now));
            let round = self.report.decision_time - before;
            self.report.round_max = self.report.round_max.max(round);
            self.report.rounds += 1;
        } else if self.scheduler.round_needed() && !self.round_scheduled {
            self.round_scheduled = true;
            let wait = self.last_round_at + self.scheduler.round_period() - self.now;
            self.schedule(wait, Event::RoundDue);
        }
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Start(order) => {
                    self.report.starts += 1;
                    self.schedule(WORKER_ROUND_TRIP / 2, Event::Started(order));
                }
                Effect::Stop(order) => self.schedule(WORKER_ROUND_TRIP, Event::Stopped(order)),
                Effect::Renew(order) => {
                    self.report.renewals += 1;
                    self.schedule(WORKER_ROUND_TRIP / 2, Event::RenewalArrives(order));
                }
                Effect::Advise { advisor, request } => self.request_advice(advisor, request),
                Effect::Fenced { worker } => panic!("{worker} refused the fencing token"),
            }
        }
    }

    fn request_advice(&mut self, advisor: AdvisorId, request: AdviceRequest) {
        let job = self.jobs.get(&request.step.job);
        let Some(share) = job.map(|job| self.plan.kinds[job.kind].allowed_share) else {
            return;
        };
        self.report.advice_requests += 1;
        let at = self.advisors.enqueue(advisor, &request, self.now);
        self.schedule(at - self.now, Event::AdviceAnswered(request, Some(share)));
    }

    /// Samples the share of processors in use while jobs arrive.
    fn sample(&mut self) {
        if self.now < WARM_UP || self.now > WARM_UP + self.plan.duration {
            return;
        }
        let running = self.workers.values().flat_map(|it| it.running.keys());
        let used: u64 = running
            .map(|task| self.size(task).processor_millicores)
            .sum();
        let fleet = &self.plan.fleet;
        let all = fleet.capacity.processor_millicores * fleet.workers as u64;
        self.used_samples.0 += used as f64 / all as f64;
        self.used_samples.1 += 1;
    }

    fn finish(mut self) -> Report {
        self.report.used_share = self.used_samples.0 / self.used_samples.1.max(1) as f64;
        self.report
    }
}
