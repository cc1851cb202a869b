//! Messages between the instances of a cell.

use std::net::SocketAddr;

use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest, JobGraph, JobStatus, QueuePolicy};
use jackdawchute_tenants::Caller;
use jackdawchute_types::{ConfigurationVersion, Epoch, IncarnationId, JobId, QueueId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::{claim::LeaderRow, Routes};

/// The name that addresses this crate's calls among those between peers.
pub(crate) const SLICE: jackdawchute_peer::SliceName = "cell";

/// A call from one instance to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub(crate) enum CellCall {
    /// Tells the leader that the caller is alive, and asks it to acknowledge.
    #[serde(rename = "hello")]
    Heartbeat {
        /// Where peers reach the caller.
        address: SocketAddr,
        /// The epoch of the leader that the caller knows; 0 before it knows one.
        epoch: Epoch,
        /// Whether the caller is shutting down.
        leaving: bool,
        /// The caller's smoothed delay in handling its timer ticks.
        lag_ms: u64,
        /// The caller's processor, in thousandths of a core.
        processor_millicores: u64,
        /// The caller's incarnation; empty from instances of earlier versions.
        #[serde(default)]
        incarnation: IncarnationId,
        /// Whether the caller is shutting down and no claim of it can take effect any more.
        #[serde(default)]
        withdrawn: bool,
        /// What the caller knows from the leader that acknowledged it last; `None` if none has
        /// lately.
        #[serde(default)]
        acknowledged: Option<AcknowledgedBy>,
    },
    /// Forwards a caller's job to the leader.
    Submit(Box<SubmitJob>),
    /// Asks for a job's status.
    Status(JobCall),
    /// Cancels a job.
    Cancel(JobCall),
    /// Asks how many jobs of a queue have not started.
    Pending {
        queue: QueueId,
        /// As in [`JobCall`].
        #[serde(default)]
        caller: Option<Caller>,
    },
    /// Sends an advice request of the leader to the called instance's advisor.
    Advise { request: AdviceRequest },
    /// Offers the leader's epoch to an instance, which then claims the next one.
    TakeOver {
        epoch: Epoch,
        /// How many takeovers in a row, this one included, happen because of lag.
        #[serde(default)]
        lag_takeovers: u32,
    },
    /// Asks for the configuration in use, for an instance that cannot read it itself.
    Configuration,
    /// Tells a former leader that it was replaced, in case it cannot read the store, and asks what
    /// its successor needs to know.
    Superseded {
        row: LeaderRow,
        /// Whether the caller understands [`CellAnswer::Stopped`].
        #[serde(default)]
        asks: bool,
    },
    /// Asks for a promise not to claim the epoch after this one, as the leader cannot confirm it.
    Promise { epoch: Epoch },
}

/// What an instance knows from the leader that acknowledged it last, as it tells a later leader.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct AcknowledgedBy {
    /// The epoch of that leader.
    pub(crate) epoch: Epoch,
    /// How long ago the acknowledged heartbeat was sent.
    pub(crate) age_ms: u64,
    /// For how long leaders before that epoch may still have authority.
    pub(crate) earlier_authority_ms: u64,
    /// For how long the instance has promised that leader not to claim the epoch.
    pub(crate) promised_ms: u64,
}

/// A call that concerns a job, on its way to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobCall {
    pub(crate) job: JobId,
    /// The queue that the call names; empty from instances of earlier versions.
    #[serde(default)]
    pub(crate) queue: QueueId,
    /// On whose behalf the call is made, by the configuration of the forwarding instance; `None`
    /// from instances of earlier versions, which check no keys.
    #[serde(default)]
    pub(crate) caller: Option<Caller>,
}

/// A caller's job on its way to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SubmitJob {
    pub(crate) job: JobId,
    pub(crate) graph: JobGraph,
    /// On whose behalf the job is submitted, by the configuration of the forwarding instance; `None`
    /// from instances of earlier versions, which check no keys.
    #[serde(default)]
    pub(crate) caller: Option<Caller>,
    /// The policy of the job's queue, as the forwarding instance knows it.
    pub(crate) policy: QueuePolicy,
    /// The version of the configuration that `policy` is from.
    pub(crate) configuration: ConfigurationVersion,
}

/// The answer to a [`CellCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(crate) enum CellAnswer {
    /// The instance is not the leader, or is still recovering; nothing was done.
    #[serde(rename = "not-scheduling")]
    NotLeader,
    /// The instance is not the leader and names the one that it knows as such.
    #[serde(rename = "elsewhere")]
    Redirect {
        /// The newest leader row that the answering instance knows.
        row: LeaderRow,
        /// The incarnation of the answering instance.
        incarnation: IncarnationId,
    },
    /// The leader acknowledges a heartbeat.
    #[serde(rename = "here")]
    HeartbeatAck {
        /// For how long no commit has succeeded; 0 while there is no store outage.
        store_trouble_ms: u64,
        /// Some other instances, which can name the next leader if this one fails.
        others: Vec<SocketAddr>,
        /// The processor of the strongest instance, in thousandths of a core.
        strongest_millicores: u64,
        /// The epoch of the answering leader; 0 from instances of earlier versions.
        #[serde(default)]
        epoch: Epoch,
        /// For how long leaders of earlier epochs may still have authority.
        #[serde(default)]
        earlier_authority_ms: u64,
        /// Whether the leader has no authority, so that another instance may be the leader.
        #[serde(default)]
        authority_ended: bool,
    },
    /// The instance does not claim the epoch for some time; a time of 0 is no promise.
    Promised {
        for_ms: u64,
        /// The incarnation of the answering instance.
        incarnation: IncarnationId,
    },
    /// The job is accepted and saved.
    Accepted,
    /// The job is refused and will never run.
    Refused { retry_after_ms: u64 },
    /// Nothing was done, as no commit succeeds or none would in time.
    Unavailable { retry_after_ms: u64 },
    /// The configuration no longer has the queue; nothing was done.
    NoQueue,
    /// The key is no tenant's in the leader's configuration, which is newer; nothing was done.
    Unauthorized,
    /// The job belongs to another tenant; nothing was done.
    OtherTenant,
    /// A job's status.
    Status { status: JobStatus },
    /// The number of a queue's jobs that have not started.
    Pending { jobs: usize },
    /// An advisor's answer.
    Advice { answer: AdviceAnswer },
    /// The instance's advisor was not called, as its backlog is too long.
    AdvisorBusy { free_in_ms: u64 },
    /// The outcome of the call is unknown.
    Unknown,
    /// The configuration in use at the answering instance.
    Configuration {
        routes: Routes,
        /// How long ago the answering instance knew that it is the newest one; `None` from instances
        /// of earlier versions.
        #[serde(default)]
        confirmed_ms_ago: Option<u64>,
    },
    /// The instance has received the message.
    #[serde(rename = "noted")]
    Acknowledged,
    /// The instance has stopped to act for the epoch that was replaced.
    Stopped {
        /// The workers to which an order of that epoch's leader that extends the lease got no
        /// answer; `None` if the instance does not know.
        unanswered_extensions: Option<Vec<WorkerId>>,
    },
}
