//! The records in the journal: jobs and tasks in home groups, intents in rack groups.

use std::{net::SocketAddr, time::Duration};

use jackdawchute_ownership::{EntryKey, JournalEntry};
use jackdawchute_ports::WorkerClock;
use jackdawchute_types::{
    duration_ms, GroupId, JobId, JobSpec, RefusalReason, Resources, TeamId, WorkerId,
};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::{Error, Result, TaskAttempt};

/// An accepted job, journaled under `job/ID` in its home group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The id of the job.
    pub id: JobId,
    /// The job as submitted.
    pub spec: JobSpec,
    /// The time of acceptance on the wall clock, since the Unix epoch.
    #[serde(with = "duration_ms", rename = "accepted_unix_ms")]
    pub accepted_unix: Duration,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Why the job was refused after its acceptance; `None` if it was not.
    pub refused: Option<RefusalReason>,
}

/// The state of a task after its last placement, journaled under `task/JOB/INDEX` in the home group
/// of its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The index of the task within its job.
    pub index: u32,
    /// The number of the last attempt.
    pub attempt: u32,
    /// The number of failed attempts so far.
    pub failures: u32,
    /// The state of the task.
    #[serde(rename = "place")]
    pub state: JournaledTaskState,
}

/// The journaled state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "place")]
pub enum JournaledTaskState {
    /// Assigned to a worker; the owner of the worker's rack may have started the task.
    Assigned {
        /// The rack's group.
        rack: GroupId,
        /// The worker that the home owner chose.
        worker: WorkerId,
    },
    /// Waits for its next attempt; the rack owner reported that the last one is over.
    Waiting,
    /// Ended with success.
    Succeeded,
    /// Ended with failure, with no attempt left.
    Failed,
    /// Cancelled on request, at its deadline or with its gang; it does not run.
    Cancelled,
}

/// The intent to start a task, journaled under `intent/TASK/ATTEMPT` in the group of its rack
/// before the start is sent, and deleted once the home owner acknowledged the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRecord {
    /// The task and the number of the attempt.
    pub id: TaskAttempt,
    /// The job that the task belongs to.
    pub job: JobId,
    /// The team that is charged for the task.
    pub team: TeamId,
    /// The home group, whose owner gets the reports of the attempt.
    pub home: GroupId,
    /// The worker that the start is sent to.
    pub worker: WorkerId,
    /// The boot id of the worker incarnation whose clock `lease_until` refers to.
    pub boot: SmolStr,
    /// The address of the process with that boot id; `None` from instances of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// The time on the worker's clock after which the worker refuses the start.
    #[serde(with = "duration_ms", rename = "until_ms")]
    pub lease_until: WorkerClock,
    /// The length of the lease; zero from instances of earlier versions.
    #[serde(default, with = "duration_ms", rename = "lease_ms")]
    pub lease: Duration,
    /// The resources that the task declares to need.
    pub resources: Resources,
    /// The command that the worker runs.
    pub command: SmolStr,
}

/// The key of the entry in a rack's group that says that a fenced owner may still renew leases.
pub(crate) const FENCED_OWNER_KEY: &str = "fenced-owner";

/// Returns the key of a [`JobRecord`].
pub(crate) fn job_key(job: &JobId) -> EntryKey {
    format_smolstr!("job/{job}")
}

/// Returns the key of a [`TaskRecord`].
pub(crate) fn task_key(job: &JobId, index: u32) -> EntryKey {
    format_smolstr!("task/{job}/{index}")
}

/// Returns the key of an [`IntentRecord`].
pub(crate) fn intent_key(id: &TaskAttempt) -> EntryKey {
    format_smolstr!("intent/{}/{}", id.task, id.attempt)
}

/// Returns an entry that sets a key to a record.
pub(crate) fn put_entry(group: &GroupId, key: EntryKey, record: &impl Serialize) -> JournalEntry {
    JournalEntry {
        group: group.clone(),
        key,
        value: Some(serde_json::to_string(record).unwrap_or_default()),
    }
}

/// Returns an entry that deletes a key.
pub(crate) fn delete_entry(group: &GroupId, key: EntryKey) -> JournalEntry {
    JournalEntry {
        group: group.clone(),
        key,
        value: None,
    }
}

/// Parses the record in the value of a journal entry.
///
/// # Errors
/// Fails if the value does not parse; the error names the group and key of the entry.
pub(crate) fn parse<T: DeserializeOwned>(group: &GroupId, key: &str, value: &str) -> Result<T> {
    serde_json::from_str(value)
        .map_err(|error| Error::Entry(group.to_string(), key.to_owned(), error.to_string()))
}
