//! The journaled form of a key.

use std::time::Duration;

use jackdawchute_ownership::{EntryKey, JournalEntry};
use jackdawchute_types::{duration_ms, Epoch, GroupId, IncarnationId, MinionId, RequestKey};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use crate::{Error, GrantId, Result, StoredAnswer};

const KEY_PREFIX: &str = "key/";
const HOLDER_PREFIX: &str = "holder/";

/// What the journal keeps of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournaledKey {
    /// The hash of the request.
    pub digest: u64,
    /// The owner's epoch when it was granted.
    pub epoch: Epoch,
    /// The grant.
    pub grant: GrantId,
    /// The incarnation that holds the grant.
    pub holder: IncarnationId,
    /// Where the request is in its life.
    #[serde(flatten)]
    pub state: JournaledState,
}

/// Where a journaled request is in its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum JournaledState {
    /// It may be sent to this minion, may run or may have run.
    Intent {
        /// The minion.
        minion: MinionId,
        /// The request has surely ended this long after the grant.
        #[serde(with = "duration_ms", rename = "ended_after_ms")]
        ended_after: Duration,
    },
    /// The minion answered.
    Answered {
        /// The answer, if it is kept.
        answer: Option<StoredAnswer>,
    },
    /// No answer came and none is expected.
    Unknown {
        /// The minion that it may still run on; `None` once it has surely ended.
        #[serde(default)]
        minion: Option<MinionId>,
    },
}

impl JournaledKey {
    /// Makes the journal entry for `key` in `group`.
    ///
    /// # Errors
    /// Names the key if its state has no text form.
    pub fn to_entry(&self, group: &GroupId, key: &RequestKey) -> Result<JournalEntry> {
        let value = serde_json::to_string(self)
            .map_err(|error| Error::Encode(key.clone(), error.to_string()))?;
        Ok(JournalEntry {
            value: Some(value),
            ..forget_entry(group, key)
        })
    }

    /// Reads a journaled entry back.
    ///
    /// # Errors
    /// Names the entry if its text is not a key's state.
    pub fn from_entry(key: &EntryKey, value: &str) -> Result<(RequestKey, Self)> {
        let name = request_key(key)?;
        let record = serde_json::from_str(value)
            .map_err(|error| Error::Decode(key.to_string(), error.to_string()))?;
        Ok((name, record))
    }
}

/// The entry that registers a holder, or forgets it.
pub(crate) fn holder_entry(
    group: &GroupId,
    holder: &IncarnationId,
    registered: bool,
) -> JournalEntry {
    JournalEntry {
        group: group.clone(),
        key: format_smolstr!("{HOLDER_PREFIX}{holder}"),
        value: registered.then(String::new),
    }
}

/// The holder in an entry key, if it is one of a holder.
pub(crate) fn registered_holder(key: &EntryKey) -> Option<IncarnationId> {
    key.strip_prefix(HOLDER_PREFIX).map(IncarnationId::new)
}

/// The entry that forgets `key`.
pub(crate) fn forget_entry(group: &GroupId, key: &RequestKey) -> JournalEntry {
    JournalEntry {
        group: group.clone(),
        key: format_smolstr!("{KEY_PREFIX}{key}"),
        value: None,
    }
}

/// The request key in an entry key.
pub(crate) fn request_key(key: &EntryKey) -> Result<RequestKey> {
    key.strip_prefix(KEY_PREFIX)
        .map(RequestKey::new)
        .ok_or_else(|| Error::Decode(key.to_string(), "no request key".into()))
}
