//! The settings of one process.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use jackdawchute_types::{FailureDomainId, MemberId};
use serde::Serialize;

use crate::{
    document::Document,
    error::{accept, read_text},
    Limits, LogLevel, Result, Timing,
};

/// Where the process listens; port 0 lets the system choose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Listen {
    /// For callers' requests and jobs.
    pub callers: SocketAddr,
    /// For operators, metrics and health checks.
    pub operators: SocketAddr,
    /// For other entry instances.
    pub peers: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Platform {
    /// The transactional table service.
    pub table: SocketAddr,
    /// The membership list.
    pub membership: SocketAddr,
}

/// The settings of one process, already checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// The instance's name, unique among the entry instances.
    pub instance: MemberId,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomainId,
    /// Where it listens.
    pub listen: Listen,
    /// The address that peers connect to, if it differs from the one it listens on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Where the platform's services are.
    pub platform: Platform,
    /// The file with the token that operators must present.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operator_token_file: Option<PathBuf>,
    /// The file with the token that peers must present.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer_token_file: Option<PathBuf>,
    /// How much is logged.
    pub log_level: LogLevel,
    /// The threads that run tasks.
    pub worker_threads: usize,
    /// Periods and timeouts.
    pub timing: Timing,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

impl Settings {
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
    /// use std::time::Duration;
    ///
    /// let settings = jackdawchute_settings::Settings::parse(
    ///     "instance: entry-1
    /// failure_domain: ala-1
    /// listen: { callers: 127.0.0.1:0, operators: 127.0.0.1:0, peers: 127.0.0.1:0 }
    /// platform: { table: 127.0.0.1:7001, membership: 127.0.0.1:7002 }
    /// ",
    /// )?;
    /// assert_eq!(settings.timing.renewal_interval, Duration::from_secs(1));
    /// # Ok::<(), jackdawchute_settings::Error>(())
    /// ```
    ///
    /// # Errors
    /// The content is refused, with all the reasons.
    pub fn parse(text: &str) -> Result<Self> {
        let (document, mut problems) = jackdawchute_yaml::parse::<Document>(text);
        let settings = document.and_then(|document| document.into_settings(&mut problems));
        accept(settings, problems)
    }
}
