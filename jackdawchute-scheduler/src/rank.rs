//! The order in which steps are placed.
//!
//! Answers load above the cell's capacity: what can still be on time goes first, the most urgent
//! queue before all others, the rest by slack, and what is late already takes what is left. Large
//! gangs yield to small ones within bounds: while their places are gathered, room stays idle.

use std::time::{Duration, Instant};

use crate::{
    job::{Job, JobPhase},
    Scheduler, StepName,
};

/// The urgency of the queue that goes before all others.
pub(crate) const MOST_URGENT: u32 = 0;

/// What acceptance, orders and the report of ends take besides the tasks themselves.
const ORDER_OVERHEAD: Duration = Duration::from_millis(120);

/// For so many times its objective a job's result is of some use to its caller.
pub(crate) const USEFUL_FACTOR: f64 = 3.0;
/// How much slack each task of a gang counts as in its turn. The load model (repair desk) gave the
/// gangs 0.66 of their worth without it, 0.71 with 200 ms and as much with 800.
const GANG_TASK_SLACK: Duration = Duration::from_millis(200);

/// What a job's result will be worth to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timeliness {
    /// It can end in time.
    OnTime,
    /// It cannot, and is still of some use.
    Late,
    /// It will be of hardly any use.
    TooLate,
}

/// A step that waits for workers, in the order of its turn.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ranked {
    timeliness: Timeliness,
    less_urgent: bool,
    /// The time until it must start to stay as timely as it is, and the allowance of a gang; for
    /// steps that are too late, the time since acceptance, negated so that the oldest goes first.
    slack_ms: i64,
    pub(crate) name: StepName,
    /// Its job's acceptance is not committed yet: only advice is asked for.
    pub(crate) accepting: bool,
}

impl Scheduler {
    /// The ready steps with something to place, best first.
    pub(crate) fn ranked_steps(&mut self, now: Instant) -> Vec<Ranked> {
        let mut ranked = Vec::new();
        let mut idle = Vec::new();
        for id in &self.placeable {
            let Some(job) = self.jobs.get(id) else {
                idle.push(id.clone());
                continue;
            };
            let eligible = matches!(job.phase, JobPhase::Live | JobPhase::Accepting);
            let before = ranked.len();
            for run in &job.occurrences {
                for (step, step_run) in (0u32..).zip(&run.steps) {
                    let waiting = step_run.units.iter().any(|unit| unit.waiting());
                    if waiting && job.ready(run, step) {
                        let name = StepName {
                            job: id.clone(),
                            occurrence: run.occurrence,
                            step,
                        };
                        ranked.push(self.rank(job, name, now));
                    }
                }
            }
            if ranked.len() == before && job.phase != JobPhase::Accepting {
                idle.push(id.clone());
            }
            if !eligible {
                ranked.truncate(before);
            }
        }
        for id in idle {
            self.placeable.remove(&id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.set_waiting(false, now);
            }
        }
        ranked.sort_unstable();
        ranked
    }

    fn rank(&self, job: &Job, name: StepName, now: Instant) -> Ranked {
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
        Ranked {
            timeliness,
            less_urgent: job.queue.priority != MOST_URGENT,
            slack_ms,
            name,
            accepting: job.phase == JobPhase::Accepting,
        }
    }

    /// How long the longest chain of a job's steps is expected to take.
    pub(crate) fn expected_chain(&self, job: &Job) -> Duration {
        let declared = job.graph.longest_chain();
        self.run_times.expected(&job.queue.queue, declared)
    }

    /// What a job will be worth, and how much longer it can wait until that changes.
    fn timeliness(&self, job: &Job, now: Instant) -> (Timeliness, Duration) {
        if let Some(slack) = self.slack(job, now) {
            return (Timeliness::OnTime, slack);
        }
        let chain = self.expected_chain(job);
        let useful = job.queue.useful_for(chain, USEFUL_FACTOR);
        let passed = job.waited(now) + ORDER_OVERHEAD + chain;
        match useful.checked_sub(passed) {
            Some(slack) => (Timeliness::Late, slack),
            None => (Timeliness::TooLate, Duration::ZERO),
        }
    }

    /// How much longer a job can wait and still end in time; `None` if it can't, or was not
    /// expected to on arrival.
    ///
    /// What a job may take follows from what its tasks really take, so that only the time that it
    /// waits counts against it.
    pub(crate) fn slack(&self, job: &Job, now: Instant) -> Option<Duration> {
        if job.deferred {
            return None;
        }
        let chain = self.expected_chain(job);
        let allowance = job.queue.wait_allowance(chain);
        allowance.checked_sub(job.waited(now) + ORDER_OVERHEAD)
    }
}
