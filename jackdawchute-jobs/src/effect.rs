//! What a decision asks the task to do.

use std::time::{Duration, Instant};

use jackdawchute_ownership::{JournalEntry, Owner};
use jackdawchute_ports::{Lease, StartTask};
use jackdawchute_types::{ClassId, JobId, Refusal, RefusalReason, RetryReason, WorkerId};

use crate::{Call, Reply, TaskAttempt};

/// Names a call that waits for its answer.
pub type CallId = u64;

/// The time, as the task read it before a decision.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The monotonic time.
    pub instant: Instant,
    /// The wall clock since the Unix epoch.
    pub unix: Duration,
}

/// What the task carries out after a decision.
#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// Journal entries, then hand the result back with `after`.
    Append {
        /// The entries; all or none.
        entries: Vec<JournalEntry>,
        /// What waits for them.
        after: AfterAppend,
    },
    /// Call another owner, or this process itself, then hand the answer back with `after`.
    Call {
        /// The owner.
        owner: Owner,
        /// The call.
        call: Call,
        /// What waits for the answer.
        after: AfterCall,
    },
    /// Call a worker, then hand the answer back.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// The call.
        call: WorkerCall,
    },
    /// Answer a call that arrived.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        result: Result<Reply, Refusal>,
    },
    /// Count something.
    Count(Count),
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    /// Start a task.
    Start(StartTask),
    /// Extend leases.
    Renew(Vec<TaskAttempt>, Lease),
    /// Stop a task.
    Stop(TaskAttempt),
    /// Ask what runs.
    Report,
}

/// What is counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Count {
    /// Work was refused.
    Refused(ClassId, RefusalReason),
    /// An attempt was repeated.
    Retried(ClassId, RetryReason),
    /// Work was placed after waiting.
    Placed(ClassId, Duration),
}

/// What waits for journal entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterAppend {
    /// A submitted job.
    Accepted(JobId),
    /// A cancelled job.
    Cancelled(JobId),
    /// Tasks of a job that were assigned to racks.
    Assigned(JobId, Vec<u32>),
    /// Ended tasks, which a rack owner reported.
    Ended(Option<CallId>),
    /// Intents of a rack; the caller gets the answers.
    Intents {
        /// The call that asked for the starts.
        call: CallId,
        /// The rack's group.
        rack: jackdawchute_types::GroupId,
        /// The answers, where `Journaled` ones wait for the journal.
        answers: Vec<crate::TaskAnswer>,
    },
    /// Nothing.
    Nothing,
}

/// What waits for another owner's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterCall {
    /// A gang that asked for holds.
    HoldAnswered(JobId, u32),
    /// Tasks that a rack owner was asked to start or stop.
    RackAnswered(Vec<TaskAttempt>),
    /// Events that a home owner was told.
    EventsReported(Vec<crate::TaskEvent>),
    /// Nothing; the view in the answer is taken in.
    Nothing,
}
