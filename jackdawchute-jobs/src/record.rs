//! What the journal holds: jobs and tasks in home groups, intents in rack groups.

use std::time::Duration;

use jackdawchute_ownership::{EntryKey, JournalEntry};
use jackdawchute_ports::WorkerClock;
use jackdawchute_types::{
    duration_ms, GroupId, JobId, JobSpec, RefusalReason, Resources, TeamId, WorkerId,
};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::{Error, Result, TaskAttempt};

/// An accepted job, under `job/ID` in its home group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub id: JobId,
    /// What was submitted.
    pub spec: JobSpec,
    /// The wall clock at acceptance, since the Unix epoch.
    #[serde(with = "duration_ms", rename = "accepted_unix_ms")]
    pub accepted_unix: Duration,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Why it was refused after acceptance, if it was.
    pub refused: Option<RefusalReason>,
}

/// The last placement of a task, under `task/JOB/INDEX` in its home group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The job.
    pub job: JobId,
    /// The task's index.
    pub index: u32,
    /// The placement.
    pub attempt: u32,
    /// Failed attempts so far.
    pub failures: u32,
    /// Where it is.
    pub place: TaskPlace,
}

/// Where a journaled task is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "place")]
pub enum TaskPlace {
    /// Assigned to a rack, whose owner may have started it.
    Assigned {
        /// The rack's group.
        rack: GroupId,
        /// The worker.
        worker: WorkerId,
    },
    /// Its last attempt surely ended; it waits for the next.
    Waiting,
    /// Ended with success.
    Succeeded,
    /// Ended with failure, with no attempt left.
    Failed,
    /// Stopped on request.
    Cancelled,
}

/// A start that may be under way, under `intent/TASK/ATTEMPT` in its rack's group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRecord {
    /// The task and its attempt.
    pub id: TaskAttempt,
    /// Its job.
    pub job: JobId,
    /// The team that is charged.
    pub team: TeamId,
    /// The home group that is told how it ends.
    pub home: GroupId,
    /// The worker.
    pub worker: WorkerId,
    /// The start of the worker that `until` belongs to.
    pub boot: SmolStr,
    /// The instant on the worker's clock after which it refuses the start.
    #[serde(with = "duration_ms", rename = "until_ms")]
    pub until: WorkerClock,
    /// What the task declares to need.
    pub resources: Resources,
    /// What it runs.
    pub command: SmolStr,
}

/// The key of a job.
pub(crate) fn job_key(job: &JobId) -> EntryKey {
    format_smolstr!("job/{job}")
}

/// The key of a task.
pub(crate) fn task_key(job: &JobId, index: u32) -> EntryKey {
    format_smolstr!("task/{job}/{index}")
}

/// The key of an intent.
pub(crate) fn intent_key(id: &TaskAttempt) -> EntryKey {
    format_smolstr!("intent/{}/{}", id.task, id.attempt)
}

/// An entry that sets a key to a record.
pub(crate) fn put(group: &GroupId, key: EntryKey, record: &impl Serialize) -> JournalEntry {
    JournalEntry {
        group: group.clone(),
        key,
        value: Some(serde_json::to_string(record).unwrap_or_default()),
    }
}

/// An entry that forgets a key.
pub(crate) fn forget(group: &GroupId, key: EntryKey) -> JournalEntry {
    JournalEntry {
        group: group.clone(),
        key,
        value: None,
    }
}

/// Reads a record back.
///
/// # Errors
/// Names the group and key of an entry of another form.
pub(crate) fn parse<T: DeserializeOwned>(group: &GroupId, key: &str, value: &str) -> Result<T> {
    serde_json::from_str(value)
        .map_err(|error| Error::Entry(group.to_string(), key.to_owned(), error.to_string()))
}
