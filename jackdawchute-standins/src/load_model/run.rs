//! Plays a load.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{
    AdviceRequest, CommitBatch, Effect, EndReason, JobOutcome, JobStatus, RenewOrder, Scheduler,
    Settings, StartAnswer, StartOrder, StopOrder, Submission, TaskName,
};
use jackdawchute_types::{JobId, Resources, WorkerId};
use rand::{rngs::StdRng, Rng, SeedableRng};

use super::{
    advisors::{self, Advisors},
    plan::Arrival,
    workers::SimWorker,
    ModelPlan, Report,
};
use crate::load::Arrivals;

/// The way to a worker and back.
const WORKER_WAY: Duration = Duration::from_millis(3);
/// How long a commit takes.
const COMMIT_TIME: Duration = Duration::from_millis(9);
/// The periods of the task that drives the scheduler.
const COMMIT_PERIOD: Duration = Duration::from_millis(25);
const TICK_PERIOD: Duration = Duration::from_millis(40);
/// The limits of a commit.
const COMMIT_ROWS_MAX: usize = 97;
const COMMIT_BYTES_MAX: usize = 500_000;
/// The Unix time at which a run begins.
const UNIX_START: Duration = Duration::from_secs(1_000_000);
/// How long the cell is given to fence its workers before the first job.
const WARM_UP: Duration = Duration::from_secs(1);
/// The clock of workers when a run begins.
const CLOCK_START: Duration = Duration::from_secs(10);

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Tick,
    RoundDue,
    Commit,
    Committed(CommitBatch),
    Started(StartOrder),
    Stopped(StopOrder),
    LookArrives(RenewOrder),
    LookDue(WorkerId),
    LookAnswered(RenewOrder, Duration, jackdawchute_scheduler::RenewAnswer),
    TaskEnds(WorkerId, TaskName, u64),
    Advised(AdviceRequest, Option<f64>),
}

struct JobState {
    arrival: Arrival,
    kind: usize,
    submitted_at: Duration,
    /// Members of gangs that have started, by step.
    present: BTreeMap<u32, Vec<(WorkerId, TaskName, u64)>>,
}

struct Model<'a> {
    plan: &'a ModelPlan,
    origin: Instant,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    scheduler: Scheduler,
    workers: BTreeMap<WorkerId, SimWorker>,
    advisors: Advisors,
    jobs: HashMap<JobId, JobState>,
    random: StdRng,
    settled_at: Duration,
    round_awaited: bool,
    report: Report,
    used_samples: (f64, usize),
}

