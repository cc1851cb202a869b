//! Periods and timeouts of one process.

use std::time::Duration;

use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// Periods and timeouts; in YAML each is in milliseconds with the suffix `_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// The time between two renewals of the instance's row in the table.
    #[serde(with = "duration_ms", rename = "renewal_interval_ms")]
    pub renewal_interval: Duration,
    /// How long after its last confirmed renewal the instance acts as an owner.
    #[serde(with = "duration_ms", rename = "lease_ms")]
    pub lease: Duration,
    /// How long a peer's row must stand still before its groups are taken over.
    #[serde(with = "duration_ms", rename = "takeover_ms")]
    pub takeover: Duration,
    /// The time between two reads of the membership list.
    #[serde(with = "duration_ms", rename = "membership_poll_ms")]
    pub membership_poll: Duration,
    /// The time between two reads of the configuration's version.
    #[serde(with = "duration_ms", rename = "configuration_poll_ms")]
    pub configuration_poll: Duration,
    /// How long the instance takes new work without a confirmation of its configuration.
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

/// The shortest time that a call to the table is given.
const TABLE_CALL_TIMEOUT_MIN: Duration = Duration::from_millis(500);

impl Timing {
    /// How long a call to the table may take: one renewal interval, so that an instance that gets
    /// no answer has asked its peers before its lease runs out.
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
