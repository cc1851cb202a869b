//! The state of the scheduler, its scheduling rounds and periodic work.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_speeds::{FleetSpeeds, RunTimes};
use jackdawchute_tenants::TenantPolicies;
use jackdawchute_types::{Epoch, FencingToken, JobId, QueueId, ServiceId, TenantId, WorkerId};
use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::{
    advice_counts::AdviceCounts,
    advisors::Advisors,
    authority::EpochAuthority,
    estimates::AllowedShares,
    job::{Job, JobPhase},
    late_starts::LateStarts,
    place::Waits,
    records::RunsLeft,
    recover::Recovery,
    row_size::RowNumber,
    service_load::ServiceLoads,
    unsaved::UnsavedJobs,
    worker::Worker,
    worker_rows::WorkerRows,
    AdviceNumber, Effect, JobOutcome, JobStatus, Settings, StepName, TaskName, WorkerEntry,
};

/// The number of fencing tokens in an epoch: one for each incarnation of a worker that answers the
/// epoch's leader.
const TOKENS_PER_EPOCH: FencingToken = 1 << 16;

/// The shortest time between two scheduling rounds.
const ROUND_PERIOD_MIN: Duration = Duration::from_millis(6);
/// The shortest time between two scheduling rounds for each worker of the cell. Rounds then take a
/// few hundredths of a core, and a task waits no longer than a few round trips to its worker.
const ROUND_PERIOD_PER_WORKER: Duration = Duration::from_micros(60);

/// The time between two searches for ended jobs whose retention has passed; far shorter than any
/// retention.
const ENDED_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The outcome of an ended job.
#[derive(Clone, Debug)]
pub(crate) struct EndedJob {
    pub(crate) outcome: JobOutcome,
    /// The tenant that submitted the job.
    pub(crate) tenant: Option<TenantId>,
    /// What tasks of the job may still run, on workers that have not listed their runs.
    pub(crate) runs_left: Option<RunsLeft>,
    /// When the end was committed, or recovered from a saved row; its retention starts then.
    pub(crate) retained_since: Instant,
    /// Whether the job is from an earlier epoch, whose leader may not know of its end.
    pub(crate) recovered: bool,
}

/// The state and decisions of a cell's leader, for all jobs and workers during one epoch.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    /// The lowest fencing token of the epoch.
    pub(crate) token_base: FencingToken,
    /// The jobs that have not ended, or whose end is not committed.
    pub(crate) jobs: HashMap<JobId, Job>,
    /// The jobs that may have something to place, in the order of their ids.
    pub(crate) placeable: BTreeSet<JobId>,
    /// Until when lasting tasks pause before their next run, soonest first.
    pub(crate) pauses: BTreeSet<(Instant, TaskName)>,
    /// The ended jobs whose retention has not passed.
    pub(crate) ended: HashMap<JobId, EndedJob>,
    /// When `ended` is next searched for jobs whose retention has passed.
    ended_check_next_at: Instant,
    /// The keys of the saved rows of ended jobs and when each was committed or recovered, oldest
    /// first.
    pub(crate) ended_rows: VecDeque<(Instant, SmolStr)>,
    /// How many rows of ended jobs this epoch has written; part of their keys.
    pub(crate) ended_rows_counter: u64,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// The services that a queue or a job uses; `None` before the first configuration, when any may
    /// be in use.
    pub(crate) services: Option<BTreeSet<ServiceId>>,
    /// What the configuration says of the tenants; `None` while it names none, so that neither caps
    /// nor shares apply.
    pub(crate) tenants: Option<Arc<TenantPolicies>>,
    /// The steps that waited for the caps of their tenants in the last scheduling round.
    pub(crate) waiting_for_caps: BTreeSet<StepName>,
    /// Since when gangs wait for the caps of their tenants.
    pub(crate) gangs_waiting_for_caps: FxHashMap<TenantId, Instant>,
    /// How many jobs of each tenant this leader has refused.
    pub(crate) refused_by_tenant: BTreeMap<TenantId, u64>,
    /// The listed workers of other services, which are sent nothing.
    pub(crate) unused_workers: BTreeMap<WorkerId, WorkerEntry>,
    /// How often the tokens of workers that were dropped had been raised, so that they do not fall
    /// when the workers are listed again.
    pub(crate) token_raises: HashMap<WorkerId, u64>,
    pub(crate) run_times: RunTimes,
    /// How far the workers differ in speed.
    pub(crate) fleet_speeds: FleetSpeeds,
    pub(crate) allowed_shares: AllowedShares,
    pub(crate) advice_counts: AdviceCounts,
    /// The number of the last advice request.
    pub(crate) last_advice: AdviceNumber,
    /// When advice was last requested, or looked at whether it has to be.
    pub(crate) advice_round_at: Instant,
    /// When advice is next requested for steps behind a great deal of waiting work.
    pub(crate) far_advice_next_at: Instant,
    pub(crate) recovery: Recovery,
    /// The starts without an answer that may begin tasks.
    pub(crate) late_starts: LateStarts,
    /// The capacity and waiting work of each service, for the admission of jobs; `None` until the
    /// first job arrives after a round.
    pub(crate) loads: Option<ServiceLoads>,
    /// The jobs with unsaved progress, or whose end is not in a batch yet.
    pub(crate) unsaved: UnsavedJobs,
    /// Saved progress rows of jobs that have ended, to be removed.
    pub(crate) stale_progress: BTreeMap<JobId, BTreeSet<RowNumber>>,
    /// The jobs whose acceptance is not in a batch yet, in order of arrival.
    pub(crate) accepting: VecDeque<JobId>,
    /// The assignment of workers to saved rows.
    pub(crate) worker_rows: WorkerRows,
    /// The workers with recorded run ends that are not in a batch yet.
    pub(crate) ends_unsaved: BTreeSet<WorkerId>,
    /// The workers with capacity that the last placement reserved for gangs.
    pub(crate) reserved_in_last_round: HashSet<WorkerId>,
    /// The workers with capacity that the current placement has reserved for gangs.
    pub(crate) reserved_in_this_round: HashSet<WorkerId>,
    /// The waits for places near data or in one rack.
    pub(crate) waits: Waits,
    /// The effects since the last [`Scheduler::take_effects`].
    pub(crate) effects: Vec<Effect>,
    /// Whether anything has changed that the next scheduling round may act on.
    pub(crate) placement_needed: bool,
    pub(crate) epoch: Epoch,
    /// When this leader began the epoch.
    pub(crate) epoch_began_at: Instant,
    /// How far the epoch is confirmed.
    pub(crate) authority: EpochAuthority,
}

