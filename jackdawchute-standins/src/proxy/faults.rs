//! What a proxy does to connections, and what it has seen of them.

use std::time::Duration;

use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// The faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Whether bytes wait in the proxy until this is lifted, as in a cut network.
    pub hold: bool,
    /// How long each chunk of bytes waits.
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
    /// Towards the server.
    pub to_server: DirectionFaults,
    /// Towards the client.
    pub to_client: DirectionFaults,
    /// Whether connections are closed at once; open ones are closed too.
    pub refuse: bool,
}

impl ProxyFaults {
    /// Holds both directions.
    pub fn frozen() -> Self {
        let hold = DirectionFaults {
            hold: true,
            ..DirectionFaults::default()
        };
        Self {
            to_server: hold,
            to_client: hold,
            ..Self::default()
        }
    }

    /// Closes every connection.
    pub fn refusing() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }

    /// Delays both directions.
    pub fn delayed(delay: Duration) -> Self {
        let delayed = DirectionFaults { hold: false, delay };
        Self {
            to_server: delayed,
            to_client: delayed,
            ..Self::default()
        }
    }
}

/// What went through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyCounts {
    /// Connections that are open.
    pub open: u32,
    /// The most connections that were open at a time.
    pub max_open: u32,
    /// Connections that were accepted.
    pub accepted: u64,
    /// Bytes passed on to the server.
    pub to_server_bytes: u64,
    /// Bytes passed on to the client.
    pub to_client_bytes: u64,
}
