//! The example input, which is embedded in the program.

use jackdawchute_types::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

const EXAMPLE: &str = include_str!("../../etc/example/input.yaml");

/// The requests and jobs of the example with their expected outcomes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Input {
    pub(crate) requests: Vec<ExampleRequest>,
    pub(crate) jobs: Vec<ExampleJob>,
}

/// A request to a service, which must succeed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ExampleRequest {
    pub(crate) name: String,
    pub(crate) method: String,
    pub(crate) path: String,
    #[serde(default)]
    pub(crate) body: String,
    /// The idempotency key, if the request has one.
    #[serde(default)]
    pub(crate) key: Option<String>,
    /// How often the minions must have run requests with the key once all are answered.
    #[serde(default)]
    pub(crate) runs: Option<u32>,
}

/// A job with the state that it must reach.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ExampleJob {
    pub(crate) name: String,
    /// The expected state; a job that is expected to run is cancelled afterwards.
    pub(crate) ends: JobState,
    pub(crate) job: JobSpec,
}

/// Parses the embedded example.
pub(crate) fn example() -> Result<Input> {
    serde_yaml_ng::from_str(EXAMPLE)
        .map_err(|error| Error::Refused("read example input", error.to_string()))
}
