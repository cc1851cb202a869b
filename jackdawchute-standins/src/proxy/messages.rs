//! What the proxy task takes.

use std::net::SocketAddr;

use tokio::net::TcpStream;

use super::ProxyFaults;

/// A direction through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    ToServer,
    /// From the server to the client.
    ToClient,
}

/// A client has connected.
#[derive(Debug)]
pub struct Accepted(pub TcpStream);

/// A connection has ended.
#[derive(Clone, Copy, Debug)]
pub struct Closed;

/// Bytes were passed on.
#[derive(Clone, Copy, Debug)]
pub struct Forwarded {
    /// Which way.
    pub direction: Direction,
    /// How many.
    pub bytes: u64,
}

/// Sets the server for later connections.
#[derive(Clone, Copy, Debug)]
pub struct SetTarget(pub SocketAddr);

/// Sets the faults for open and later connections.
#[derive(Clone, Copy, Debug)]
pub struct SetFaults(pub ProxyFaults);

/// Closes the open connections.
#[derive(Clone, Copy, Debug)]
pub struct CutConnections;

/// Asks for the counts.
#[derive(Clone, Copy, Debug)]
pub struct ReadCounts;
