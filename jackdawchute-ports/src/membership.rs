//! The platform's list of live and leaving members.

use std::net::SocketAddr;

use async_trait::async_trait;
use jackdawchute_types::{FailureDomainId, MemberId, RackId, Resources, ServiceId};
use serde::{Deserialize, Serialize};

use crate::Result;

/// What a member is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "role")]
pub enum MemberRole {
    /// An entry instance of jackdawchute; its address is the peer listener's.
    Entry,
    /// A worker that runs tasks.
    Worker {
        /// Its rack.
        rack: RackId,
        /// What it has.
        resources: Resources,
    },
    /// A minion that serves requests.
    Minion {
        /// The service it answers for.
        service: ServiceId,
        /// The most requests at a time.
        slots: u32,
        /// The most connections at a time.
        connections: u32,
    },
}

/// Whether a member may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It may.
    Live,
    /// It is about to go away and may not.
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id, unique in the list.
    pub id: MemberId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it may get new work.
    pub state: MemberState,
    /// What it is.
    #[serde(flatten)]
    pub role: MemberRole,
}

/// The list at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipList {
    /// Ascends with each change.
    pub version: u64,
    /// The members in the order of their ids.
    pub members: Vec<Member>,
}

/// Where the list comes from; it lags behind the truth.
#[async_trait]
pub trait MembershipSource: Send + Sync + 'static {
    /// Reads the list if it is newer than `known_version`.
    ///
    /// # Errors
    /// Any error means that nothing was learnt.
    async fn changed_since(&self, known_version: u64) -> Result<Option<MembershipList>>;
}
