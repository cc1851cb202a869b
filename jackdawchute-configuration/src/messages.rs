//! What the configuration task takes and sends.

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

/// Asks for the configuration, now if one is known and at each higher version.
#[derive(Debug)]
pub struct Subscribe {
    /// Where it goes.
    pub subscriber: MessageChannel<Arc<Configuration>, (), Weak>,
}

/// Asks whether the version in use is confirmed, now and at each change.
#[derive(Debug)]
pub struct SubscribeConfirmation {
    /// Where it goes.
    pub subscriber: MessageChannel<Confirmation, (), Weak>,
}

/// Whether new work may be taken with the version in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// No higher version was accepted a short while ago.
    Confirmed {
        /// New work may be taken before this time; a process that was paused compares again.
        until: Instant,
    },
    /// A higher version may have been accepted, or none is known: no new work.
    Unconfirmed,
}

impl Confirmation {
    /// Whether new work may be taken at `now`.
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

/// Asks for the configuration in use, if any.
#[derive(Clone, Copy, Debug)]
pub struct Current;

/// Tells that [`apply`](crate::apply::apply) accepted a version at this instance; it is put in
/// use at once and offered to the peers.
///
/// The operator is told of the acceptance after the reply: should the table and this instance
/// fail together right then, the peers that were reached still have the version.
#[derive(Debug)]
pub struct Accepted {
    /// The accepted version.
    pub configuration: Configuration,
    /// The table's version at the commit that brought it.
    pub table_version: RowVersion,
    /// Told once each peer has answered or cannot be reached.
    pub reply: oneshot::Sender<()>,
}

/// What one instance asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum Call {
    /// Asks what the callee holds.
    #[serde(rename = "held")]
    Query {
        /// The caller's own version; 0 for none.
        known_version: ConfigurationVersion,
    },
    /// Offers a version that was just accepted.
    Offer {
        /// The accepted configuration.
        configuration: Box<Configuration>,
        /// The table's version at the commit that brought it, so that it is not read again.
        table_version: RowVersion,
    },
}

/// The callee's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// What it holds.
    #[serde(rename = "held")]
    Known(KnownConfiguration),
    /// The offer was looked at.
    Offered,
}

/// What an instance holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownConfiguration {
    /// Its version; 0 for none.
    pub version: ConfigurationVersion,
    /// Its configuration, if that is newer than the one asked with.
    pub configuration: Option<Box<Configuration>>,
    /// How long ago its version was surely the highest accepted one.
    #[serde(default, with = "optional_duration_ms", rename = "confirmed_ago_ms")]
    pub confirmed_ago: Option<Duration>,
    /// Whether the table answers it.
    pub table_answers: bool,
}

/// A call that arrived from a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The call.
    pub call: Call,
    /// Gets the answer.
    pub reply: oneshot::Sender<Reply>,
}

/// Why a peer gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFailure {
    /// Its incarnation has ended: its address refuses connections or belongs to another one.
    Ended,
    /// Nothing is known about it.
    Unreachable,
}

/// One peer's answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAnswer {
    /// The peer.
    pub peer: IncarnationId,
    /// Its answer.
    pub result: std::result::Result<Reply, PeerFailure>,
}

/// The answers of all peers to one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAnswers {
    /// Whether these are all the other entry instances: the unfenced incarnations that the table
    /// last named, and those that the membership list names; false if the table was never read.
    pub complete: bool,
    /// One answer for each peer that was asked.
    pub answers: Vec<PeerAnswer>,
}

/// Carries calls to the peers.
#[async_trait]
pub trait PeerCalls: Send + Sync + 'static {
    /// Asks each peer, and gives each one's answer or failure within a bounded time.
    async fn ask(&self, call: Call) -> PeerAnswers;
}

/// The peers of the only instance of an embedded platform.
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
