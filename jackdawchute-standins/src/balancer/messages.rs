//! What the balancer takes.

use std::net::SocketAddr;

/// An entry instance as the balancer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Where callers' requests go.
    pub callers: SocketAddr,
    /// Where readiness is asked.
    pub operators: SocketAddr,
}

/// Asks for the next ready instance in turn; answered with `None` while there is none.
#[derive(Clone, Copy, Debug)]
pub struct Pick;

/// Asks for the instances that are ready.
#[derive(Clone, Copy, Debug)]
pub struct ReadReady;

/// Replaces the instances; new ones get work once they are found ready.
#[derive(Clone, Debug)]
pub struct SetTargets(pub Vec<Target>);

/// What a check of one instance found.
#[derive(Clone, Copy, Debug)]
pub(super) struct Checked {
    pub(super) target: Target,
    pub(super) ready: bool,
}

/// Asks for the instances to check.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadTargets;
