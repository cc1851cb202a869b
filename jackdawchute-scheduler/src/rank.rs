//! The order in which steps are placed, which matters under load above the cell's capacity.
//!
//! Steps that can still be on time go first, those of the most urgent queue before all others and
//! the rest by slack; steps that are late already get what is left. Small gangs go before large
//! ones with only slightly less slack, because capacity stays idle while a large gang waits for
//! enough of it. Where tenants compete for a full cell, what lies beyond a tenant's share goes
//! after what others have within theirs, in each priority.

use std::time::{Duration, Instant};

use crate::{
    job::{Job, JobPhase},
    Scheduler, StepName,
};

/// The priority of the queues that go before all others.
pub(crate) const MOST_URGENT: u32 = 0;

/// The time that acceptance, orders and the report of run ends take in addition to the tasks.
const ORDER_OVERHEAD: Duration = Duration::from_millis(120);

/// The multiple of a job's objective for which its result is of some use to its caller.
pub(crate) const USEFUL_FACTOR: f64 = 3.0;
/// The slack that is added for each task of a gang when steps are ordered. In the load model of the
/// stand-ins (repair desk), gangs earned 0.66 of their worth without it, 0.71 with 200 ms and as
/// much with 800 ms.
const GANG_TASK_SLACK: Duration = Duration::from_millis(200);

/// How useful the result of a job will be to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timeliness {
    /// The job can end in time.
    OnTime,
    /// The job cannot end in time, and its result will still be of some use.
    Late,
    /// The result will be of hardly any use.
    TooLate,
}

/// A ready step that waits for workers; the order of values is the order of placement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RankedStep {
    timeliness: Timeliness,
    less_urgent: bool,
    /// How far the step lies beyond its tenant's share of a full cell; 0 within it.
    pub(crate) share_band: u32,
    /// How long the step can wait until its timeliness changes, plus the slack of a gang; for steps
    /// that are too late, the time since acceptance, negated so that the oldest goes first.
    slack_ms: i64,
    pub(crate) name: StepName,
    /// Whether the acceptance of the job is not committed yet, so that only advice is requested.
    pub(crate) accepting: bool,
    /// How many tasks may start in this turn of the step; `None` for no limit.
    pub(crate) starts_max: Option<u32>,
    /// Whether the cap of the step's tenant has no room for it soon, so that it needs no advice.
    pub(crate) waits_for_cap: bool,
}

impl RankedStep {
    /// Returns a further turn of the step, for the tasks that lie beyond its tenant's share.
    pub(crate) fn beyond_share(&self, share_band: u32) -> Self {
        Self {
            share_band,
            ..self.clone()
        }
    }
}

impl Scheduler {
    /// Returns the ready steps with tasks to place, in order of placement, and removes jobs without
    /// such a step from `placeable`.
    pub(crate) fn ranked_steps(&mut self, now: Instant) -> Vec<RankedStep> {
        let mut ranked = Vec::new();
        let mut without_tasks = Vec::new();
        for id in &self.placeable {
            let Some(job) = self.jobs.get(id) else {
                without_tasks.push(id.clone());
                continue;
            };
            let is_eligible = matches!(job.phase, JobPhase::Live | JobPhase::Accepting);
            let ranked_before = ranked.len();
            for occurrence_run in &job.occurrences {
                for (step, step_run) in (0u32..).zip(&occurrence_run.steps) {
                    let has_waiting = step_run.units.iter().any(|unit| unit.is_waiting());
                    if has_waiting && job.step_is_ready(occurrence_run, step) {
                        let name = StepName {
                            job: id.clone(),
                            occurrence: occurrence_run.occurrence,
                            step,
                        };
                        ranked.push(self.rank(job, name, now));
                    }
                }
            }
            if ranked.len() == ranked_before && job.phase != JobPhase::Accepting {
                without_tasks.push(id.clone());
            }
            if !is_eligible {
                ranked.truncate(ranked_before);
            }
        }
        for id in without_tasks {
            self.placeable.remove(&id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.set_waiting(false, now);
            }
        }
        ranked.sort_unstable();
        ranked
    }

    /// Returns the rank of a step for its placement.
    fn rank(&self, job: &Job, name: StepName, now: Instant) -> RankedStep {
        let spec = job.graph.steps.get(name.step as usize);
        let gang_tasks = spec.filter(|spec| spec.gang).map_or(0, |spec| spec.tasks);
        let age = now.saturating_duration_since(job.accepted_at);
        let (timeliness, slack) = if job.graph.long_running() {
            (Timeliness::OnTime, Duration::ZERO)
        } else {
            self.timeliness(job, now)
        };
        let slack_ms = match timeliness {
            Timeliness::TooLate => -(age.as_millis() as i64),
            _ => (slack + GANG_TASK_SLACK * gang_tasks).as_millis() as i64,
        };
        RankedStep {
            timeliness,
            less_urgent: job.queue.priority != MOST_URGENT,
            share_band: 0,
            slack_ms,
            name,
            accepting: job.phase == JobPhase::Accepting,
            starts_max: None,
            waits_for_cap: false,
        }
    }

    /// Returns the expected run time of a job's longest chain of steps.
    pub(crate) fn expected_chain(&self, job: &Job) -> Duration {
        let declared = job.graph.longest_chain();
        self.run_times.expected(&job.queue.queue, declared)
    }

    /// Returns the timeliness of a job, and how much longer the job can wait until that changes.
    pub(crate) fn timeliness(&self, job: &Job, now: Instant) -> (Timeliness, Duration) {
        if let Some(slack) = self.slack(job, now) {
            return (Timeliness::OnTime, slack);
        }
        let chain = self.expected_chain(job);
        let useful_for = job.queue.useful_for(chain, USEFUL_FACTOR);
        let time_taken = job.waited(now) + ORDER_OVERHEAD + chain;
        match useful_for.checked_sub(time_taken) {
            Some(slack) => (Timeliness::Late, slack),
            None => (Timeliness::TooLate, Duration::ZERO),
        }
    }

    /// Returns how much longer a job can wait and still end in time; `None` if it cannot end in
    /// time, or was not expected to at its arrival.
    ///
    /// The objective of a job follows from the measured run times of its queue's tasks, so that
    /// only the time for which the job waits counts against it.
    pub(crate) fn slack(&self, job: &Job, now: Instant) -> Option<Duration> {
        if job.deferred {
            return None;
        }
        let chain = self.expected_chain(job);
        let allowance = job.queue.wait_allowance(chain);
        allowance.checked_sub(job.waited(now) + ORDER_OVERHEAD)
    }
}
