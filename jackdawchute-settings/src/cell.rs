//! The settings of an instance of a cell on the users' platform.

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use jackdawchute_types::{duration_ms, FailureDomainId, MemberId};
use serde::{Deserialize, Serialize};

use crate::{
    error::{accept, read_text},
    LogLevel, Problem, Result,
};

/// The addresses that the process listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellListen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for readiness checks, by which the balancer decides whether to send callers.
    pub readiness: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
    /// The address that other instances connect to, if it differs from `peers`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peers: Option<SocketAddr>,
    /// The address from which the process connects to other instances; `None` lets the system
    /// choose it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers_from: Option<IpAddr>,
    /// The address for metrics.
    pub metrics: SocketAddr,
}

impl CellListen {
    /// Returns the address that other instances connect to.
    ///
    /// ```
    /// let address = "127.0.0.1:7".parse().expect("an address");
    /// let listen = jackdawchute_settings::CellListen {
    ///     callers: address,
    ///     readiness: address,
    ///     peers: address,
    ///     advertised_peers: None,
    ///     peers_from: None,
    ///     metrics: address,
    /// };
    /// assert_eq!(listen.reached_by_peers(), address);
    /// ```
    pub fn reached_by_peers(&self) -> SocketAddr {
        self.advertised_peers.unwrap_or(self.peers)
    }
}

/// The addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellPlatform {
    /// The address of the transactional store.
    pub store: SocketAddr,
    /// The address of the advisor, or `None` if the deployment has none.
    #[serde(default)]
    pub advisor: Option<SocketAddr>,
}

/// Limits that the platform guarantees or requires.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellBounds {
    /// The longest task lease that a worker accepts.
    #[serde(with = "duration_ms", rename = "lease_max_ms")]
    pub lease_max: Duration,
    /// How long a task may take to end after it is stopped.
    #[serde(with = "duration_ms", rename = "task_stop_ms")]
    pub task_stop: Duration,
    /// How long a process may take to end after it is asked to stop.
    #[serde(with = "duration_ms", rename = "shutdown_ms")]
    pub shutdown: Duration,
    /// How long the state of an ended job is kept.
    #[serde(with = "duration_ms", rename = "ended_retention_ms")]
    pub ended_retention: Duration,
    /// By what factor tasks take longer away from the rack that holds their data, or over several
    /// racks; from 1 to 100.
    #[serde(default = "default_remote_slowdown")]
    pub remote_slowdown: f64,
    /// The longest time for which a task waits for a place near its data, or a gang for one rack,
    /// where that is expected to pay; 0 for no waits.
    #[serde(default, with = "duration_ms", rename = "place_wait_max_ms")]
    pub place_wait_max: Duration,
}

/// The largest factor by which tasks may take longer away from their data.
const REMOTE_SLOWDOWN_MAX: f64 = 100.0;

fn default_remote_slowdown() -> f64 {
    1.5
}

/// The processor time that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellProcessor {
    /// The share of a core, 1 for a whole one.
    pub share: f64,
    /// The speed of the core, relative to a reference core.
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
    /// Returns the processor time in thousandths of a reference core.
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

/// The checked settings of an instance of a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// The instance's name; must not be empty.
    pub instance: MemberId,
    /// The failure domain that the instance runs in.
    pub failure_domain: FailureDomainId,
    /// The addresses that the process listens on.
    pub listen: CellListen,
    /// The addresses of the platform's services.
    pub platform: CellPlatform,
    /// Time limits of the platform.
    pub bounds: CellBounds,
    /// The processor time that the process may use; one reference core if absent.
    #[serde(default)]
    pub processor: CellProcessor,
    /// The least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

impl CellSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or all problems of its content.
    pub fn load(path: impl AsRef<Path>) -> Result<Self> {
        Self::parse(&read_text(path.as_ref())?)
    }

    /// Parses and checks settings in YAML.
    ///
    /// ```
    /// let settings = jackdawchute_settings::CellSettings::parse("instance: entry-1");
    /// assert!(settings.is_err(), "the addresses are missing");
    /// ```
    ///
    /// # Errors
    /// Returns all problems of the content.
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
    let remote_slowdown = settings.bounds.remote_slowdown;
    if !(1.0..=REMOTE_SLOWDOWN_MAX).contains(&remote_slowdown) {
        problems.push(Problem::new(
            "bounds.remote_slowdown",
            "must be at least 1 and at most 100",
        ));
    }
    if settings.processor.millicores() == 0 {
        problems.push(Problem::new(
            "processor",
            "must be at least a thousandth of a core",
        ));
    }
    let peers = settings.listen.reached_by_peers();
    if peers.ip().is_unspecified() || peers.port() == 0 {
        let rule = "must be an address and port that peers can connect to";
        problems.push(Problem::new("listen.peers", rule));
    }
    let source = settings.listen.peers_from;
    if source.is_some_and(|source| source.is_unspecified() || source.is_multicast()) {
        let rule = "must be an address of this machine";
        problems.push(Problem::new("listen.peers_from", rule));
    }
}
