//! The rows that hold the configuration in the platform's table.

use jackdawchute_ports::{Row, RowKey, WriteId};
use jackdawchute_types::ConfigurationVersion;
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use crate::{Configuration, Error, Result};

/// The row with the accepted configuration.
pub const CURRENT_KEY: &str = "configuration/current";

/// The content of the current row and of each history row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stored {
    /// The write that brought it, to find out the fate of a lost answer.
    pub(crate) write_id: WriteId,
    /// The accepted configuration.
    pub(crate) configuration: Configuration,
}

impl Stored {
    pub(crate) fn read(step: &'static str, row: &Row) -> Result<Option<Self>> {
        let Some(value) = &row.value else {
            return Ok(None);
        };
        serde_json::from_str(value)
            .map(Some)
            .map_err(|error| Error::Row(step, row.key.clone(), error.to_string()))
    }

    pub(crate) fn write(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|error| {
            Error::Row("apply configuration", CURRENT_KEY.into(), error.to_string())
        })
    }
}

/// The row that keeps one version.
pub(crate) fn history_key(version: ConfigurationVersion) -> RowKey {
    format_smolstr!("configuration/history/{version:020}")
}
