//! The effects that decisions of home and rack owners return for the jobs task to carry out.

use std::time::{Duration, Instant};

use jackdawchute_ownership::{JournalEntry, Owner};
use jackdawchute_ports::{Lease, StartTask};
use jackdawchute_types::{
    ClassId, Epoch, GroupId, JobId, Refusal, RefusalReason, RetryReason, WorkerId,
};

use crate::{Call, Reply, TaskAttempt};

/// Identifies a received call that waits for its answer.
pub type CallId = u64;

/// The time on both clocks, read once before a decision.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The time on the monotonic clock.
    pub instant: Instant,
    /// The time on the wall clock, since the Unix epoch.
    pub unix: Duration,
}

/// An action that the jobs task carries out after a decision.
#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// Journals entries, then continues with `after` and the result.
    Append {
        /// The entries, which are journaled all together or not at all.
        entries: Vec<JournalEntry>,
        /// The step that waits for the result.
        after: AfterAppend,
    },
    /// Calls the owner of a group, which may be this instance, then continues with `after` and the
    /// answer.
    Call {
        /// The owner to call.
        owner: Owner,
        /// The call to send.
        call: Call,
        /// The step that waits for the answer.
        after: AfterCall,
    },
    /// Calls a worker, then applies its answer.
    Worker {
        /// The worker to call.
        worker: WorkerId,
        /// The call to send.
        call: WorkerCall,
    },
    /// Answers a received call.
    Answer {
        /// The call that is answered.
        call: CallId,
        /// The reply or refusal.
        result: Result<Reply, Refusal>,
    },
    /// Counts an event in the metrics.
    Count(Count),
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    /// Starts a task.
    Start(StartTask),
    /// Extends the leases of running tasks to the given lease.
    Renew(Vec<TaskAttempt>, Lease),
    /// Stops an attempt, or makes the worker refuse it if its start arrives later.
    Stop(TaskAttempt),
    /// Asks for a report of the worker's clock and tasks.
    Report,
}

/// An event that the metrics count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Count {
    /// A job of the class was refused for the reason.
    Refused(ClassId, RefusalReason),
    /// A task of the class was queued for another attempt for the reason.
    Retried(ClassId, RetryReason),
    /// A task of the class started running, the given time after the job's acceptance.
    Placed(ClassId, Duration),
}

/// The step that waits for the result of an append to the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterAppend {
    /// Answers the callers that submitted the job.
    Accepted(JobId),
    /// Ends the tasks of the cancelled job.
    Cancelled(JobId),
    /// Asks rack owners to start the assigned tasks of the job, given by their indices.
    Assigned(JobId, Vec<u32>),
    /// Acknowledges the ends that a rack owner reported, if its call still waits.
    Ended(Option<CallId>),
    /// Sends the starts whose intents were journaled and answers the home owner.
    Intents {
        /// The call that requested the starts.
        call: CallId,
        /// The rack's group.
        rack: GroupId,
        /// The answers for all tasks of the call; those that say `Journaled` wait for the journal.
        answers: Vec<crate::TaskAnswer>,
    },
    /// Ends the attempts on silent workers of the rack as lost, and reports them to home owners.
    Lapsed(GroupId, Vec<TaskAttempt>),
    /// Journals again, if it failed, that a fenced owner of the rack may still renew leases.
    PredecessorNoted(GroupId),
    /// No step: the result is ignored.
    Nothing,
}

/// The step that waits for an owner's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterCall {
    /// Goes on with a hold round of a gang, given by job and round number.
    HoldAnswered(JobId, u32),
    /// Records the states of the attempts that the rack owner of this epoch was asked to start or
    /// stop.
    RackAnswered(Epoch, Vec<TaskAttempt>),
    /// Forgets the events that the home owner acknowledged.
    EventsReported(Vec<crate::TaskEvent>),
    /// No step of its own; only the rack view in the answer is applied.
    Nothing,
}
