//! Jobs as submitted, and the states of jobs and tasks.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::{duration_ms, ClassId, JobId, RequestKey, Resources, TaskId, TeamId, WorkerId};

/// The most tasks of a job.
const TASKS_MAX: u32 = 10_000;
/// The longest name of a class, team or idempotency key, in bytes.
const NAME_BYTES_MAX: usize = 200;

/// The result of checking a job.
pub type Result<T> = std::result::Result<T, JobError>;

quick_error! {
    /// A job that is refused because of its content.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JobError {
        /// The named field has a value out of its bounds.
        Field(field: &'static str, problem: String) {
            display("check job: field `{}` {}", field, problem)
        }
    }
}

/// The kind of a job, which decides how its tasks are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Tasks that run until cancelled, spread over failure domains and racks.
    Service,
    /// Tasks that run to completion, packed onto few workers.
    Batch,
    /// Tasks that start and end together, packed onto few workers.
    Gang,
}

/// A job as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The kind, which decides how the tasks are placed.
    pub kind: JobKind,
    /// The class, which decides the urgency.
    pub class: ClassId,
    /// The team whose quota is charged.
    pub team: TeamId,
    /// The number of equal tasks, at least 1.
    #[serde(default = "one")]
    pub tasks: u32,
    /// The resources that each task needs.
    pub resources: Resources,
    /// The declared run time of a task, a hint only; zero for none.
    #[serde(default, with = "duration_ms", rename = "run_time_ms")]
    pub run_time: Duration,
    /// How long the job may wait to be placed; zero for no limit.
    #[serde(default, with = "duration_ms", rename = "deadline_ms")]
    pub deadline: Duration,
    /// The key by which a repeated submission returns the job of the first one.
    #[serde(default)]
    pub idempotency_key: Option<RequestKey>,
    /// The command that the worker runs; opaque to the scheduler.
    #[serde(default)]
    pub command: SmolStr,
}

fn one() -> u32 {
    1
}

impl JobSpec {
    /// Checks that each field is within its bounds.
    ///
    /// # Errors
    /// Returns the first field that is not.
    pub fn check(&self) -> Result<()> {
        check_name("class", &self.class)?;
        check_name("team", &self.team)?;
        if let Some(key) = &self.idempotency_key {
            check_name("idempotency_key", key)?;
        }
        if self.tasks == 0 || self.tasks > TASKS_MAX {
            return Err(JobError::Field(
                "tasks",
                format!("must be 1 to {TASKS_MAX}"),
            ));
        }
        if self.resources.processor_millicores == 0 {
            return Err(JobError::Field(
                "resources.processor_millicores",
                "must be above 0".into(),
            ));
        }
        if self.resources.memory_mib == 0 {
            return Err(JobError::Field(
                "resources.memory_mib",
                "must be above 0".into(),
            ));
        }
        Ok(())
    }

    /// Returns the id of the task at `index`.
    ///
    /// ```
    /// use jackdawchute_types::JobSpec;
    ///
    /// assert_eq!(JobSpec::task_id(&"j7".into(), 2), "j7-2");
    /// ```
    pub fn task_id(job: &JobId, index: u32) -> TaskId {
        format_smolstr!("{job}-{index}")
    }
}

fn check_name(field: &'static str, name: &str) -> Result<()> {
    if name.is_empty() || name.len() > NAME_BYTES_MAX {
        return Err(JobError::Field(
            field,
            format!("must have 1 to {NAME_BYTES_MAX} bytes"),
        ));
    }
    Ok(())
}

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TaskState {
    /// The task waits for a worker.
    Queued,
    /// The start is journaled and the worker may have been called.
    Starting {
        /// The chosen worker.
        worker: WorkerId,
    },
    /// The task runs under a lease.
    Running {
        /// The worker that runs the task.
        worker: WorkerId,
    },
    /// The task ended by itself with success.
    Succeeded,
    /// The task ended by itself with failure, and no attempt is left.
    Failed,
    /// The task was stopped by a cancellation.
    Cancelled,
}

/// The state of a job, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// At least one task waits for a worker.
    Queued,
    /// Every task that has not ended is running.
    Running,
    /// Every task succeeded.
    Succeeded,
    /// A task failed and has no attempt left.
    Failed,
    /// The job was cancelled on request.
    Cancelled,
    /// The job was refused after it had been accepted, such as at its deadline; it did not run.
    Refused,
}
