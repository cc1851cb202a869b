//! The rows that ownership keeps in the table.

use std::{collections::BTreeMap, net::SocketAddr};

use jackdawchute_ports::{RowKey, WriteId};
use jackdawchute_types::{ConfigurationVersion, Epoch, FailureDomainId, GroupId, IncarnationId};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::{EntryKey, JournalEntry};

/// Where the rows of incarnations begin.
pub const INCARNATION_PREFIX: &str = "incarnation/";
/// Where the rows of groups begin.
pub const GROUP_PREFIX: &str = "group/";

/// The number of a segment within its incarnation's journal.
pub type SegmentNumber = u64;

/// The row of one incarnation; only its holder renews it, only a challenger fences it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationRow {
    /// Grows with each commit of the holder.
    pub counter: u64,
    /// The next segment number.
    pub head: SegmentNumber,
    /// The holder's last write that took effect.
    pub write_id: WriteId,
    /// The configuration version that the holder applies.
    pub configuration_version: ConfigurationVersion,
    /// Where its peer listener is.
    pub peer_address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// The table version up to which the holder knew the other incarnations.
    pub seen_version: u64,
    /// Who fenced it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fenced_by: Option<IncarnationId>,
    /// Whether it gives its groups away.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// A part of a journal that holds state of a group: what `incarnation` wrote in `epoch`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JournalSource {
    /// Whose journal.
    pub incarnation: IncarnationId,
    /// The epoch of the entries that count.
    pub epoch: Epoch,
}

/// The row of a group; it is never deleted, so that its epoch never goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupRow {
    /// The owner, or none after a handover.
    pub owner: Option<IncarnationId>,
    /// The epoch of the last owner.
    pub epoch: Epoch,
    /// Earlier owners whose journals still hold state, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub inherited: Vec<JournalSource>,
}

/// One journaled change in an epoch of its group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SegmentEntry {
    /// The group.
    pub group: GroupId,
    /// The writer's epoch for the group.
    pub epoch: Epoch,
    /// The key.
    pub key: EntryKey,
    /// The value, or `None` to forget the key.
    pub value: Option<String>,
}

impl SegmentEntry {
    /// Adds the epoch to an entry.
    pub fn new(entry: JournalEntry, epoch: Epoch) -> Self {
        Self {
            group: entry.group,
            epoch,
            key: entry.key,
            value: entry.value,
        }
    }
}

/// The entries of one commit.
pub type Segment = Vec<SegmentEntry>;
/// The segments of one journal in order.
pub type Segments = BTreeMap<SegmentNumber, Segment>;

/// The key of an incarnation's row.
pub fn incarnation_key(incarnation: &str) -> RowKey {
    RowKey::from(format!("{INCARNATION_PREFIX}{incarnation}"))
}

/// The key of a group's row.
pub fn group_key(group: &str) -> RowKey {
    RowKey::from(format!("{GROUP_PREFIX}{group}"))
}

/// Where the segments of an incarnation's journal begin.
pub fn journal_prefix(incarnation: &str) -> String {
    format!("journal/{incarnation}/")
}

/// The key of a segment; keys sort as numbers do.
pub fn segment_key(incarnation: &str, number: SegmentNumber) -> RowKey {
    RowKey::from(format!("journal/{incarnation}/{number:016}"))
}

/// Writes a row as JSON.
pub fn encode<T: Serialize>(row: &T) -> String {
    // Only maps with keys that are not strings fail here, and the rows have none.
    serde_json::to_string(row).unwrap_or_default()
}

/// Reads a row; `None` if it is not of this protocol.
pub fn decode<T: DeserializeOwned>(value: &str) -> Option<T> {
    serde_json::from_str(value).ok()
}
