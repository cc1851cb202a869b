//! What the requests task takes and sends.

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

/// A grant, unique in its group's epoch.
pub type GrantId = u64;

/// Asks the owner of a service group for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// The service group.
    pub group: GroupId,
    /// The service.
    pub service: ServiceId,
    /// The class that the route gives.
    pub class: ClassId,
    /// The team that is charged.
    pub team: TeamId,
    /// Whether it may be sent more than once.
    pub idempotent: bool,
    /// The caller's key, always present for a non-idempotent request.
    pub key: Option<RequestKey>,
    /// A hash of method, path and body, to tell another request under the same key.
    pub digest: u64,
    /// How long the caller still waits.
    #[serde(with = "duration_ms", rename = "deadline_ms")]
    pub deadline: Duration,
    /// The incarnation that will send it.
    pub holder: IncarnationId,
    /// Minions at which earlier attempts of it failed; others are preferred.
    #[serde(default)]
    pub failed_on: Vec<MinionId>,
}

/// The right to send one request to one minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Its id.
    pub id: GrantId,
    /// The group that granted it.
    pub group: GroupId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The minion.
    pub minion: MinionId,
    /// Where it listens.
    pub address: SocketAddr,
    /// It must be sent within this time of the grant's arrival, else given back.
    #[serde(with = "duration_ms", rename = "send_within_ms")]
    pub send_within: Duration,
    /// The answer must be whole within this time of the grant's arrival.
    #[serde(with = "duration_ms", rename = "life_ms")]
    pub life: Duration,
    /// How long the call waited at the owner, so that the holder can tell the time in transit.
    #[serde(with = "duration_ms", rename = "waited_ms")]
    pub waited: Duration,
    /// A grant that was longer in transit must be given back unsent.
    #[serde(with = "duration_ms", rename = "transit_max_ms")]
    pub transit_max: Duration,
    /// How long its slot is counted as in use if its answer is lost.
    #[serde(with = "duration_ms", rename = "ended_after_ms")]
    pub ended_after: Duration,
}

/// The answer to a keyed request, kept for repeated calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if any.
    pub content_type: Option<SmolStr>,
    /// The whole body, or `None` if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// What became of a granted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum GrantOutcome {
    /// The minion answered; keyed requests carry the answer.
    Answered {
        /// The answer to keep.
        answer: Option<StoredAnswer>,
    },
    /// No byte of the request was sent.
    NotSent {
        /// Whether the minion refused the connection.
        connection_refused: bool,
    },
    /// It was sent and no whole answer came.
    AnswerLost,
}

/// Gives a grant back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Complete {
    /// The group that granted it.
    pub group: GroupId,
    /// The grant.
    pub grant: GrantId,
    /// The epoch of the grant.
    pub epoch: Epoch,
    /// The incarnation that held it.
    pub holder: IncarnationId,
    /// What became of it.
    pub outcome: GrantOutcome,
}

/// What one instance asks of the owner of a service group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum Call {
    /// Asks for a slot; answered when one is free, or with a refusal.
    Acquire(Acquire),
    /// Gives a slot back; answered once the outcome is kept.
    Complete(Complete),
    /// A new owner asks what the callee holds of a group, to count it against the slots.
    Holdings {
        /// The group.
        group: GroupId,
        /// The new owner's epoch; from now on the callee uses no grant of an earlier one.
        epoch: Epoch,
    },
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The request may be sent.
    Granted(Grant),
    /// The same key was answered before.
    Answered(StoredAnswer),
    /// The outcome is kept.
    Completed,
    /// What the callee holds.
    Holdings {
        /// The grants whose requests are not done.
        grants: Vec<Grant>,
    },
}

/// A call that arrived, from this process or a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The call.
    pub call: Call,
    /// Gets the answer.
    pub reply: oneshot::Sender<Result<Reply, Refusal>>,
}

/// Registers a grant before its request is sent; answered with whether it may be sent.
///
/// A grant that may not be sent is given back with [`GrantOutcome::NotSent`].
#[derive(Clone, Debug)]
pub struct RegisterGrant {
    /// The grant that arrived.
    pub grant: Grant,
    /// The time from the sending of the call to the arrival of the grant.
    pub elapsed: Duration,
}

/// Forgets a held grant, right before its [`Complete`] is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseGrant {
    /// The grant.
    pub grant: GrantId,
    /// The group that granted it.
    pub group: GroupId,
    /// The epoch of the grant.
    pub epoch: Epoch,
}

/// Gives up on the answer of a held grant, in place of [`ReleaseGrant`]: its request may still run, so
/// a new owner is told of it until it has surely ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbandonGrant {
    /// The grant.
    pub grant: GrantId,
    /// The group that granted it.
    pub group: GroupId,
    /// The epoch of the grant.
    pub epoch: Epoch,
}

/// Replaces the settings of every group.
#[derive(Clone, Debug)]
pub struct ChangeSettings(pub Arc<Settings>);

/// Asks for the [`RequestsStatus`](crate::RequestsStatus).
#[derive(Clone, Copy, Debug)]
pub struct Status;

/// Asks what is known of an idempotency key; answered with an
/// [`Explanation`](crate::Explanation) if its group is owned here and knows the key.
#[derive(Clone, Debug)]
pub struct Explain {
    /// The key.
    pub key: RequestKey,
}

/// Carries calls to the owner in another process.
#[async_trait]
pub trait OwnerCalls: Send + Sync + 'static {
    /// Calls `owner`, which answers with a reply or a refusal.
    ///
    /// # Errors
    /// Tells whether the owner may have acted on the call.
    async fn call(&self, owner: &Owner, call: Call) -> Result<Result<Reply, Refusal>, CallError>;
}
