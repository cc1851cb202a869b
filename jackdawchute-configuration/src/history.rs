//! Reads accepted versions: who changed the configuration, when and why.

use std::time::SystemTime;

use jackdawchute_ports::Table;
use jackdawchute_types::ConfigurationVersion;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    rows::{history_key, Stored},
    unix_ms, Configuration, Error, Result, CURRENT_KEY,
};

/// The number of versions to list.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The most entries to return; each takes one read of the table.
    pub entries_max: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { entries_max: 20 }
    }
}

/// One accepted version in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The number of the accepted version.
    pub version: ConfigurationVersion,
    /// The operator who wrote the version.
    pub author: SmolStr,
    /// Why the version was written, in the author's words.
    pub reason: String,
    /// When the version was accepted, by the clock of the instance that accepted it.
    #[serde(with = "unix_ms", rename = "written_unix_ms")]
    pub written: SystemTime,
    /// The id of the change that wrote the version.
    pub write_id: SmolStr,
}

/// The result of [`history`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The listed versions, newest first.
    pub entries: Vec<Entry>,
}

/// Returns the newest accepted versions, at most [`Options::entries_max`].
///
/// # Errors
/// The table did not answer, or a row cannot be decoded.
pub async fn history(table: &dyn Table, options: Options) -> Result<Outcome> {
    let Some(newest) = read_stored(table, CURRENT_KEY).await? else {
        return Ok(Outcome::default());
    };
    let newest = newest.configuration.version;
    let before_oldest = newest
        .saturating_sub(options.entries_max)
        .max(newest.saturating_sub(crate::apply::HISTORY_VERSIONS_MAX));
    let mut entries = Vec::new();
    for version in (before_oldest + 1..=newest).rev() {
        if let Some(stored) = read_stored(table, &history_key(version)).await? {
            entries.push(entry(stored));
        }
    }
    Ok(Outcome { entries })
}

/// Returns the configuration of an accepted version, or the newest one for `None`.
///
/// # Errors
/// The table did not answer, it has no such version, or the row cannot be decoded.
pub async fn version(
    table: &dyn Table,
    version: Option<ConfigurationVersion>,
) -> Result<Configuration> {
    let key = version.map_or_else(|| CURRENT_KEY.into(), history_key);
    let stored = read_stored(table, &key).await?;
    stored
        .map(|stored| stored.configuration)
        .ok_or_else(|| version.map_or(Error::NoneAccepted, Error::NoVersion))
}

fn entry(stored: Stored) -> Entry {
    Entry {
        version: stored.configuration.version,
        author: stored.configuration.author,
        reason: stored.configuration.reason,
        written: stored.configuration.written,
        write_id: stored.write_id,
    }
}

async fn read_stored(table: &dyn Table, key: &str) -> Result<Option<Stored>> {
    const STEP: &str = "read configuration history";
    let row = table.read(key).await;
    let row = row.map_err(|cause| Error::Table(STEP, cause))?;
    let stored = row.map(|row| Stored::decode(STEP, &row)).transpose()?;
    Ok(stored.flatten())
}
