//! What instances of a cell say to each other.

use std::net::SocketAddr;

use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest, JobGraph, JobStatus, QueuePolicy};
use jackdawchute_types::{ConfigurationVersion, Epoch, IncarnationId, JobId, QueueId};
use serde::{Deserialize, Serialize};

use crate::{claim::LeaderRow, Routes};

/// The slice's name in calls between peers.
pub(crate) const SLICE: jackdawchute_peer::SliceName = "cell";

/// A call from one instance to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub(crate) enum CellCall {
    /// Asks the scheduling instance whether it is there.
    #[serde(rename = "hello")]
    Heartbeat {
        address: SocketAddr,
        epoch: Epoch,
        leaving: bool,
        /// How late the instance gets to its work.
        lag_ms: u64,
        processor_millicores: u64,
    },
    /// Passes a caller's job on.
    Submit(Box<SubmitJob>),
    /// Asks for a job's status.
    Status { job: JobId },
    /// Cancels a job.
    Cancel { job: JobId },
    /// Asks how many jobs of a queue have not begun.
    Pending { queue: QueueId },
    /// Asks an advisor in the scheduling instance's stead.
    Advise { request: AdviceRequest },
    /// Asks an instance to take the place of one that leaves.
    TakeOver { epoch: Epoch },
    /// Asks for the configuration in force, for an instance that cannot read it.
    Configuration,
    /// Tells an instance that it no longer schedules, in case it cannot read that in the store.
    Superseded { row: LeaderRow },
}

/// A caller's job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SubmitJob {
    pub(crate) job: JobId,
    pub(crate) graph: JobGraph,
    pub(crate) policy: QueuePolicy,
    /// The version of the configuration that has the queue.
    pub(crate) configuration: ConfigurationVersion,
}

/// The answer to a [`CellCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(crate) enum CellAnswer {
    /// The instance does not schedule, or not yet; nothing was done.
    #[serde(rename = "not-scheduling")]
    NotLeader,
    /// The instance does not schedule and tells which one does, as far as it knows.
    #[serde(rename = "elsewhere")]
    Redirect {
        row: LeaderRow,
        /// The life of the instance that answers.
        incarnation: IncarnationId,
    },
    /// The scheduling instance is there.
    #[serde(rename = "here")]
    HeartbeatAck {
        /// For how long nothing could be saved.
        store_trouble_ms: u64,
        /// Some other instances, to ask for the next scheduling one.
        others: Vec<SocketAddr>,
        /// The most processor that any instance has.
        strongest_millicores: u64,
    },
    /// The job is accepted.
    Accepted,
    /// The job is refused and will never run.
    Refused { retry_after_ms: u64 },
    /// Nothing can be saved; nothing was done.
    Unavailable { retry_after_ms: u64 },
    /// The configuration no longer has the queue.
    NoQueue,
    /// A job's status.
    Status { status: JobStatus },
    /// A queue's jobs that have not begun.
    Pending { jobs: usize },
    /// An advisor's answer.
    Advice { answer: AdviceAnswer },
    /// The instance's advisor was not asked, as too many questions wait for it.
    AdvisorBusy { free_in_ms: u64 },
    /// It may or may not have been done.
    Unknown,
    /// The configuration in force.
    Configuration { routes: Routes },
    /// The instance was told.
    #[serde(rename = "noted")]
    Acknowledged,
}
