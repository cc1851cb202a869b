//! The rows of the platform's table that hold the configuration.

use jackdawchute_ports::{Row, RowKey, WriteId};
use jackdawchute_types::ConfigurationVersion;
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use crate::{Configuration, Error, Result};

/// The key of the row that holds the accepted configuration.
pub const CURRENT_KEY: &str = "configuration/current";

/// The content of the row of the accepted configuration and of each history row, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stored {
    /// The id of the change that wrote the row; with it an operator whose answer was lost finds
    /// out whether the change took effect.
    pub(crate) write_id: WriteId,
    /// The accepted configuration, with its version.
    pub(crate) configuration: Configuration,
}

impl Stored {
    /// Decodes a row; `None` if the row was deleted. `step` names the caller's step in an error.
    pub(crate) fn decode(step: &'static str, row: &Row) -> Result<Option<Self>> {
        let Some(value) = &row.value else {
            return Ok(None);
        };
        serde_json::from_str(value)
            .map(Some)
            .map_err(|error| Error::Row(step, row.key.clone(), error.to_string()))
    }

    /// Encodes the content for a row.
    pub(crate) fn encode(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|error| {
            Error::Row("apply configuration", CURRENT_KEY.into(), error.to_string())
        })
    }
}

/// Returns the key of the history row of a version; zero-padded, so that keys sort by version.
pub(crate) fn history_key(version: ConfigurationVersion) -> RowKey {
    format_smolstr!("configuration/history/{version:020}")
}
