//! The configuration of a load.

use std::time::Duration;

use jackdawchute_types::{duration_ms, optional_duration_ms};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Error, Result};

/// A load of several request classes at once.
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
    /// The seed of all arrival times; class `n` uses `seed + n`.
    pub seed: u64,
    /// How long requests are sent, since the start of the load.
    #[serde(with = "duration_ms", rename = "duration_ms")]
    pub duration: Duration,
    /// The maximum number of requests of each class.
    #[serde(default = "count_max")]
    pub count_max: usize,
    /// The request classes, each with arrivals of its own.
    pub classes: Vec<ClassPlan>,
}

/// The requests of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// The name of the class in results and request tags.
    pub name: SmolStr,
    /// The mean number of requests per second.
    pub rate_per_second: f64,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query of each request.
    pub path: SmolStr,
    /// Whether each request has its own idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// The length of each request's body, in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// The deadline that each request states; none if absent.
    #[serde(default, with = "optional_duration_ms", rename = "deadline_ms")]
    pub deadline: Option<Duration>,
    /// When the class begins to send, since the start of the load.
    #[serde(default, with = "duration_ms", rename = "start_ms")]
    pub start: Duration,
    /// When the class stops, since the start of the load; absent, or after `duration`, it stops
    /// with the load.
    #[serde(default, with = "optional_duration_ms", rename = "stop_ms")]
    pub stop: Option<Duration>,
}

fn count_max() -> usize {
    1_000_000
}

impl Plan {
    /// Parses a plan in YAML.
    ///
    /// # Errors
    /// The text is not YAML, lacks a field of the plan or has an unknown one.
    pub fn parse(yaml: &str) -> Result<Self> {
        serde_yaml_ng::from_str(yaml)
            .map_err(|cause| Error::Invalid("parse load plan", "yaml".into(), cause.to_string()))
    }
}

impl ClassPlan {
    /// Creates a class of requests without body, idempotency key or deadline.
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

    /// Gives each request an idempotency key of its own.
    #[must_use]
    pub fn keyed(mut self) -> Self {
        self.keyed = true;
        self
    }
}
