//! Routes, which map requests to services.

use std::time::Duration;

use jackdawchute_types::{optional_duration_ms, ClassId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maps the requests for a host, a path prefix or both to a service, a class and a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// The host name without a port, compared without regard to case; any host if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<SmolStr>,
    /// The path prefix, which matches whole segments only; any path if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<SmolStr>,
    /// The service that answers the requests.
    pub service: ServiceId,
    /// The class in which the requests are queued.
    pub class: ClassId,
    /// The team that is charged for the requests.
    pub team: TeamId,
    /// The methods whose requests are not idempotent and run at most once.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub non_idempotent_methods: Vec<SmolStr>,
    /// The deadline of requests whose caller names none; `None` for that of the class.
    #[serde(
        with = "optional_duration_ms",
        rename = "deadline_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<Duration>,
    /// The maximum size of a request's body, in bytes; `None` for that of the service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
}

impl Route {
    /// Returns whether a request with `method` may be sent more than once.
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

    /// Returns whether the route is for requests for `path` at `host`; a port in `host` is ignored.
    pub fn matches(&self, host: &str, path: &str) -> bool {
        self.matches_host(host) && self.matches_path(path)
    }

    fn matches_host(&self, host: &str) -> bool {
        match &self.host {
            None => true,
            Some(route_host) => route_host.eq_ignore_ascii_case(without_port(host)),
        }
    }

    fn matches_path(&self, path: &str) -> bool {
        let prefix = self.path.as_deref().unwrap_or("/").trim_end_matches('/');
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Returns the rank among routes that match the same request: the highest one is used. A route
    /// with a host ranks above one without, and then the longer path prefix ranks higher.
    pub(crate) fn specificity(&self) -> (bool, usize) {
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
