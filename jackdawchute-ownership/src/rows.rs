//! The rows that ownership stores in the table, and their keys.

use std::{collections::BTreeMap, net::SocketAddr};

use jackdawchute_ports::{RowKey, WriteId};
use jackdawchute_types::{ConfigurationVersion, Epoch, FailureDomainId, GroupId, IncarnationId};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::{EntryKey, JournalEntry};

/// The prefix of the keys of incarnation rows.
pub const INCARNATION_PREFIX: &str = "incarnation/";
/// The prefix of the keys of group rows.
pub const GROUP_PREFIX: &str = "group/";

/// The number of a segment within its incarnation's journal.
pub type SegmentNumber = u64;

/// The row of one incarnation. Only its holder renews it, and only a challenger marks it as fenced.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationRow {
    /// The number of commits of the holder; each renewal increments it, so that the row changes.
    pub counter: u64,
    /// The number of the next segment of the holder's journal.
    pub head: SegmentNumber,
    /// The write id of the holder's last commit that took effect.
    pub write_id: WriteId,
    /// The configuration version that the holder applies.
    pub configuration_version: ConfigurationVersion,
    /// The address of the holder's peer listener.
    pub peer_address: SocketAddr,
    /// The failure domain that the holder runs in.
    pub failure_domain: FailureDomainId,
    /// The table version up to which the holder has read the rows of other incarnations.
    pub seen_version: u64,
    /// The incarnation that fenced the holder, or `None` if none has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fenced_by: Option<IncarnationId>,
    /// Whether the holder is handing its groups over and claims no more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// The part of a journal that holds a group's state: what `incarnation` wrote in `epoch`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JournalSource {
    /// The incarnation whose journal it is.
    pub incarnation: IncarnationId,
    /// The epoch whose entries count; entries of other epochs are ignored in a replay.
    pub epoch: Epoch,
}

/// The row of a group; it is never deleted, so that its epoch never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupRow {
    /// The owner, or `None` after a release.
    pub owner: Option<IncarnationId>,
    /// The epoch of the current or last owner; each claim increments it.
    pub epoch: Epoch,
    /// Earlier owners whose journals still hold part of the state, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub inherited: Vec<JournalSource>,
}

/// One journal entry with the epoch in which it was written.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SegmentEntry {
    /// The group whose state changes.
    pub group: GroupId,
    /// The writer's epoch for the group.
    pub epoch: Epoch,
    /// The key that is set or removed.
    pub key: EntryKey,
    /// The new value, or `None` to remove the key.
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
/// The segments of one journal, in the order in which they were written.
pub type Segments = BTreeMap<SegmentNumber, Segment>;

/// Returns the key of an incarnation's row.
pub fn incarnation_key(incarnation: &str) -> RowKey {
    RowKey::from(format!("{INCARNATION_PREFIX}{incarnation}"))
}

/// Returns the key of a group's row.
pub fn group_key(group: &str) -> RowKey {
    RowKey::from(format!("{GROUP_PREFIX}{group}"))
}

/// Returns the prefix of the keys of an incarnation's journal segments.
pub fn journal_prefix(incarnation: &str) -> String {
    format!("journal/{incarnation}/")
}

/// Returns the key of a segment; padded, so that keys sort by segment number.
pub fn segment_key(incarnation: &str, number: SegmentNumber) -> RowKey {
    RowKey::from(format!("journal/{incarnation}/{number:016}"))
}

/// Encodes a row as JSON.
pub fn encode<T: Serialize>(row: &T) -> String {
    // Encoding fails only for maps whose keys are not strings, and the rows have none.
    serde_json::to_string(row).unwrap_or_default()
}

/// Decodes a row from JSON; `None` if the text is not a row of this type.
pub fn decode<T: DeserializeOwned>(value: &str) -> Option<T> {
    serde_json::from_str(value).ok()
}
