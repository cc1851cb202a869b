//! What the state asks the task to do, and what the task brings back.

use std::time::Duration;

use jackdawchute_ownership::Owner;
use jackdawchute_types::{
    ClassId, Epoch, GroupId, IncarnationId, Refusal, RefusalReason, RequestKey,
};

use crate::{JournaledKey, Reply};

/// Names a call whose reply is owed.
pub type CallId = u64;

/// Why entries are journaled, given back with the result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendPurpose {
    /// The group.
    pub group: GroupId,
    /// This owner's epoch.
    pub epoch: Epoch,
    /// The key; empty for a cleanup of several.
    pub key: RequestKey,
    /// What the entries are for.
    pub step: AppendStep,
}

/// What entries are journaled for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendStep {
    /// Before a non-idempotent request is granted.
    Intent,
    /// After its outcome is known.
    Outcome {
        /// The call that waits for it.
        call: Option<CallId>,
        /// Tells a later outcome of the same key from an earlier one.
        revision: u64,
    },
    /// Retention; a failure only leaves more in the journal until the next takeover.
    Cleanup,
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The entries are in the journal.
    Journaled,
    /// They are not and never will be.
    NotJournaled {
        /// The store is down; otherwise the group has another owner.
        store_down: bool,
    },
    /// The journal's task ended without an answer.
    Unknown,
}

/// What the task does for the state.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a call.
    Reply {
        /// The call.
        call: CallId,
        /// Its answer.
        result: Result<Reply, Refusal>,
    },
    /// Journals records, `None` forgetting a key; the result comes back with the purpose.
    Append {
        /// Comes back with the result.
        purpose: AppendPurpose,
        /// All or none.
        records: Vec<(RequestKey, Option<JournaledKey>)>,
    },
    /// Journals who may hold grants; the result comes back with the holders.
    Register {
        /// The group.
        group: GroupId,
        /// This owner's epoch.
        epoch: Epoch,
        /// The holders.
        holders: Vec<IncarnationId>,
    },
    /// Forgets holders in the journal; a failure only leaves more there.
    Unregister {
        /// The group.
        group: GroupId,
        /// The holders.
        holders: Vec<IncarnationId>,
    },
    /// Asks another incarnation what it holds of a group.
    AskHoldings {
        /// The group.
        group: GroupId,
        /// The incarnation, with this owner's epoch.
        incarnation: Owner,
    },
    /// Counts a refusal.
    Refused {
        /// The class.
        class: ClassId,
        /// The reason.
        reason: RefusalReason,
    },
    /// Counts a grant.
    Placed {
        /// The class.
        class: ClassId,
        /// The time from the call to the grant.
        waited: Duration,
    },
}
