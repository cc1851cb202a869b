//! What a load sends.

use std::time::Duration;

use jackdawchute_types::{duration_ms, optional_duration_ms};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Error, Result};

/// A load of several classes at once.
///
/// ```
/// use jackdawchute_standins::load::Plan;
///
/// let plan = Plan::parse("
/// seed: 7
/// duration_ms: 1000
/// classes:
///   - { name: quote, rate_per_second: 50, method: GET, path: /repair-desk/quotes }
/// ").unwrap();
/// assert_eq!(plan.classes[0].name, "quote");
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Decides every arrival.
    pub seed: u64,
    /// How long requests are sent.
    #[serde(with = "duration_ms", rename = "duration_ms")]
    pub duration: Duration,
    /// The most requests of one class.
    #[serde(default = "count_max")]
    pub count_max: usize,
    /// The classes.
    pub classes: Vec<ClassPlan>,
}

/// The requests of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// The name in the results.
    pub name: SmolStr,
    /// The mean rate.
    pub rate_per_second: f64,
    /// The method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Whether each request gets an idempotency key of its own.
    #[serde(default)]
    pub keyed: bool,
    /// The length of the body.
    #[serde(default)]
    pub body_bytes: usize,
    /// The deadline that the caller gives.
    #[serde(default, with = "optional_duration_ms", rename = "deadline_ms")]
    pub deadline: Option<Duration>,
    /// When the class begins to send.
    #[serde(default, with = "duration_ms", rename = "start_ms")]
    pub start: Duration,
    /// When it stops, if before the whole load does.
    #[serde(default, with = "optional_duration_ms", rename = "stop_ms")]
    pub stop: Option<Duration>,
}

fn count_max() -> usize {
    1_000_000
}

impl Plan {
    /// Reads YAML.
    ///
    /// # Errors
    /// The text is no plan.
    pub fn parse(yaml: &str) -> Result<Self> {
        serde_yaml_ng::from_str(yaml)
            .map_err(|cause| Error::Invalid("read load plan", "yaml".into(), cause.to_string()))
    }
}

impl ClassPlan {
    /// A class of requests without body, key or deadline.
    pub fn new(name: &str, rate_per_second: f64, method: &str, path: &str) -> Self {
        Self {
            name: name.into(),
            rate_per_second,
            method: method.into(),
            path: path.into(),
            keyed: false,
            body_bytes: 0,
            deadline: None,
            start: Duration::ZERO,
            stop: None,
        }
    }

    /// The same, with an idempotency key for each request.
    #[must_use]
    pub fn keyed(mut self) -> Self {
        self.keyed = true;
        self
    }
}
