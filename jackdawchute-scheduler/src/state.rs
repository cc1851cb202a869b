//! What the scheduling instance knows.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use jackdawchute_types::{Epoch, FencingToken, JobId, WorkerId};
use smol_str::SmolStr;

use crate::{
    admit::Loads,
    estimates::{AllowedShares, RunTimes},
    job::{Job, JobPhase},
    recover::Recovery,
    worker::Worker,
    worker_rows::WorkerRows,
    Effect, JobOutcome, JobStatus, Settings,
};

/// The tokens of one epoch: one for each life of a worker that the epoch's owner meets.
const TOKENS_PER_EPOCH: FencingToken = 1 << 16;

/// The shortest time between two rounds of placement.
const ROUND_PERIOD_MIN: Duration = Duration::from_millis(6);
/// The same for each worker; rounds then take a few hundredths of a core, and no task waits for
/// longer than the way to its worker and back takes several times over.
const ROUND_PERIOD_PER_WORKER: Duration = Duration::from_micros(60);

/// How often ended jobs are looked through; far shorter than any is kept.
const FORGET_PERIOD: Duration = Duration::from_secs(1);

/// An ended job.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub(crate) outcome: JobOutcome,
    pub(crate) at: Instant,
}

/// Decides for all workers and jobs of a cell during one epoch.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) token_base: FencingToken,
    pub(crate) jobs: HashMap<JobId, Job>,
    /// The jobs that may have something to place, in the order of their ids.
    pub(crate) placeable: BTreeSet<JobId>,
    pub(crate) ended: HashMap<JobId, Ended>,
    /// When ended jobs are next looked through.
    ended_checked_next: Instant,
    /// Saved rows of ended jobs, oldest first.
    pub(crate) ended_rows: VecDeque<(Instant, SmolStr)>,
    pub(crate) ended_rows_counter: u64,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Which life of a worker was met last, for workers that are forgotten.
    pub(crate) incarnations_seen: HashMap<WorkerId, u64>,
    pub(crate) run_times: RunTimes,
    pub(crate) allowed_shares: AllowedShares,
    pub(crate) recovery: Recovery,
    /// What goes before a job on arrival, while that is known.
    pub(crate) loads: Option<Loads>,
    /// Jobs whose rows are to be saved.
    pub(crate) unsaved: BTreeSet<JobId>,
    /// Jobs in the order of their acceptance that is not committed yet.
    pub(crate) accepting: VecDeque<JobId>,
    /// Jobs that are ending and not committed yet.
    pub(crate) ending: Vec<JobId>,
    /// Where the workers are saved.
    pub(crate) worker_rows: WorkerRows,
    pub(crate) ends_unsaved: BTreeSet<WorkerId>,
    /// Workers with places that are kept for gangs, as of the last placement and of this one.
    pub(crate) planned: HashSet<WorkerId>,
    pub(crate) planning: HashSet<WorkerId>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) place_needed: bool,
    pub(crate) epoch: Epoch,
    pub(crate) began_at: Instant,
}

impl Scheduler {
    /// Starts an epoch that knows no jobs and no workers.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{JobStatus, Scheduler, Settings};
    ///
    /// let scheduler = Scheduler::new(Settings::default(), 1, Instant::now());
    /// assert_eq!(scheduler.status(&"none".into()), JobStatus::Unknown);
    /// ```
    pub fn new(settings: Settings, epoch: Epoch, now: Instant) -> Self {
        Self {
            settings,
            token_base: epoch.saturating_mul(TOKENS_PER_EPOCH),
            jobs: HashMap::new(),
            placeable: BTreeSet::new(),
            ended: HashMap::new(),
            ended_checked_next: now,
            ended_rows: VecDeque::new(),
            ended_rows_counter: 0,
            workers: BTreeMap::new(),
            incarnations_seen: HashMap::new(),
            run_times: RunTimes::default(),
            allowed_shares: AllowedShares::default(),
            recovery: Recovery::new(now),
            loads: None,
            unsaved: BTreeSet::new(),
            accepting: VecDeque::new(),
            ending: Vec::new(),
            worker_rows: WorkerRows::default(),
            ends_unsaved: BTreeSet::new(),
            planned: HashSet::new(),
            planning: HashSet::new(),
            effects: Vec::new(),
            place_needed: false,
            epoch,
            began_at: now,
        }
    }

