//! Limits on what clients may send.

use serde::{Deserialize, Serialize};

/// Limits that apply to each listener of the process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The most bytes of all header fields of a request together.
    pub header_bytes: u64,
    /// The most bytes of a request's body; the configuration may set a lower limit for a service.
    pub body_bytes: u64,
    /// The most open connections of each listener.
    pub connections: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 8 * 1024 * 1024,
            connections: 4_096,
        }
    }
}
