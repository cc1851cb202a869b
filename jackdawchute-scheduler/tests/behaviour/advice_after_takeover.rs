//! Gangs that need advice, after a takeover and beside many others, with advisors that answer one
//! request at a time.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{
    AdviceAnswer, AdviceCost, AdviceRequest, QueuePolicy, RowChange, RunningTask, WorkerEntry,
};
use jackdawchute_types::WorkerId;

use crate::fixtures::*;

/// How long an accepted job may stand still beside room, by the users' rules.
const STANDSTILL_MAX: Duration = Duration::from_secs(3);
const WORKERS: usize = 350;
const WORKER_CORES: u64 = 16;
const ADVISORS: usize = 35;
/// The backlog beyond which an advisor takes no request.
const BACKLOG_MAX: Duration = Duration::from_millis(1_200);
/// The share of the workers that may run a step, in percent.
const ALLOWED_PERCENT: u64 = 35;
/// The widths of the gangs, one after the other.
const WIDTHS: [u32; 5] = [8, 14, 20, 27, 41];
const GANGS: usize = 64;
const TASK_CORES: u64 = 5;
/// How long the tasks run; longer than a test.
const TASK_TIME: Duration = Duration::from_secs(20);
const STEP_MS: u64 = 20;

/// A queue whose advice is dear and whose jobs can wait.
fn dear_queue() -> QueuePolicy {
    QueuePolicy {
        target: ms(120_000),
        advice: Some(AdviceCost {
            fixed_ms: 455.0,
            per_worker_ms: 6.5,
            valid: ms(2_000),
        }),
        ..queue(1)
    }
}

fn worker_entries() -> Vec<WorkerEntry> {
    (0..WORKERS)
        .map(|index| entry(&format!("w{index:03}"), WORKER_CORES))
        .collect()
}

/// The rows of a leader that accepted this many gangs and started none of them.
fn rows_with_waiting_gangs(gangs: usize) -> Vec<RowChange> {
    let mut cell = ready_cell(1, &worker_entries());
    for index in 0..gangs {
        let width = WIDTHS[index % WIDTHS.len()];
        let steps = vec![gang_of(width)];
        cell.accept(&format!("gang-{index:02}"), steps, dear_queue());
    }
    assert!(cell.take_starts().is_empty());
    cell.saved
}

fn gang_of(tasks: u32) -> jackdawchute_scheduler::StepSpec {
    jackdawchute_scheduler::StepSpec {
        estimate: TASK_TIME,
        ..gang(tasks, TASK_CORES)
    }
}

/// A cell whose workers start what they are ordered to, and whose advisors answer one request at a
/// time.
struct BusyCell {
    cell: Cell,
    /// The workers that answer nothing.
    silent: BTreeSet<WorkerId>,
    running: HashMap<WorkerId, Vec<RunningTask>>,
    running_cores: u64,
    jobs_begun: BTreeSet<String>,
    advisors_free_at: Vec<Instant>,
    answers: BTreeMap<(Instant, u64), AdviceRequest>,
    requests_sent: u64,
    workers_named: usize,
}

impl BusyCell {
    fn new(cell: Cell) -> Self {
        let now = cell.now;
        Self {
            cell,
            silent: BTreeSet::new(),
            running: HashMap::new(),
            running_cores: 0,
            jobs_begun: BTreeSet::new(),
            advisors_free_at: vec![now; ADVISORS],
            answers: BTreeMap::new(),
            requests_sent: 0,
            workers_named: 0,
        }
    }

    /// Lets time pass, with all answers that come in it.
    fn step(&mut self) {
        self.cell.tick(STEP_MS);
        self.answer_advice();
        self.answer_renewals();
        self.confirm_starts();
        self.send_advice_requests();
        self.cell.commit();
    }

    /// Lets time pass until recovery is complete, while every other worker answers nothing.
    fn recover_behind_a_cut(&mut self) {
        let every_other = worker_entries().into_iter().step_by(2);
        self.silent = every_other.map(|entry| entry.worker).collect();
        while !self.cell.scheduler.recovery_is_complete() {
            self.step();
        }
        self.silent.clear();
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.cell.now + time;
        while self.cell.now < until {
            self.step();
        }
    }

