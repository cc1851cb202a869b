//! Routes from requests to services.

use std::time::Duration;

use jackdawchute_types::{optional_duration_ms, ClassId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Requests of one host or under one path, and what they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// The host name without port, in lower case; any host if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<SmolStr>,
    /// The path prefix in whole segments; any path if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<SmolStr>,
    /// The service that answers.
    pub service: ServiceId,
    /// The class of the requests.
    pub class: ClassId,
    /// The team that is charged.
    pub team: TeamId,
    /// The methods whose requests are not idempotent and run at most once.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub non_idempotent_methods: Vec<SmolStr>,
    /// The deadline if the caller names none, in place of the class's.
    #[serde(
        with = "optional_duration_ms",
        rename = "deadline_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<Duration>,
    /// The most bytes of a request's body, in place of the service's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
}

impl Route {
    /// Whether a request with `method` may be sent more than once.
    ///
    /// ```
    /// use jackdawchute_configuration::Route;
    ///
    /// let route = Route { non_idempotent_methods: vec!["POST".into()], ..Route::default() };
    /// assert!(!route.is_idempotent("POST"));
    /// assert!(route.is_idempotent("GET"));
    /// ```
    pub fn is_idempotent(&self, method: &str) -> bool {
        !self
            .non_idempotent_methods
            .iter()
            .any(|listed| listed.eq_ignore_ascii_case(method))
    }

    /// Whether it takes requests for `path` at `host`; the port of `host` does not count.
    pub fn matches(&self, host: &str, path: &str) -> bool {
        self.matches_host(host) && self.matches_path(path)
    }

    fn matches_host(&self, host: &str) -> bool {
        match &self.host {
            None => true,
            Some(own) => own.eq_ignore_ascii_case(without_port(host)),
        }
    }

    fn matches_path(&self, path: &str) -> bool {
        let prefix = self.path.as_deref().unwrap_or("/").trim_end_matches('/');
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// A route with a host goes before one without; then the longer path goes first.
    pub(crate) fn precision(&self) -> (bool, usize) {
        let path = self.path.as_deref().unwrap_or_default();
        (self.host.is_some(), path.trim_end_matches('/').len())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.chars().all(|c| c.is_ascii_digit()) => name,
        _ => host,
    }
}
