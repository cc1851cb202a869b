//! Effects that the state returns for the task to execute, and their results.

use std::time::Duration;

use jackdawchute_ownership::Owner;
use jackdawchute_types::{
    ClassId, Epoch, GroupId, IncarnationId, Refusal, RefusalReason, RequestKey,
};

use crate::{JournaledKey, Reply};

/// Identifies a call that has not been answered yet.
pub type CallId = u64;

/// Why entries are journaled; returned to the state with the result of the append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendPurpose {
    /// The group whose entries are journaled.
    pub group: GroupId,
    /// The epoch of the owner that appends.
    pub epoch: Epoch,
    /// The idempotency key; empty for [`AppendStep::Cleanup`], which covers several keys.
    pub key: RequestKey,
    /// The step of a request that the entries record.
    pub step: AppendStep,
}

/// The step of a request that entries record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendStep {
    /// The intent, journaled before a non-idempotent request is granted.
    Intent,
    /// The outcome of the request.
    Outcome {
        /// The [`Complete`](crate::Complete) call that waits for the append, if any.
        call: Option<CallId>,
        /// Distinguishes a later outcome of the same key from an earlier one.
        revision: u64,
    },
    /// The removal of expired keys and answers; a failure only leaves them in the journal until
    /// the next takeover.
    Cleanup,
}

/// The result of an append to the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The entries are in the journal.
    Journaled,
    /// The entries are not in the journal and never will be.
    NotJournaled {
        /// Whether the store is unavailable; otherwise the group has another owner.
        store_down: bool,
    },
    /// The journal's task ended without answering, so that the outcome is unknown.
    Unknown,
}

/// An action that the state requires of the task.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a call.
    Reply {
        /// The call to answer.
        call: CallId,
        /// The reply or the refusal.
        result: Result<Reply, Refusal>,
    },
    /// Journals records of keys; the result is passed to
    /// [`State::appended`](crate::State::appended).
    Append {
        /// Passed back unchanged with the result.
        purpose: AppendPurpose,
        /// The records to write, all or none; `None` removes the key's entry.
        records: Vec<(RequestKey, Option<JournaledKey>)>,
    },
    /// Journals which incarnations may hold grants; the result is passed to
    /// [`State::holders_appended`](crate::State::holders_appended).
    RegisterHolders {
        /// The group whose grants they may hold.
        group: GroupId,
        /// The epoch of the owner that registers them.
        epoch: Epoch,
        /// The incarnations to register.
        holders: Vec<IncarnationId>,
    },
    /// Removes the entries of holders from the journal; the result is passed to
    /// [`State::holders_unregistered`](crate::State::holders_unregistered).
    UnregisterHolders {
        /// The group whose grants they held.
        group: GroupId,
        /// The epoch of the owner that removes them.
        epoch: Epoch,
        /// The incarnations to remove.
        holders: Vec<IncarnationId>,
    },
    /// Asks another incarnation which grants of a group it holds.
    AskHoldings {
        /// The group in question.
        group: GroupId,
        /// The incarnation and its address, with the epoch of the owner that asks.
        incarnation: Owner,
    },
    /// Counts a refusal in the metrics.
    CountRefusal {
        /// The admission class of the refused call.
        class: ClassId,
        /// Why the call was refused.
        reason: RefusalReason,
    },
    /// Counts a grant in the metrics.
    CountGrant {
        /// The admission class of the granted call.
        class: ClassId,
        /// The time from the call to the grant.
        waited: Duration,
    },
}
