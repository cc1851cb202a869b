//! Matches requests to the routes of the configuration.

use http::Method;
use jackdawchute_configuration::Configuration;

use super::messages::RouteMatch;

/// Returns the most specific route of a request with its limits, or `None` if there is none.
pub(super) fn find(
    configuration: &Configuration,
    method: &Method,
    host: Option<&str>,
    path: &str,
) -> Option<RouteMatch> {
    let route = configuration.route(host.unwrap_or_default(), path)?;
    let service = configuration.service_configuration(&route.service);
    let bytes = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
    Some(RouteMatch {
        service: route.service.clone(),
        class: route.class.clone(),
        team: route.team.clone(),
        idempotent: route.is_idempotent(method.as_str()),
        deadline: configuration.deadline(route, None),
        deadline_max: service.deadline_max,
        body_bytes_max: bytes(configuration.body_bytes(route)),
        retained_body_bytes_max: bytes(service.answer_bytes_max),
    })
}
