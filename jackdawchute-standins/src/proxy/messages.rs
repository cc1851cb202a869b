//! Messages to the proxy task.

use std::net::{IpAddr, SocketAddr};

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

/// Serves a connection that a client opened from the address.
#[derive(Debug)]
pub struct Accepted(pub TcpStream, pub IpAddr);

/// Counts the end of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Closed;

/// Counts bytes that are passed on.
#[derive(Clone, Copy, Debug)]
pub struct Forwarded {
    /// The direction of the bytes.
    pub direction: Direction,
    /// The number of bytes.
    pub bytes: u64,
}

/// Sets the server of later connections.
#[derive(Clone, Copy, Debug)]
pub struct SetTarget(pub SocketAddr);

/// Sets the faults of open and later connections.
#[derive(Clone, Copy, Debug)]
pub struct SetFaults(pub ProxyFaults);

/// Sets the faults of the open and later connections from one address.
#[derive(Clone, Copy, Debug)]
pub struct SetSourceFaults {
    /// The address that the connections come from.
    pub source: IpAddr,
    /// The faults in place of the proxy's; `None` has the proxy's again.
    pub faults: Option<ProxyFaults>,
}

/// Closes the open connections.
#[derive(Clone, Copy, Debug)]
pub struct CutConnections;

/// Reads the counts.
#[derive(Clone, Copy, Debug)]
pub struct ReadCounts;
