//! Messages of the configuration task, and its protocol with peers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use jackdawchute_ports::RowVersion;
use jackdawchute_types::{optional_duration_ms, ConfigurationVersion, IncarnationId};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use xtra::{prelude::MessageChannel, refcount::Weak};

use crate::Configuration;

/// Subscribes to the configuration in use: the current one, if any, and each higher version.
#[derive(Debug)]
pub struct Subscribe {
    /// The channel that receives the configurations.
    pub subscriber: MessageChannel<Arc<Configuration>, (), Weak>,
}

/// Subscribes to the confirmation of the version in use: the current one and each change.
#[derive(Debug)]
pub struct SubscribeConfirmation {
    /// The channel that receives the confirmations.
    pub subscriber: MessageChannel<Confirmation, (), Weak>,
}

/// Whether the version in use is known to be the highest accepted one, so that new work may be
/// accepted under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// At a known time, less than the confirmation time ago, no version above the one in use had
    /// been accepted.
    Confirmed {
        /// The end of the confirmation: new work may be accepted only before it. The receiver
        /// compares it with the clock for each piece of work, because its process may have been
        /// paused since it received the message.
        until: Instant,
    },
    /// A higher version may have been accepted, or no version is known: new work must not be
    /// accepted.
    Unconfirmed,
}

impl Confirmation {
    /// Returns whether new work may be accepted at `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use jackdawchute_configuration::Confirmation;
    ///
    /// let now = Instant::now();
    /// let until = now + Duration::from_secs(1);
    /// assert!(Confirmation::Confirmed { until }.is_valid_at(now));
    /// assert!(!Confirmation::Confirmed { until }.is_valid_at(until));
    /// ```
    pub fn is_valid_at(&self, now: Instant) -> bool {
        matches!(self, Self::Confirmed { until } if now < *until)
    }
}

/// Asks for the configuration in use; the answer is `None` before the first one.
#[derive(Clone, Copy, Debug)]
pub struct Current;

/// Reports a version that [`apply`](crate::apply::apply) made the accepted one through this
/// instance, which puts it in use at once and offers it to the peers.
///
/// The sender confirms the change to the operator only after the reply. If the table and this
/// instance fail together from then on, the peers that were reached still have the version.
#[derive(Debug)]
pub struct Accepted {
    /// The accepted version.
    pub configuration: Configuration,
    /// The table version of the commit that accepted the configuration.
    pub table_version: RowVersion,
    /// Receives a message once the call to each peer has been answered or has failed.
    pub reply: oneshot::Sender<()>,
}

/// A call from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum Call {
    /// Asks for the configuration that the callee uses.
    #[serde(rename = "held")]
    Query {
        /// The version that the caller uses; 0 for none.
        known_version: ConfigurationVersion,
    },
    /// Offers a version that was just accepted.
    Offer {
        /// The accepted configuration.
        configuration: Box<Configuration>,
        /// The table version of the commit that accepted the configuration; the callee need not
        /// read the table's changes up to it.
        table_version: RowVersion,
    },
}

/// The callee's answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// Answers [`Call::Query`].
    #[serde(rename = "held")]
    Known(KnownConfiguration),
    /// Answers [`Call::Offer`]: the callee now uses the offered version or a higher one.
    Offered,
}

/// The configuration that an instance uses, and what it knows about its confirmation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownConfiguration {
    /// The version that the instance uses; 0 for none.
    pub version: ConfigurationVersion,
    /// The content of that version; `None` if the caller's version is as high.
    pub configuration: Option<Box<Configuration>>,
    /// How long ago it was last known that no higher version was accepted, counted from the
    /// sending of the read or query whose answer showed it; `None` if nothing has shown it so far.
    #[serde(default, with = "optional_duration_ms", rename = "confirmed_ago_ms")]
    pub confirmed_ago: Option<Duration>,
    /// Whether the table answered the instance's last read.
    pub table_answers: bool,
}

/// A call that arrived from a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The peer's call.
    pub call: Call,
    /// Receives the answer for the peer.
    pub reply: oneshot::Sender<Reply>,
}

/// Why a peer gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFailure {
    /// The peer's incarnation has ended: its address refuses connections or belongs to another
    /// incarnation.
    Ended,
    /// The call failed for another reason, so that the peer may be running.
    Unreachable,
}

/// One peer's answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAnswer {
    /// The incarnation that was called.
    pub peer: IncarnationId,
    /// The answer, or why there is none.
    pub result: std::result::Result<Reply, PeerFailure>,
}

/// The answers of all peers to one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAnswers {
    /// Whether all other entry instances were called: the unfenced incarnations that the table
    /// last named, and those that the membership list names. False if the table was never read.
    pub complete: bool,
    /// One answer or failure for each peer that was called.
    pub answers: Vec<PeerAnswer>,
}

/// Sends calls to the peers.
#[async_trait]
pub trait PeerCalls: Send + Sync + 'static {
    /// Sends `call` to every peer and returns each one's answer or failure within a bounded time.
    async fn ask(&self, call: Call) -> PeerAnswers;
}

/// The [`PeerCalls`] of an embedded platform, whose only instance has no peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

#[async_trait]
impl PeerCalls for NoPeers {
    async fn ask(&self, _call: Call) -> PeerAnswers {
        PeerAnswers {
            complete: true,
            answers: Vec::new(),
        }
    }
}
