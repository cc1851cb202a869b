//! Periods and timeouts of one process.

use std::time::Duration;

use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// Periods and timeouts; in YAML each key has the suffix `_ms` and a value in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// The time between two renewals of the instance's row in the table.
    #[serde(with = "duration_ms", rename = "renewal_interval_ms")]
    pub renewal_interval: Duration,
    /// The owner lease: how long the instance acts as owner after its last confirmed renewal.
    #[serde(with = "duration_ms", rename = "lease_ms")]
    pub lease: Duration,
    /// How long a peer's row must be without a new version before its groups are taken over.
    #[serde(with = "duration_ms", rename = "takeover_ms")]
    pub takeover: Duration,
    /// The time between two reads of the membership list.
    #[serde(with = "duration_ms", rename = "membership_poll_ms")]
    pub membership_poll: Duration,
    /// The time between two reads of the current configuration version.
    #[serde(with = "duration_ms", rename = "configuration_poll_ms")]
    pub configuration_poll: Duration,
    /// How long the instance accepts new work without a confirmation of its configuration.
    #[serde(with = "duration_ms", rename = "configuration_confirm_ms")]
    pub configuration_confirm: Duration,
    /// How long a call to a peer may take.
    #[serde(with = "duration_ms", rename = "peer_call_timeout_ms")]
    pub peer_call_timeout: Duration,
    /// How long a graceful shutdown waits for requests in flight.
    #[serde(with = "duration_ms", rename = "shutdown_timeout_ms")]
    pub shutdown_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            renewal_interval: Duration::from_millis(1_000),
            lease: Duration::from_millis(4_000),
            takeover: Duration::from_millis(6_000),
            membership_poll: Duration::from_millis(1_000),
            configuration_poll: Duration::from_millis(2_000),
            configuration_confirm: Duration::from_millis(10_000),
            peer_call_timeout: Duration::from_millis(1_000),
            shutdown_timeout: Duration::from_millis(120_000),
        }
    }
}

/// Shortest timeout of a call to the table.
const TABLE_CALL_TIMEOUT_MIN: Duration = Duration::from_millis(500);

impl Timing {
    /// Returns the timeout of a call to the table: one renewal interval, unless that is too short.
    ///
    /// An instance whose call times out then still has time to ask its peers before its owner lease
    /// expires.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let timing = jackdawchute_settings::Timing::default();
    /// assert_eq!(timing.table_call_timeout(), Duration::from_secs(1));
    /// ```
    pub fn table_call_timeout(&self) -> Duration {
        self.renewal_interval.max(TABLE_CALL_TIMEOUT_MIN)
    }
}