impl Scheduler {
    /// Returns the state of an epoch that begins now, without jobs and workers.
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
            pauses: BTreeSet::new(),
            ended: HashMap::new(),
            ended_check_next_at: now,
            ended_rows: VecDeque::new(),
            ended_rows_counter: 0,
            workers: BTreeMap::new(),
            services: None,
            tenants: None,
            waiting_for_caps: BTreeSet::new(),
            gangs_waiting_for_caps: FxHashMap::default(),
            refused_by_tenant: BTreeMap::new(),
            unused_workers: BTreeMap::new(),
            token_raises: HashMap::new(),
            run_times: RunTimes::default(),
            fleet_speeds: FleetSpeeds::default(),
            allowed_shares: AllowedShares::default(),
            advice_counts: AdviceCounts::default(),
            last_advice: 0,
            advice_round_at: now,
            far_advice_next_at: now,
            recovery: Recovery::new(now),
            late_starts: LateStarts::default(),
            loads: None,
            unsaved: UnsavedJobs::default(),
            stale_progress: BTreeMap::new(),
            accepting: VecDeque::new(),
            worker_rows: WorkerRows::default(),
            ends_unsaved: BTreeSet::new(),
            reserved_in_last_round: HashSet::new(),
            reserved_in_this_round: HashSet::new(),
            waits: Waits::default(),
            effects: Vec::new(),
            placement_needed: false,
            epoch,
            epoch_began_at: now,
            authority: EpochAuthority::new(now),
        }
    }

    /// Returns the epoch of this leader.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the effects that have become due since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the status of a job as reported to callers.
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

    /// Returns the tenant that submitted a job; `None` if none did, or the job is not known.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let scheduler = Scheduler::new(Settings::default(), 1, Instant::now());
    /// assert_eq!(scheduler.tenant_of(&"job".into()), None);
    /// ```
    pub fn tenant_of(&self, job: &JobId) -> Option<&TenantId> {
        let ended = self.ended.get(job);
        match ended {
            Some(ended) => ended.tenant.as_ref(),
            None => self.jobs.get(job).and_then(|job| job.tenant.as_ref()),
        }
    }

    /// Returns the queue of a job that has not ended.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let scheduler = Scheduler::new(Settings::default(), 1, Instant::now());
    /// assert_eq!(scheduler.queue_of(&"job".into()), None);
    /// ```
    pub fn queue_of(&self, job: &JobId) -> Option<&QueueId> {
        self.jobs.get(job).map(|job| &job.queue.queue)
    }

    /// Returns the number of a queue's accepted jobs of which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let is_pending =
            |job: &&Job| job.queue.queue == queue && !job.begun && job.phase == JobPhase::Live;
        self.jobs.values().filter(is_pending).count()
    }

    /// Includes a job's waiting tasks in the next scheduling round.
    pub(crate) fn make_placeable(&mut self, id: &JobId, now: Instant) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.set_waiting(true, now);
            self.placeable.insert(id.clone());
        }
    }

    /// Returns the number of jobs whose end is not committed.
    pub fn jobs_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of workers that are listed, or whose runs may not have ended.
    pub fn workers_count(&self) -> usize {
        self.workers.len()
    }

    /// Drops the submitted jobs whose acceptance is in no batch yet and returns them; they will
    /// never run.
    pub fn withdraw_unsaved(&mut self) -> Vec<JobId> {
        let withdrawn: Vec<JobId> = self.accepting.drain(..).collect();
        for job in &withdrawn {
            self.jobs.remove(job);
            self.placeable.remove(job);
        }
        withdrawn
    }

    /// Does the periodic work: starts due occurrences, repeats orders without an answer, handles
    /// lapsed leases and leaving workers, and sends due renewals.
    pub fn tick(&mut self, now: Instant, unix_now: Duration) {
        self.begin_due_occurrences(unix_now, now);
        self.end_pauses(now);
        self.retry_orders(now);
        self.drop_lost_workers(now);
        self.update_late_starts(now);
        self.update_worker_rows();
        self.finish_recovery(now);
        self.stop_runs_on_leaving_workers(now);
        self.issue_due_renewals(now);
        self.drop_ended_jobs(now);
        self.placement_needed = true;
    }

    /// Returns the shortest time between two scheduling rounds, which grows with the number of
    /// workers, as the cost of a round does.
    pub fn round_period(&self) -> Duration {
        ROUND_PERIOD_MIN.max(ROUND_PERIOD_PER_WORKER * self.workers.len() as u32)
    }

    /// Returns whether anything has changed since the last scheduling round.
    pub fn round_needed(&self) -> bool {
        self.placement_needed
    }

    /// Runs a scheduling round: sends the renewals that are due and, if anything has changed since
    /// the last round, places tasks and requests advice of the advisors that are about to be free;
    /// without authority only the former.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{Advisors, Scheduler, Settings};
    ///
    /// let now = Instant::now();
    /// let mut scheduler = Scheduler::new(Settings::default(), 1, now);
    /// scheduler.run_round(Advisors::default(), now);
    /// assert!(scheduler.take_effects().is_empty());
    /// ```
    pub fn run_round(&mut self, advisors: Advisors, now: Instant) {
        self.issue_due_renewals(now);
        self.loads = None;
        if !self.authority.may_act {
            return;
        }
        if std::mem::take(&mut self.placement_needed) {
            let mut ranked = self.ranked_steps(now);
            let mut tenants = self.tenant_round(now);
            self.order_by_shares(&mut ranked, &mut tenants);
            let mut free_capacity = self.free_capacity(now);
            // Placement goes first: only what lacks a valid ticket afterwards needs more advice.
            self.place(&ranked, &mut free_capacity, &mut tenants, now);
            self.note_cap_waits(tenants);
            ranked.retain(|step| !step.waits_for_cap);
            self.request_advice(&ranked, &free_capacity, advisors, now);
        }
    }

    fn begin_due_occurrences(&mut self, unix_now: Duration, now: Instant) {
        let due_before = unix_now.saturating_add(self.settings.occurrence_early_max);
        for job in self.jobs.values_mut() {
            let Some(repeat) = job.graph.repeat else {
                continue;
            };
            if job.phase != JobPhase::Live {
                continue;
            }
            let due = repeat.occurrences_due(due_before);
            let room = job.graph.occurrences_at_a_time_max();
            let end = due.min(job.occurrences_done.saturating_add(room));
            if job.begin_occurrences(end) {
                job.set_waiting(true, now);
                self.placeable.insert(job.id.clone());
            }
        }
    }

    fn drop_ended_jobs(&mut self, now: Instant) {
        if now < self.ended_check_next_at {
            return;
        }
        self.ended_check_next_at = now + ENDED_CHECK_PERIOD;
        let retention = self.settings.ended_retention;
        self.ended
            .retain(|_, ended| now.saturating_duration_since(ended.retained_since) < retention);
    }
}
