//! The settings of an instance that schedules a cell on the users' platform.

use std::{net::SocketAddr, path::Path, time::Duration};

use jackdawchute_types::{duration_ms, FailureDomainId, MemberId};
use serde::{Deserialize, Serialize};

use crate::{
    error::{accept, read_text},
    LogLevel, Problem, Result,
};

/// Where the process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the process takes callers.
    pub readiness: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// Where other instances reach it, if that is another address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peers: Option<SocketAddr>,
    /// For metrics.
    pub metrics: SocketAddr,
}

impl CellListen {
    /// Where other instances reach it.
    ///
    /// ```
    /// let address = "127.0.0.1:7".parse().expect("an address");
    /// let listen = jackdawchute_settings::CellListen {
    ///     callers: address,
    ///     readiness: address,
    ///     peers: address,
    ///     advertised_peers: None,
    ///     metrics: address,
    /// };
    /// assert_eq!(listen.reached_by_peers(), address);
    /// ```
    pub fn reached_by_peers(&self) -> SocketAddr {
        self.advertised_peers.unwrap_or(self.peers)
    }
}

/// Where the platform's services are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellPlatform {
    /// The transactional store.
    pub store: SocketAddr,
    /// The advisor on workers, where the deployment has one.
    #[serde(default)]
    pub advisor: Option<SocketAddr>,
}

/// What the platform promises of its workers and of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellBounds {
    /// The longest lease that a worker accepts.
    #[serde(with = "duration_ms", rename = "lease_max_ms")]
    pub lease_max: Duration,
    /// How long a stopped task may take to end.
    #[serde(with = "duration_ms", rename = "task_stop_ms")]
    pub task_stop: Duration,
    /// How long a process may take to end once it is told to.
    #[serde(with = "duration_ms", rename = "shutdown_ms")]
    pub shutdown: Duration,
    /// How long an ended job's state is kept.
    #[serde(with = "duration_ms", rename = "ended_retention_ms")]
    pub ended_retention: Duration,
}

/// The processor that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellProcessor {
    /// The share of a core.
    pub share: f64,
    /// How many times as fast as a usual core it is.
    #[serde(default = "one")]
    pub speed: f64,
}

fn one() -> f64 {
    1.0
}

impl Default for CellProcessor {
    fn default() -> Self {
        Self {
            share: 1.0,
            speed: 1.0,
        }
    }
}

impl CellProcessor {
    /// What it amounts to, in thousandths of a usual core.
    ///
    /// ```
    /// use jackdawchute_settings::CellProcessor;
    ///
    /// let processor = CellProcessor { share: 0.25, speed: 2.0 };
    /// assert_eq!(processor.millicores(), 500);
    /// ```
    pub fn millicores(&self) -> u64 {
        (self.share * self.speed * 1_000.0) as u64
    }
}

/// The settings of an instance of a cell, already checked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// The instance's name.
    pub instance: MemberId,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomainId,
    /// Where it listens.
    pub listen: CellListen,
    /// Where the platform's services are.
    pub platform: CellPlatform,
    /// What the platform promises.
    pub bounds: CellBounds,
    /// The processor that the process may use; a whole usual core if absent.
    #[serde(default)]
    pub processor: CellProcessor,
    /// How much is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

impl CellSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// The file cannot be read, or its content is refused with all the reasons.
    pub fn load(path: impl AsRef<Path>) -> Result<Self> {
        Self::parse(&read_text(path.as_ref())?)
    }

    /// Reads and checks YAML.
    ///
    /// ```
    /// let settings = jackdawchute_settings::CellSettings::parse("instance: entry-1");
    /// assert!(settings.is_err(), "the addresses are missing");
    /// ```
    ///
    /// # Errors
    /// The content is refused, with all the reasons.
    pub fn parse(text: &str) -> Result<Self> {
        let (settings, mut problems) = jackdawchute_yaml::parse::<Self>(text);
        if let Some(settings) = &settings {
            check(settings, &mut problems);
        }
        accept(settings, problems)
    }
}

fn check(settings: &CellSettings, problems: &mut Vec<Problem>) {
    if settings.instance.is_empty() {
        problems.push(Problem::new("instance", "must not be empty"));
    }
    let bounds = [
        ("bounds.lease_max_ms", settings.bounds.lease_max),
        ("bounds.shutdown_ms", settings.bounds.shutdown),
        ("bounds.ended_retention_ms", settings.bounds.ended_retention),
    ];
    for (field, value) in bounds {
        if value.is_zero() {
            problems.push(Problem::new(field, "must be above zero"));
        }
    }
    if settings.processor.millicores() == 0 {
        problems.push(Problem::new(
            "processor",
            "must be above a thousandth of a core",
        ));
    }
    let peers = settings.listen.reached_by_peers();
    if peers.ip().is_unspecified() || peers.port() == 0 {
        let rule = "must be an address and port that peers can connect to";
        problems.push(Problem::new("listen.peers", rule));
    }
}
