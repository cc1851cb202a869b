//! The settings document as it is read from a file, before its values are checked.

use std::{net::SocketAddr, path::PathBuf};

use jackdawchute_types::{FailureDomainId, MemberId};
use serde::Deserialize;

use crate::{check, Limits, Listen, LogLevel, Platform, Problem, Settings, Timing};

/// Default number of threads of the asynchronous runtime.
const WORKER_THREADS_DEFAULT: usize = 2;

/// The content of a settings file.
///
/// Required fields are optional here, so that all problems are found in one pass.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Document {
    instance: Option<MemberId>,
    failure_domain: Option<FailureDomainId>,
    listen: ListenDocument,
    advertised_peer_address: Option<SocketAddr>,
    platform: PlatformDocument,
    operator_token_file: Option<PathBuf>,
    peer_token_file: Option<PathBuf>,
    log_level: LogLevel,
    worker_threads: Option<usize>,
    timing: Timing,
    limits: Limits,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ListenDocument {
    callers: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    peers: Option<SocketAddr>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PlatformDocument {
    table: Option<SocketAddr>,
    membership: Option<SocketAddr>,
}

impl Document {
    /// Returns the settings if every required field is present; adds all problems to `problems`.
    pub(crate) fn into_settings(self, problems: &mut Vec<Problem>) -> Option<Settings> {
        let mut required = Required { problems };
        let instance = required.check("instance", self.instance);
        let failure_domain = required.check("failure_domain", self.failure_domain);
        let callers = required.check("listen.callers", self.listen.callers);
        let operators = required.check("listen.operators", self.listen.operators);
        let peers = required.check("listen.peers", self.listen.peers);
        let table = required.check("platform.table", self.platform.table);
        let membership = required.check("platform.membership", self.platform.membership);
        let worker_threads = self.worker_threads.unwrap_or(WORKER_THREADS_DEFAULT);
        check::timing(&self.timing, problems);
        check::limits(&self.limits, problems);
        check::worker_threads(worker_threads, problems);
        check::advertised(self.advertised_peer_address, problems);
        let settings = Settings {
            instance: instance?,
            failure_domain: failure_domain?,
            listen: Listen {
                callers: callers?,
                operators: operators?,
                peers: peers?,
            },
            advertised_peer_address: self.advertised_peer_address,
            platform: Platform {
                table: table?,
                membership: membership?,
            },
            operator_token_file: self.operator_token_file,
            peer_token_file: self.peer_token_file,
            log_level: self.log_level,
            worker_threads,
            timing: self.timing,
            limits: self.limits,
        };
        check::names(&settings, problems);
        check::listeners(&settings, problems);
        Some(settings)
    }
}

/// Checks of required fields.
struct Required<'a> {
    problems: &'a mut Vec<Problem>,
}

impl Required<'_> {
    /// Returns the value of a required field; reports a missing one, unless it is missing because
    /// reading it failed, which is reported already.
    fn check<T>(&mut self, field: &str, value: Option<T>) -> Option<T> {
        if value.is_none() && !self.already_reported(field) {
            self.problems.push(Problem::new(field, "is required"));
        }
        value
    }

    fn already_reported(&self, field: &str) -> bool {
        self.problems.iter().any(|problem| {
            field == problem.field || field.starts_with(&format!("{}.", problem.field))
        })
    }
}