    /// Queues each request at the advisor that it is sent to.
    fn send_advice_requests(&mut self) {
        let now = self.cell.now;
        let asked = std::mem::take(&mut self.cell.asked);
        let requests = std::mem::take(&mut self.cell.advice);
        for (advisor, request) in asked.into_iter().zip(requests) {
            let free_at = &mut self.advisors_free_at[usize::from(advisor.port())];
            assert!(free_at.saturating_duration_since(now) <= BACKLOG_MAX);
            *free_at = now.max(*free_at) + request.expected;
            self.requests_sent += 1;
            self.workers_named += request.workers.len();
            let answered_at = *free_at;
            self.answers
                .insert((answered_at, self.requests_sent), request);
        }
        self.cell.advisors = Some(advisors(self.advisors_free_at.iter().copied()));
    }

    fn answer_advice(&mut self) {
        let later = self.answers.split_off(&(self.cell.now, u64::MAX));
        for (_, request) in std::mem::replace(&mut self.answers, later) {
            let named = request.workers.iter();
            let allowed = named.filter(|worker| is_allowed(&request, worker));
            let answer = AdviceAnswer {
                allowed: allowed
                    .map(|worker| (worker.clone(), "ticket".into()))
                    .collect(),
            };
            let now = self.cell.now;
            self.cell
                .scheduler
                .advice_answered(&request, Some(answer), now);
        }
    }

    fn answer_renewals(&mut self) {
        for renewal in std::mem::take(&mut self.cell.renewals) {
            if self.silent.contains(&renewal.worker) {
                let now = self.cell.now;
                self.cell.scheduler.renew_failed(&renewal, now, now);
                continue;
            }
            let runs = self.running.get(&renewal.worker);
            let runs = runs.cloned().unwrap_or_default();
            self.cell.answer_renewal(&renewal, runs, Vec::new());
        }
    }

    fn confirm_starts(&mut self) {
        for start in self.cell.take_starts() {
            self.cell.confirm_start(&start);
            self.running_cores += TASK_CORES;
            self.jobs_begun.insert(start.task.step.job.to_string());
            let runs = self.running.entry(start.worker.clone()).or_default();
            runs.push(running(&start));
        }
    }

    /// Returns whether each job has begun, or half of the cell is in use.
    fn is_at_work(&self) -> bool {
        let half_cores = WORKERS as u64 * WORKER_CORES / 2;
        self.running_cores >= half_cores || self.jobs_begun.len() == GANGS
    }
}

/// Returns whether an advisor allows a worker, which depends on the step and the worker only.
fn is_allowed(request: &AdviceRequest, worker: &WorkerId) -> bool {
    let mut hasher = DefaultHasher::new();
    (&request.step.job, request.step.step, worker).hash(&mut hasher);
    hasher.finish() % 100 < ALLOWED_PERCENT
}

/// Returns a cell that recovers gangs behind a cut of half of its workers, up to the end of recovery.
fn cell_with_recovered_gangs(gangs: usize) -> BusyCell {
    let rows = rows_with_waiting_gangs(gangs);
    let mut busy = BusyCell::new(successor_with_workers(2, &rows, worker_entries()));
    busy.recover_behind_a_cut();
    busy
}

/// Issue 58: gangs asked for advice late, and about many times the workers that they needed.
#[test]
fn recovered_gangs_do_not_stand_still_beside_room_once_recovery_is_complete() {
    let mut busy = cell_with_recovered_gangs(GANGS);

    busy.run_for(STANDSTILL_MAX);

    assert!(
        busy.is_at_work(),
        "{} cores in use, {} gangs have begun, {} requests, {} workers named",
        busy.running_cores,
        busy.jobs_begun.len(),
        busy.requests_sent,
        busy.workers_named
    );
}

/// Issue 58: all advisors were idle while recovery waited, and the gangs waited for them afterwards.
#[test]
fn a_recovered_gang_has_its_tickets_when_recovery_is_complete() {
    let mut busy = cell_with_recovered_gangs(1);

    busy.run_for(ms(2 * STEP_MS));

    assert_eq!(busy.jobs_begun.len(), 1, "{} requests", busy.requests_sent);
}
