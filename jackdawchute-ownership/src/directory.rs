//! Who owns what, as last read from the table.

use std::{collections::BTreeMap, net::SocketAddr};

use jackdawchute_types::{ConfigurationVersion, Epoch, GroupId, IncarnationId};
use serde::{Deserialize, Serialize};

/// The owner of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The owning incarnation.
    pub incarnation: IncarnationId,
    /// Its epoch for this group.
    pub epoch: Epoch,
    /// Where its peer listener is.
    pub peer_address: SocketAddr,
}

/// The unfenced incarnations and the owner of each group; it may lag, safety never rests on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// The owner of each owned group.
    pub owners: BTreeMap<GroupId, Owner>,
    /// The peer address of each unfenced incarnation.
    pub incarnations: BTreeMap<IncarnationId, SocketAddr>,
    /// The configuration version that each unfenced incarnation last reported.
    pub configuration: BTreeMap<IncarnationId, ConfigurationVersion>,
}
