//! Jobs and their tasks.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::{duration_ms, ClassId, JobId, RequestKey, Resources, TaskId, TeamId, WorkerId};

/// The most tasks that one job may have.
const TASKS_MAX: u32 = 10_000;
/// The longest name of a class, team or key in bytes.
const NAME_BYTES_MAX: usize = 200;

/// The result of a check in this module.
pub type Result<T> = std::result::Result<T, JobError>;

quick_error! {
    /// A job that cannot be accepted as written.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JobError {
        /// A field has a value out of its bounds.
        Field(field: &'static str, problem: String) {
            display("check job: field `{}` {}", field, problem)
        }
    }
}

/// How the tasks of a job are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Runs until cancelled; spread over failure domains and racks.
    Service,
    /// Runs to its end; packed.
    Batch,
    /// Needs all of its tasks at once.
    Gang,
}

/// A job as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// How the tasks are placed.
    pub kind: JobKind,
    /// The class that decides urgency.
    pub class: ClassId,
    /// The team whose quota is charged.
    pub team: TeamId,
    /// The number of equal tasks, at least 1.
    #[serde(default = "one")]
    pub tasks: u32,
    /// What each task needs.
    pub resources: Resources,
    /// The declared run time of a task; a hint only, zero for none.
    #[serde(default, with = "duration_ms", rename = "run_time_ms")]
    pub run_time: Duration,
    /// How long the job may wait for its placement; zero for no limit.
    #[serde(default, with = "duration_ms", rename = "deadline_ms")]
    pub deadline: Duration,
    /// Makes a repeated submission return the first job.
    #[serde(default)]
    pub idempotency_key: Option<RequestKey>,
    /// What the worker is told to run; opaque to the scheduler.
    #[serde(default)]
    pub command: SmolStr,
}

fn one() -> u32 {
    1
}

impl JobSpec {
    /// Checks each field by itself.
    ///
    /// # Errors
    /// Names the first field that is out of its bounds.
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

    /// The id of the task at `index`.
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

/// Where a task is in its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TaskState {
    /// Waits for a worker.
    Queued,
    /// A start was journaled and may be under way.
    Starting {
        /// The chosen worker.
        worker: WorkerId,
    },
    /// Runs under a lease.
    Running {
        /// The worker that runs it.
        worker: WorkerId,
    },
    /// Ended by itself with success.
    Succeeded,
    /// Ended by itself with failure, with no attempt left.
    Failed,
    /// Stopped on request.
    Cancelled,
}

/// Where a job is in its life, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// At least one task waits for a worker.
    Queued,
    /// Every task that is not done runs.
    Running,
    /// Every task succeeded.
    Succeeded,
    /// A task failed for good.
    Failed,
    /// Cancelled on request.
    Cancelled,
    /// Refused after acceptance, such as at its deadline; it did not run.
    Refused,
}
