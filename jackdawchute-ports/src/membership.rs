//! The platform's list of live and leaving members.

use std::net::SocketAddr;

use async_trait::async_trait;
use jackdawchute_types::{FailureDomainId, MemberId, RackId, Resources, ServiceId};
use serde::{Deserialize, Serialize};

use crate::Result;

/// The role of a member, with what is specific to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "role")]
pub enum MemberRole {
    /// An entry instance of jackdawchute; its address is the peer listener's.
    Entry,
    /// A worker that runs tasks.
    Worker {
        /// The rack that the worker is in.
        rack: RackId,
        /// The total resources of the worker.
        resources: Resources,
    },
    /// A minion that serves requests.
    Minion {
        /// The service that the minion serves.
        service: ServiceId,
        /// The most requests that it accepts at a time.
        slots: u32,
        /// The most connections that it accepts at a time.
        connections: u32,
    },
}

/// Whether a member may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member may get new work.
    Live,
    /// The member will stop soon and gets no new work.
    Leaving,
}

/// A member of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member's id, unique in the list.
    pub id: MemberId,
    /// The address that the member listens on.
    pub address: SocketAddr,
    /// The failure domain that the member is in.
    pub failure_domain: FailureDomainId,
    /// Whether the member may get new work.
    pub state: MemberState,
    /// The member's role.
    #[serde(flatten)]
    pub role: MemberRole,
}

/// The membership list at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipList {
    /// The version, which ascends with each change of the list.
    pub version: u64,
    /// The members in the order of their ids.
    pub members: Vec<Member>,
}

/// A source of the membership list, which may lag behind the members' actual state.
#[async_trait]
pub trait MembershipSource: Send + Sync + 'static {
    /// Reads the list if it is newer than `known_version`; otherwise returns `None`.
    ///
    /// # Errors
    /// On any error nothing was read.
    async fn changed_since(&self, known_version: u64) -> Result<Option<MembershipList>>;
}
