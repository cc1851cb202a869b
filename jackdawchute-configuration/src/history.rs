//! Who changed the configuration, when and why.

use std::time::SystemTime;

use jackdawchute_ports::Table;
use jackdawchute_types::ConfigurationVersion;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    rows::{history_key, Stored},
    unix_ms, Configuration, Error, Result, CURRENT_KEY,
};

/// Which versions to list.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The most entries, newest first; each takes one read of the table.
    pub entries_max: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { entries_max: 20 }
    }
}

/// One accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The version.
    pub version: ConfigurationVersion,
    /// Who wrote it.
    pub author: SmolStr,
    /// Why it was written.
    pub reason: String,
    /// When it was accepted.
    #[serde(with = "unix_ms", rename = "written_unix_ms")]
    pub written: SystemTime,
    /// The change that brought it.
    pub write_id: SmolStr,
}

/// The listed versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Newest first.
    pub entries: Vec<Entry>,
}

/// Lists the newest accepted versions.
///
/// # Errors
/// The table did not answer, or a row cannot be read.
pub async fn history(table: &dyn Table, options: Options) -> Result<Outcome> {
    let Some(newest) = read(table, CURRENT_KEY).await? else {
        return Ok(Outcome::default());
    };
    let newest = newest.configuration.version;
    let oldest = newest
        .saturating_sub(options.entries_max)
        .max(newest.saturating_sub(crate::apply::HISTORY_VERSIONS_MAX));
    let mut entries = Vec::new();
    for version in (oldest + 1..=newest).rev() {
        if let Some(stored) = read(table, &history_key(version)).await? {
            entries.push(entry(stored));
        }
    }
    Ok(Outcome { entries })
}

/// Reads one version as it was accepted, or the newest one.
///
/// # Errors
/// The table did not answer, or it keeps no such version.
pub async fn version(
    table: &dyn Table,
    version: Option<ConfigurationVersion>,
) -> Result<Configuration> {
    let key = version.map_or_else(|| CURRENT_KEY.into(), history_key);
    let stored = read(table, &key).await?;
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

async fn read(table: &dyn Table, key: &str) -> Result<Option<Stored>> {
    const STEP: &str = "read configuration history";
    let row = table.read(key).await;
    let row = row.map_err(|cause| Error::Table(STEP, cause))?;
    let stored = row.map(|row| Stored::read(STEP, &row)).transpose()?;
    Ok(stored.flatten())
}
