//! Messages to the balancer task.

use std::net::SocketAddr;

/// The addresses of an entry instance that the balancer needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The address of the readiness check.
    pub operators: SocketAddr,
}

/// Picks the next ready instance round-robin; the reply is `None` while none is ready.
#[derive(Clone, Copy, Debug)]
pub struct Pick;

/// Reads the ready instances.
#[derive(Clone, Copy, Debug)]
pub struct ReadReady;

/// Replaces the instances; a new one is picked once a check has found it ready.
#[derive(Clone, Debug)]
pub struct SetTargets(pub Vec<Target>);

/// The result of an instance's readiness check.
#[derive(Clone, Copy, Debug)]
pub(super) struct CheckResult {
    pub(super) target: Target,
    pub(super) ready: bool,
}

/// Reads the instances to check.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadTargets;
