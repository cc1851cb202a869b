//! The status of jobs and tasks, as reported to callers.

use jackdawchute_types::{JobId, JobState, Refusal, RefusalReason, TaskState};

use crate::{
    home::{
        job::{Acceptance, Job, Task, TaskPhase},
        state::HomeGroups,
    },
    JobStatus, Reply, TaskStatus,
};

impl HomeGroups {
    /// Returns the status of a job.
    ///
    /// # Errors
    /// Refuses jobs of other home owners, and unknown or forgotten ones.
    pub fn status(&self, id: &JobId) -> Result<Reply, Refusal> {
        self.check_known(id)?;
        let job = self.jobs.get(id).map(Job::status);
        job.map(Reply::Job).ok_or_else(|| not_found(id))
    }

    /// Refuses a job of another home owner, and one that is unknown or forgotten.
    pub(crate) fn check_known(&self, id: &JobId) -> Result<(), Refusal> {
        let group = crate::home_group(id, self.settings.partitions);
        if !self.owns(&group) {
            let detail = format!("{group} has another owner");
            return Err(Refusal::not_run(RefusalReason::OwnerUnavailable, detail));
        }
        if self.jobs.contains_key(id) {
            return Ok(());
        }
        Err(not_found(id))
    }
}

impl Job {
    /// Returns the current status of the job.
    pub fn status(&self) -> JobStatus {
        let waiting = self
            .last_start
            .map(|at| at.saturating_duration_since(self.accepted_at));
        let waiting = waiting.unwrap_or_default().as_millis();
        let tasks = (0_u32..).zip(&self.tasks).map(|(index, task)| TaskStatus {
            task: self.attempt(index).task,
            state: task_state(task),
        });
        JobStatus {
            id: self.id().clone(),
            state: self.state(),
            refused: self.record.refused,
            waiting_ms: u64::try_from(waiting).unwrap_or(u64::MAX),
            tasks: tasks.collect(),
        }
    }

    /// Derives the state of the job from its acceptance and the phases of its tasks.
    fn state(&self) -> JobState {
        let any = |test: fn(&TaskPhase) -> bool| self.tasks.iter().any(|task| test(&task.phase));
        let placed = |phase: &TaskPhase| {
            matches!(
                phase,
                TaskPhase::Assigning { .. } | TaskPhase::Assigned { .. }
            )
        };
        if self.acceptance != Acceptance::Accepted {
            return JobState::Queued;
        }
        if any(placed) && self.is_ending() {
            return JobState::Running;
        }
        if any(|phase| *phase == TaskPhase::Waiting) {
            return JobState::Queued;
        }
        if any(placed) {
            let starting =
                |phase: &TaskPhase| !matches!(phase, TaskPhase::Assigned { running: true, .. });
            if any(|phase| !phase.is_over())
                && self
                    .tasks
                    .iter()
                    .any(|task| placed(&task.phase) && starting(&task.phase))
            {
                return JobState::Queued;
            }
            return JobState::Running;
        }
        if self.record.cancelled {
            JobState::Cancelled
        } else if any(|phase| *phase == TaskPhase::Failed) {
            JobState::Failed
        } else if self.record.refused.is_some() {
            JobState::Refused
        } else if any(|phase| *phase == TaskPhase::Cancelled) {
            JobState::Cancelled
        } else {
            JobState::Succeeded
        }
    }
}

fn task_state(task: &Task) -> TaskState {
    match &task.phase {
        TaskPhase::Waiting => TaskState::Queued,
        TaskPhase::Assigning { worker, .. } => TaskState::Starting {
            worker: worker.clone(),
        },
        TaskPhase::Assigned {
            worker,
            running: false,
            ..
        } => TaskState::Starting {
            worker: worker.clone(),
        },
        TaskPhase::Assigned { worker, .. } => TaskState::Running {
            worker: worker.clone(),
        },
        TaskPhase::Succeeded => TaskState::Succeeded,
        TaskPhase::Failed => TaskState::Failed,
        TaskPhase::Cancelled => TaskState::Cancelled,
    }
}

fn not_found(id: &JobId) -> Refusal {
    Refusal::not_run(RefusalReason::NotFound, format!("job {id}"))
}
