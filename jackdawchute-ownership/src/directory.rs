//! The owners and live incarnations as last read from the table.

use std::{collections::BTreeMap, net::SocketAddr};

use jackdawchute_types::{ConfigurationVersion, Epoch, GroupId, IncarnationId};
use serde::{Deserialize, Serialize};

/// The owner of a group, and how to reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The incarnation that the table names as the owner.
    pub incarnation: IncarnationId,
    /// The epoch in which the owner claimed this group.
    pub epoch: Epoch,
    /// The address of the owner's peer listener.
    pub peer_address: SocketAddr,
}

/// The unfenced incarnations and the owner of each group. It may be stale, and no safety property
/// depends on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// The owner of each group that has an unfenced one.
    pub owners: BTreeMap<GroupId, Owner>,
    /// The address of each unfenced incarnation's peer listener.
    pub incarnations: BTreeMap<IncarnationId, SocketAddr>,
    /// The configuration version that each unfenced incarnation last reported.
    pub configuration: BTreeMap<IncarnationId, ConfigurationVersion>,
}
