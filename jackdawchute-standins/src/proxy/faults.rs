//! Faults that a proxy applies to connections, and counts of connections and bytes.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// The faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Whether the proxy stops passing bytes on until this is unset, as in a network partition.
    pub hold: bool,
    /// How long the proxy delays each chunk of bytes.
    #[serde(with = "duration_ms", rename = "delay_ms")]
    pub delay: Duration,
}

/// The faults of a proxy.
///
/// ```
/// use jackdawchute_standins::proxy::ProxyFaults;
///
/// let faults: ProxyFaults = serde_json::from_str(r#"{"to_client":{"hold":true}}"#).unwrap();
/// assert!(faults.to_client.hold && !faults.to_server.hold);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// The faults of bytes to the server.
    pub to_server: DirectionFaults,
    /// The faults of bytes to the client.
    pub to_client: DirectionFaults,
    /// Whether new connections are closed at once; setting it closes the open ones.
    pub refuse: bool,
}

impl ProxyFaults {
    /// Returns faults that block both directions.
    pub fn frozen() -> Self {
        let blocked = DirectionFaults {
            hold: true,
            ..DirectionFaults::default()
        };
        Self {
            to_server: blocked,
            to_client: blocked,
            ..Self::default()
        }
    }

    /// Returns faults that close every connection.
    pub fn refusing() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }

    /// Returns faults that delay both directions.
    pub fn delayed(delay: Duration) -> Self {
        let delayed = DirectionFaults { hold: false, delay };
        Self {
            to_server: delayed,
            to_client: delayed,
            ..Self::default()
        }
    }
}

/// The faults of a proxy, and those of the sources that have their own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct FaultTable {
    pub(super) usual: ProxyFaults,
    pub(super) by_source: BTreeMap<IpAddr, ProxyFaults>,
}

impl FaultTable {
    /// Returns the faults of connections from the address.
    pub(super) fn of_source(&self, source: IpAddr) -> ProxyFaults {
        self.by_source.get(&source).copied().unwrap_or(self.usual)
    }
}

/// Counts of a proxy's connections and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyCounts {
    /// The number of open connections.
    pub open: u32,
    /// The highest number of connections that were open at a time.
    pub max_open: u32,
    /// The number of connections that were accepted and not refused.
    pub accepted: u64,
    /// The bytes passed on to the server.
    pub to_server_bytes: u64,
    /// The bytes passed on to the client.
    pub to_client_bytes: u64,
}