/// Plays a load to its end and reports what became of it.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_standins::load_model::{run, ModelPlan};
///
/// let plan = ModelPlan { lasts: Duration::from_secs(2), ..ModelPlan::today(1) };
/// assert!(run(&plan).starts > 0);
/// ```
///
/// # Panics
/// The scheduler gave a worker more than it has.
pub fn run(plan: &ModelPlan) -> Report {
    let mut model = Model::new(plan);
    let until = WARM_UP + plan.lasts * 2;
    while let Some(((at, _), event)) = model.events.pop_first() {
        if at > until {
            break;
        }
        model.now = at;
        model.handle(event);
        model.pump();
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
            scheduled: 0,
            scheduler: Scheduler::new(Settings::default(), 1, origin),
            advisors: Advisors::new(fleet.advisors),
            jobs: HashMap::new(),
            random: StdRng::seed_from_u64(plan.seed),
            settled_at: Duration::ZERO,
            round_awaited: false,
            report: Report {
                lasted: plan.lasts,
                ..Report::default()
            },
            used_samples: (0.0, 0),
            workers,
        };
        let entries = model.workers.values().map(|it| it.entry.clone()).collect();
        model.scheduler.workers_listed(entries, origin);
        model.after(Duration::ZERO, Event::Tick);
        model.after(Duration::ZERO, Event::Commit);
        for (index, kind) in (0u64..).zip(&plan.kinds) {
            model
                .report
                .kinds
                .insert(kind.queue.queue.clone(), Default::default());
            // Arrivals at the highest rate, thinned where it is lower.
            let highest = plan.bursts.iter().map(|it| it.factor).fold(1.0, f64::max);
            let mut random = StdRng::seed_from_u64(plan.seed ^ index);
            for at in Arrivals::new(plan.seed + index, kind.rate_per_s * highest)
                .take_while(|at| *at < plan.lasts)
            {
                if random.random::<f64>() * highest < plan.factor(kind, at) {
                    model.after(WARM_UP + at, Event::Arrive(index as usize));
                }
            }
        }
        model
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((self.now + wait, self.scheduled), event);
    }

    fn instant(&self) -> Instant {
        self.origin + self.now
    }

    fn clock(&self) -> Duration {
        CLOCK_START + self.now
    }

    /// Has the scheduler decide, and counts the time that it takes.
    fn decide<T>(&mut self, decision: impl FnOnce(&mut Scheduler, Instant) -> T) -> T {
        let now = self.instant();
        let began_at = Instant::now();
        let result = decision(&mut self.scheduler, now);
        self.report.decision_time += began_at.elapsed();
        result
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(kind),
            Event::Tick => {
                let unix = UNIX_START + self.now;
                self.advisors.tick(TICK_PERIOD);
                self.decide(|scheduler, now| scheduler.tick(now, unix));
                self.sample();
                self.after(TICK_PERIOD, Event::Tick);
            }
            Event::RoundDue => self.round_awaited = false,
            Event::Commit => self.commit(),
            Event::Committed(batch) => {
                self.decide(|scheduler, now| scheduler.committed(&batch, now));
                for job in batch.ended() {
                    self.job_ended(job);
                }
            }
            Event::Started(order) => self.started(&order),
            Event::Stopped(order) => {
                let size = self.size(&order.task);
                if let Some(worker) = self.workers.get_mut(&order.worker) {
                    worker.end(&order.task, EndReason::Stopped, &size);
                }
                let clock = Some(self.clock());
                self.decide(|scheduler, now| {
                    scheduler.stop_answered(&order.worker, &order.task, order.run, clock, now);
                });
                self.tell(&order.worker);
            }
            Event::LookArrives(order) => self.look(order),
            Event::LookDue(worker) => {
                let now = self.now;
                let due =
                    |worker: &SimWorker| worker.waiting.as_ref().is_some_and(|it| it.1 <= now);
                if self.workers.get(&worker).is_some_and(due) {
                    self.tell(&worker);
                }
            }
            Event::LookAnswered(order, asked_at, answer) => {
                let asked_at = self.origin + asked_at;
                self.decide(|scheduler, now| {
                    scheduler.renew_answered(&order, asked_at, answer, now);
                    scheduler.issue_due_renewals(now);
                });
            }
            Event::TaskEnds(worker, task, run) => {
                let size = self.size(&task);
                let here = self.workers.get_mut(&worker);
                if let Some(here) =
                    here.filter(|it| it.running.get(&task).is_some_and(|it| it.run == run))
                {
                    here.end(&task, EndReason::Succeeded, &size);
                    self.tell(&worker);
                }
            }
            Event::Advised(request, share) => {
                let answer = share.map(|share| advisors::answer(&request, share));
                self.decide(|scheduler, now| scheduler.advice_answered(&request, answer, now));
            }
        }
    }

    fn arrive(&mut self, kind: usize) {
        let plan = &self.plan.kinds[kind];
        let arrival = Arrival::draw(plan, &mut self.random);
        let job: JobId = smol_str::format_smolstr!("{:016x}", self.random.random::<u64>());
        let (graph, queue) = (arrival.graph.clone(), plan.queue.clone());
        let worth = arrival.worth.0;
        let state = JobState {
            arrival,
            kind,
            submitted_at: self.now,
            present: BTreeMap::new(),
        };
        self.jobs.insert(job.clone(), state);
        let submission = self.decide(|scheduler, now| scheduler.submit(&job, graph, queue, now));
        let report = self.report.kinds.entry(plan.queue.queue.clone());
        let report = report.or_default();
        report.asked += 1;
        report.owed += worth;
        if matches!(submission, Submission::Refused { .. }) {
            report.refused += 1;
            self.jobs.remove(&job);
        }
    }

    fn commit(&mut self) {
        let unix_ms = (UNIX_START + self.now).as_millis() as u64;
        let batch = self.decide(|scheduler, _| {
            scheduler.take_batch(COMMIT_ROWS_MAX, COMMIT_BYTES_MAX, unix_ms)
        });
        if let Some(batch) = batch {
            self.after(COMMIT_TIME, Event::Committed(batch));
        }
        self.after(COMMIT_PERIOD, Event::Commit);
    }

    fn started(&mut self, order: &StartOrder) {
        let size = self.size(&order.task);
        let takes = self.run_time(&order.task);
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(&order.worker) {
            let slowness = worker.slowness;
            worker.start(order, &size, takes.mul_f64(slowness), now);
        }
        self.schedule_end(order);
        let answer = StartAnswer::Started {
            clock: self.clock(),
        };
        self.decide(|scheduler, now| {
            scheduler.start_answered(&order.worker, &order.task, order.run, answer, now);
        });
    }

    /// A task ends after its time, a gang's once all members are there.
    fn schedule_end(&mut self, order: &StartOrder) {
        let step = order.task.step.step;
        let Some(job) = self.jobs.get_mut(&order.task.step.job) else {
            return;
        };
        let run_time = job.arrival.run_times[step as usize];
        let spec = &job.arrival.graph.steps[step as usize];
        let member = (order.worker.clone(), order.task.clone(), order.run);
        let ready = if spec.gang {
            let present = job.present.entry(step).or_default();
            present.retain(|it| it.2 == order.run);
            present.push(member);
            if present.len() < spec.tasks as usize {
                return;
            }
            std::mem::take(present)
        } else {
            vec![member]
        };
        let slowness = |(worker, ..): &(WorkerId, TaskName, u64)| self.workers[worker].slowness;
        let slowest = ready.iter().map(slowness).fold(0.0, f64::max);
        for (worker, task, run) in ready {
            self.after(
                run_time.mul_f64(slowest),
                Event::TaskEnds(worker, task, run),
            );
        }
    }

    fn run_time(&self, task: &TaskName) -> Duration {
        let job = self.jobs.get(&task.step.job);
        job.map_or(Duration::ZERO, |job| {
            job.arrival.run_times[task.step.step as usize]
        })
    }

    fn size(&self, task: &TaskName) -> Resources {
        let job = self.jobs.get(&task.step.job);
        job.map_or(Resources::ZERO, |job| {
            job.arrival.graph.steps[task.step.step as usize].resources
        })
    }

    fn look(&mut self, order: RenewOrder) {
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        let id = order.worker.clone();
        let wait = order.wait;
        let at_once = worker.look(&order);
        worker.waiting = Some((order, self.now + wait));
        if at_once {
            self.tell(&id);
        } else {
            self.after(wait, Event::LookDue(id));
        }
    }

    /// Answers the look that waits at a worker.
    fn tell(&mut self, id: &WorkerId) {
        let clock = self.clock();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some((order, until)) = worker.waiting.take() {
            let answer = worker.answer(clock, self.now);
            let asked_at = until.saturating_sub(order.wait);
            self.after(WORKER_WAY / 2, Event::LookAnswered(order, asked_at, answer));
        }
    }

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
        if took <= objective {
            report.on_time += 1;
            report.earned += job.arrival.worth.0;
        } else if took <= objective * 3 {
            report.late += 1;
            report.earned += job.arrival.worth.1;
        }
    }

    /// Places what can be placed and carries out what was decided.
    fn pump(&mut self) {
        if self.now >= self.settled_at + self.scheduler.round_period() {
            self.settled_at = self.now;
            let before = self.report.decision_time;
            self.decide(|scheduler, now| scheduler.run_round(now));
            let round = self.report.decision_time - before;
            self.report.round_max = self.report.round_max.max(round);
            self.report.rounds += 1;
        } else if self.scheduler.round_needed() && !self.round_awaited {
            self.round_awaited = true;
            let wait = self.settled_at + self.scheduler.round_period() - self.now;
            self.after(wait, Event::RoundDue);
        }
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Start(order) => {
                    self.report.starts += 1;
                    self.after(WORKER_WAY, Event::Started(order));
                }
                Effect::Stop(order) => self.after(WORKER_WAY, Event::Stopped(order)),
                Effect::Renew(order) => {
                    self.report.looks += 1;
                    self.after(WORKER_WAY / 2, Event::LookArrives(order));
                }
                Effect::Advise(request) => self.ask(request),
                Effect::Fenced { worker } => panic!("deposed by {worker}"),
            }
        }
    }

    fn ask(&mut self, request: AdviceRequest) {
        let job = self.jobs.get(&request.step.job);
        let Some(share) = job.map(|job| self.plan.kinds[job.kind].allowed_share) else {
            return;
        };
        self.report.questions += 1;
        if let Some(at) = self.advisors.ask(&request, self.now) {
            self.after(at - self.now, Event::Advised(request, Some(share)));
        }
    }

    fn sample(&mut self) {
        if self.now < WARM_UP || self.now > WARM_UP + self.plan.lasts {
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
