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

/// The addresses that the process listens on; with port 0 the system chooses a port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Listen {
    /// The address for callers' requests and jobs.
    pub callers: SocketAddr,
    /// The address for operators, metrics and health checks.
    pub operators: SocketAddr,
    /// The address for other entry instances.
    pub peers: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Platform {
    /// The address of the transactional table service.
    pub table: SocketAddr,
    /// The address of the membership list.
    pub membership: SocketAddr,
}

/// The checked settings of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// The instance's name, unique among the entry instances.
    pub instance: MemberId,
    /// The failure domain that the instance runs in.
    pub failure_domain: FailureDomainId,
    /// The addresses that the process listens on.
    pub listen: Listen,
    /// The address that peers connect to, if it differs from `listen.peers`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertised_peer_address: Option<SocketAddr>,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The path of the file with the token that operators must present.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operator_token_file: Option<PathBuf>,
    /// The path of the file with the token that peers must present.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer_token_file: Option<PathBuf>,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// The number of threads of the asynchronous runtime.
    pub worker_threads: usize,
    /// Periods and timeouts.
    pub timing: Timing,
    /// Limits on what clients may send.
    pub limits: Limits,
}

impl Settings {
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
    /// Returns all problems of the content.
    pub fn parse(text: &str) -> Result<Self> {
        let (document, mut problems) = jackdawchute_yaml::parse::<Document>(text);
        let settings = document.and_then(|document| document.into_settings(&mut problems));
        accept(settings, problems)
    }
}
