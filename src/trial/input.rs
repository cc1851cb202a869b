//! The example input.

use jackdawchute_types::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

const EXAMPLE: &str = include_str!("../../etc/example/input.yaml");

/// Requests and jobs with their expected outcomes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Input {
    pub(crate) requests: Vec<ExampleRequest>,
    pub(crate) jobs: Vec<ExampleJob>,
}

/// A request to a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ExampleRequest {
    pub(crate) name: String,
    pub(crate) method: String,
    pub(crate) path: String,
    #[serde(default)]
    pub(crate) body: String,
    /// The idempotency key.
    #[serde(default)]
    pub(crate) key: Option<String>,
    /// How often the minions must have run the key in the end.
    #[serde(default)]
    pub(crate) runs: Option<u32>,
}

/// A job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ExampleJob {
    pub(crate) name: String,
    /// The state that it must reach.
    pub(crate) ends: JobState,
    pub(crate) job: JobSpec,
}

/// Reads the embedded example.
pub(crate) fn example() -> Result<Input> {
    serde_yaml_ng::from_str(EXAMPLE)
        .map_err(|error| Error::Refused("read example input", error.to_string()))
}
