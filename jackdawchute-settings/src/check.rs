//! Checks of the settings' values.

use std::{net::SocketAddr, time::Duration};

use crate::{Limits, Problem, Settings, Timing};

/// The longest name in bytes.
const NAME_BYTES_MAX: usize = 64;
/// The most threads of the asynchronous runtime.
const WORKER_THREADS_MAX: usize = 64;
/// The longest owner lease or takeover time, in milliseconds.
const LEASE_MS_MAX: u64 = 120_000;

pub(crate) fn names(settings: &Settings, problems: &mut Vec<Problem>) {
    name("instance", &settings.instance, problems);
    name("failure_domain", &settings.failure_domain, problems);
}

fn name(field: &str, value: &str, problems: &mut Vec<Problem>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if value.is_empty() || value.len() > NAME_BYTES_MAX || !value.chars().all(allowed) {
        let rule = format!("must have 1 to {NAME_BYTES_MAX} letters, digits, `-`, `_` or `.`");
        problems.push(Problem::new(field, rule));
    }
}

pub(crate) fn worker_threads(count: usize, problems: &mut Vec<Problem>) {
    if count == 0 || count > WORKER_THREADS_MAX {
        let rule = format!("must be 1 to {WORKER_THREADS_MAX}");
        problems.push(Problem::new("worker_threads", rule));
    }
}

pub(crate) fn advertised(address: Option<SocketAddr>, problems: &mut Vec<Problem>) {
    if address.is_some_and(|address| address.ip().is_unspecified() || address.port() == 0) {
        let rule = "must be an address and port that peers can connect to";
        problems.push(Problem::new("advertised_peer_address", rule));
    }
}

pub(crate) fn listeners(settings: &Settings, problems: &mut Vec<Problem>) {
    let listen = &settings.listen;
    let unspecified = listen.peers.ip().is_unspecified();
    if unspecified && settings.advertised_peer_address.is_none() {
        let rule = "is required when listen.peers names no single address";
        problems.push(Problem::new("advertised_peer_address", rule));
    }
    distinct_addresses(
        "listen.operators",
        listen.operators,
        listen.callers,
        problems,
    );
    distinct_addresses("listen.peers", listen.peers, listen.callers, problems);
    distinct_addresses("listen.peers", listen.peers, listen.operators, problems);
}

/// Reports two listeners with the same address; port 0 lets the system choose different ones.
fn distinct_addresses(
    field: &str,
    left: SocketAddr,
    right: SocketAddr,
    problems: &mut Vec<Problem>,
) {
    if left == right && left.port() != 0 {
        problems.push(Problem::new(
            field,
            format!("{left} is used by another listener"),
        ));
    }
}

pub(crate) fn limits(limits: &Limits, problems: &mut Vec<Problem>) {
    let mut check = |field: &str, value: u64, least: u64, most: u64| {
        if value < least || value > most {
            let rule = format!("must be {least} to {most}");
            problems.push(Problem::new(format!("limits.{field}"), rule));
        }
    };
    check("header_bytes", limits.header_bytes, 1_024, 1_048_576);
    check("body_bytes", limits.body_bytes, 1_024, 1_073_741_824);
    check("connections", limits.connections.into(), 1, 1_000_000);
}

pub(crate) fn timing(timing: &Timing, problems: &mut Vec<Problem>) {
    let mut checks = TimingChecks { problems };
    checks.within("renewal_interval_ms", timing.renewal_interval, 50, 10_000);
    checks.within("lease_ms", timing.lease, 100, LEASE_MS_MAX);
    checks.within("takeover_ms", timing.takeover, 150, LEASE_MS_MAX);
    checks.within("membership_poll_ms", timing.membership_poll, 50, 60_000);
    checks.within(
        "configuration_poll_ms",
        timing.configuration_poll,
        50,
        60_000,
    );
    checks.within(
        "configuration_confirm_ms",
        timing.configuration_confirm,
        150,
        600_000,
    );
    checks.within("peer_call_timeout_ms", timing.peer_call_timeout, 10, 60_000);
    checks.within(
        "shutdown_timeout_ms",
        timing.shutdown_timeout,
        100,
        3_600_000,
    );
    checks.at_least(
        "lease_ms",
        timing.lease,
        "twice renewal_interval_ms",
        timing.renewal_interval.saturating_mul(2),
    );
    checks.at_least(
        "takeover_ms",
        timing.takeover,
        "lease_ms plus renewal_interval_ms",
        timing.lease.saturating_add(timing.renewal_interval),
    );
    checks.at_least(
        "configuration_confirm_ms",
        timing.configuration_confirm,
        "twice configuration_poll_ms plus peer_call_timeout_ms",
        timing
            .configuration_poll
            .saturating_mul(2)
            .saturating_add(timing.peer_call_timeout),
    );
}

/// Checks of durations, which report problems of fields under `timing`.
struct TimingChecks<'a> {
    problems: &'a mut Vec<Problem>,
}

impl TimingChecks<'_> {
    fn within(&mut self, field: &str, value: Duration, least_ms: u64, most_ms: u64) {
        let bounds = Duration::from_millis(least_ms)..=Duration::from_millis(most_ms);
        if !bounds.contains(&value) {
            self.report(field, format!("must be {least_ms} to {most_ms}"));
        }
    }

    fn at_least(&mut self, field: &str, value: Duration, name: &str, least: Duration) {
        if value < least {
            self.report(
                field,
                format!("must be at least {name} ({})", least.as_millis()),
            );
        }
    }

    fn report(&mut self, field: &str, rule: String) {
        self.problems
            .push(Problem::new(format!("timing.{field}"), rule));
    }
}
