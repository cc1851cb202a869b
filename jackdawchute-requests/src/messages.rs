//! Messages of the requests task and of its calls to other instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use jackdawchute_ownership::Owner;
use jackdawchute_types::{
    duration_ms, CallError, ClassId, Epoch, GroupId, IncarnationId, MinionId, Refusal, RequestKey,
    ServiceId, TeamId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::Settings;

/// Identifies a grant; unique within one epoch of its group.
pub type GrantId = u64;

/// Asks the owner of a service group for a slot at one of its minions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// The group whose owner is asked: the service's minions in one failure domain, or the key
    /// group of a non-idempotent request.
    pub group: GroupId,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The admission class, which the caller's route sets.
    pub class: ClassId,
    /// The team whose limit the request counts against.
    pub team: TeamId,
    /// Whether the request may be sent more than once.
    pub idempotent: bool,
    /// The idempotency key; always present for a non-idempotent request.
    pub key: Option<RequestKey>,
    /// A hash of method, path and body, which detects a different request under the same key.
    pub digest: u64,
    /// How long the caller still waits; zero stands for the deadline of the class.
    #[serde(with = "duration_ms", rename = "deadline_ms")]
    pub deadline: Duration,
    /// The incarnation that asks for the slot and will send the request.
    pub holder: IncarnationId,
    /// Minions at which earlier attempts of the request failed; others are preferred.
    #[serde(default)]
    pub failed_on: Vec<MinionId>,
}

/// The right to send one request to one minion, which uses one of the minion's slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifies the grant within the epoch.
    pub id: GrantId,
    /// The group whose owner granted the slot.
    pub group: GroupId,
    /// The epoch of the owner that granted the slot.
    pub epoch: Epoch,
    /// The minion that the request may be sent to.
    pub minion: MinionId,
    /// The address at which the minion accepts requests.
    pub address: SocketAddr,
    /// Time from the grant's arrival within which the request must be sent; afterwards the grant
    /// is released unsent.
    #[serde(with = "duration_ms", rename = "send_within_ms")]
    pub send_within: Duration,
    /// Time from the grant's arrival within which the whole response must be received.
    #[serde(with = "duration_ms", rename = "life_ms")]
    pub life: Duration,
    /// How long the call waited at the owner; the rest of the call's duration is time in transit.
    #[serde(with = "duration_ms", rename = "waited_ms")]
    pub waited: Duration,
    /// The longest time in transit; a grant that took longer must be released unsent.
    #[serde(with = "duration_ms", rename = "transit_max_ms")]
    pub transit_max: Duration,
    /// How long the slot counts as in use if the response is lost.
    #[serde(with = "duration_ms", rename = "ended_after_ms")]
    pub ended_after: Duration,
}

/// The response to a keyed request, stored for repeated calls with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header, if the response had one.
    pub content_type: Option<SmolStr>,
    /// The whole body, or `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}

/// The outcome of a granted request, as its holder reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum GrantOutcome {
    /// The minion responded.
    Answered {
        /// The response to store for the key; `None` if nothing is to be stored.
        answer: Option<StoredAnswer>,
    },
    /// No byte of the request was sent.
    NotSent {
        /// Whether the minion refused the connection.
        connection_refused: bool,
    },
    /// The request was sent and no whole response was received: it may have run, or may still run.
    AnswerLost,
}

/// Reports the outcome of a grant to the group's owner, so that the slot is released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Complete {
    /// The group whose owner granted the slot.
    pub group: GroupId,
    /// The grant's id within its epoch.
    pub grant: GrantId,
    /// The epoch of the owner that granted the slot, which may be an earlier one.
    pub epoch: Epoch,
    /// The incarnation that held the grant.
    pub holder: IncarnationId,
    /// How the request ended.
    pub outcome: GrantOutcome,
}

/// A call from one instance to another about a service group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum Call {
    /// Asks for a slot; answered when one is free, or with a refusal.
    Acquire(Acquire),
    /// Releases a grant; answered once the outcome is recorded, or journaled for a keyed request.
    Complete(Complete),
    /// Asks which grants of a group the callee holds, so that the owner counts them against the
    /// slots.
    Holdings {
        /// The group of the owner that asks.
        group: GroupId,
        /// The epoch of the owner that asks; from then on the callee uses no grant of an earlier
        /// epoch.
        epoch: Epoch,
        /// The incarnation that is asked, as a later one may answer at its address; empty from
        /// instances of earlier versions.
        #[serde(default)]
        holder: IncarnationId,
    },
}

/// The response to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// A slot was granted, and the request may be sent.
    Granted(Grant),
    /// An earlier request with the same key received this response.
    Answered(StoredAnswer),
    /// The outcome is recorded, and journaled for a keyed request.
    Completed,
    /// The grants that the callee holds of the group.
    Holdings {
        /// The grants whose requests may still run.
        grants: Vec<Grant>,
    },
}

/// A call that was received from this process or from a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The call to process.
    pub call: Call,
    /// Receives the reply or the refusal.
    pub reply: oneshot::Sender<Result<Reply, Refusal>>,
}

/// Registers a grant before its request is sent; answered with `true` if it may be sent.
///
/// A grant that may not be sent is released with [`GrantOutcome::NotSent`].
#[derive(Clone, Debug)]
pub struct RegisterGrant {
    /// The grant as received from the owner.
    pub grant: Grant,
    /// The time from sending the call to receiving the grant.
    pub elapsed: Duration,
}

/// Removes a held grant; sent right before its [`Complete`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseGrant {
    /// The grant's id within its epoch.
    pub grant: GrantId,
    /// The group whose owner granted the slot.
    pub group: GroupId,
    /// The epoch of the owner that granted the slot.
    pub epoch: Epoch,
}

/// Abandons a held grant whose response was lost, in place of [`ReleaseGrant`].
///
/// The request may still run, so the grant is reported to a new owner until
/// [`Grant::ended_after`] has passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbandonGrant {
    /// The grant's id within its epoch.
    pub grant: GrantId,
    /// The group whose owner granted the slot.
    pub group: GroupId,
    /// The epoch of the owner that granted the slot.
    pub epoch: Epoch,
}

/// Replaces the settings of every owned group.
#[derive(Clone, Debug)]
pub struct ChangeSettings(pub Arc<Settings>);

/// Asks for the [`RequestsStatus`](crate::RequestsStatus).
#[derive(Clone, Copy, Debug)]
pub struct Status;

/// Asks for the state of an idempotency key.
///
/// Answered with an [`Explanation`](crate::Explanation), or `None` unless this instance owns a
/// group that knows the key.
#[derive(Clone, Debug)]
pub struct Explain {
    /// The idempotency key to look up.
    pub key: RequestKey,
}

/// Sends calls to owners in other processes.
#[async_trait]
pub trait OwnerCalls: Send + Sync + 'static {
    /// Calls `owner`, which answers with a reply or a refusal.
    ///
    /// # Errors
    /// The error says whether the owner may have acted on the call.
    async fn call(&self, owner: &Owner, call: Call) -> Result<Result<Reply, Refusal>, CallError>;
}
