//! Journal entries of idempotency keys and of grant holders.

use std::time::Duration;

use jackdawchute_ownership::{EntryKey, JournalEntry};
use jackdawchute_types::{duration_ms, Epoch, GroupId, IncarnationId, MinionId, RequestKey};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use crate::{Error, GrantId, Result, StoredAnswer};

const KEY_PREFIX: &str = "key/";
const HOLDER_PREFIX: &str = "holder/";

/// The journaled state of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournaledKey {
    /// The hash of the request, as in [`Acquire::digest`](crate::Acquire::digest).
    pub digest: u64,
    /// The epoch of the owner that granted the request.
    pub epoch: Epoch,
    /// The grant's id within that epoch.
    pub grant: GrantId,
    /// The incarnation that holds or held the grant.
    pub holder: IncarnationId,
    /// How far the request has come.
    #[serde(flatten)]
    pub state: JournaledState,
}

/// How far a journaled request has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum JournaledState {
    /// The request may be sent, may run or may have run.
    Intent {
        /// The minion whose slot was granted.
        minion: MinionId,
        /// The time from the grant after which the request is known to have ended.
        #[serde(with = "duration_ms", rename = "ended_after_ms")]
        ended_after: Duration,
    },
    /// The minion responded.
    Answered {
        /// The response, if it is retained.
        answer: Option<StoredAnswer>,
    },
    /// No response was received, and none is expected.
    Unknown {
        /// The minion on which the request may still run; `None` once it is known to have ended.
        #[serde(default)]
        minion: Option<MinionId>,
    },
}

impl JournaledKey {
    /// Returns the journal entry for `key` in `group`.
    ///
    /// # Errors
    /// [`Error::Encode`] if the state could not be serialized.
    pub fn to_entry(&self, group: &GroupId, key: &RequestKey) -> Result<JournalEntry> {
        let value = serde_json::to_string(self)
            .map_err(|error| Error::Encode(key.clone(), error.to_string()))?;
        Ok(JournalEntry {
            value: Some(value),
            ..removal_entry(group, key)
        })
    }

    /// Decodes a journal entry into its idempotency key and state.
    ///
    /// # Errors
    /// [`Error::Decode`] if the entry is not the state of an idempotency key.
    pub fn from_entry(key: &EntryKey, value: &str) -> Result<(RequestKey, Self)> {
        let name = parse_request_key(key)?;
        let record = serde_json::from_str(value)
            .map_err(|error| Error::Decode(key.to_string(), error.to_string()))?;
        Ok((name, record))
    }
}

/// Returns the entry that registers a holder, or that removes its registration.
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

/// Returns the incarnation in the entry key of a holder; `None` for any other entry key.
pub(crate) fn parse_holder(key: &EntryKey) -> Option<IncarnationId> {
    key.strip_prefix(HOLDER_PREFIX).map(IncarnationId::new)
}

/// Returns the entry that removes `key` from the journal.
pub(crate) fn removal_entry(group: &GroupId, key: &RequestKey) -> JournalEntry {
    JournalEntry {
        group: group.clone(),
        key: format_smolstr!("{KEY_PREFIX}{key}"),
        value: None,
    }
}

/// Returns the idempotency key in an entry key.
pub(crate) fn parse_request_key(key: &EntryKey) -> Result<RequestKey> {
    key.strip_prefix(KEY_PREFIX)
        .map(RequestKey::new)
        .ok_or_else(|| {
            Error::Decode(
                key.to_string(),
                "the entry key has no prefix of an idempotency key".into(),
            )
        })
}