    /// The epoch that this scheduler decides in.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes what is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// What callers are told of a job.
    pub fn status(&self, job: &JobId) -> JobStatus {
        if let Some(ended) = self.ended.get(job) {
            return JobStatus::Ended(ended.outcome);
        }
        let Some(job) = self.jobs.get(job) else {
            return JobStatus::Unknown;
        };
        match job.phase {
            JobPhase::Accepting => JobStatus::Undecided,
            JobPhase::Live | JobPhase::Ending(_) if job.begun => JobStatus::Running,
            JobPhase::Live | JobPhase::Ending(_) => JobStatus::Queued,
        }
    }

    /// The jobs of a queue that are accepted and have not begun.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let pending =
            |job: &&Job| job.queue.queue == queue && !job.begun && job.phase == JobPhase::Live;
        self.jobs.values().filter(pending).count()
    }

    /// Considers a job's waiting tasks in the next placement.
    pub(crate) fn make_placeable(&mut self, id: &JobId, now: Instant) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.set_waiting(true, now);
            self.placeable.insert(id.clone());
        }
    }

    /// The number of jobs that have not ended.
    pub fn jobs_count(&self) -> usize {
        self.jobs.len()
    }

    /// Drops the jobs that are in no batch yet; they will never run.
    pub fn withdraw_unsaved(&mut self) -> Vec<JobId> {
        let withdrawn: Vec<JobId> = self.accepting.drain(..).collect();
        for job in &withdrawn {
            self.jobs.remove(job);
            self.placeable.remove(job);
        }
        withdrawn
    }

    /// Lets time pass: retries, lapsed leases, holds that are due, placement.
    pub fn tick(&mut self, now: Instant, unix_now: Duration) {
        self.begin_due_occurrences(unix_now, now);
        self.retry_orders(now);
        self.forget_lost_workers(now);
        self.finish_recovery(now);
        self.move_from_leaving_workers(now);
        self.issue_due_renewals(now);
        self.forget_ended_jobs(now);
        self.place_needed = true;
    }

    /// The shortest time between two rounds of placement, which cost more the more workers there
    /// are.
    pub fn round_period(&self) -> Duration {
        ROUND_PERIOD_MIN.max(ROUND_PERIOD_PER_WORKER * self.workers.len() as u32)
    }

    /// Whether anything has changed since the last round of placement.
    pub fn round_needed(&self) -> bool {
        self.place_needed
    }

    /// Asks for the looks that are due, and places what can be placed if anything has changed since
    /// the last call.
    pub fn run_round(&mut self, now: Instant) {
        self.issue_due_renewals(now);
        self.loads = None;
        if std::mem::take(&mut self.place_needed) {
            let ranked = self.ranked_steps(now);
            let mut free_capacity = self.free_capacity(now);
            // Only what could not be placed with the advice at hand needs more.
            self.place(&ranked, &mut free_capacity, now);
            self.ask_for_advice(&ranked, &free_capacity, now);
        }
    }

    fn begin_due_occurrences(&mut self, unix_now: Duration, now: Instant) {
        let early = self.settings.occurrence_early_max;
        for job in self.jobs.values_mut() {
            let Some(repeat) = job.graph.repeat else {
                continue;
            };
            if job.phase != JobPhase::Live {
                continue;
            }
            let begun = job.occurrences_done + job.occurrences.len() as u32;
            for occurrence in begun..repeat.occurrences {
                let due = Duration::from_millis(repeat.first_due_unix_ms)
                    + repeat.interval.saturating_mul(occurrence);
                if due > unix_now + early {
                    break;
                }
                job.add_occurrence(occurrence);
                job.set_waiting(true, now);
                self.placeable.insert(job.id.clone());
            }
        }
    }

    fn forget_ended_jobs(&mut self, now: Instant) {
        if now < self.ended_checked_next {
            return;
        }
        self.ended_checked_next = now + FORGET_PERIOD;
        let retention = self.settings.ended_retention;
        self.ended
            .retain(|_, ended| now.saturating_duration_since(ended.at) < retention);
    }
}
