//! Serializes durations as whole milliseconds; their keys have the suffix `_ms`.

/// Returns a duration in whole milliseconds, rounded down and saturating at `u64::MAX`.
///
/// ```
/// use std::time::Duration;
///
/// assert_eq!(jackdawchute_types::whole_ms(Duration::from_micros(1_999)), 1);
/// assert_eq!(jackdawchute_types::whole_ms(Duration::MAX), u64::MAX);
/// ```
pub fn whole_ms(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Serializes fields of type `Duration`: `#[serde(with = "duration_ms", rename = "timeout_ms")]`.
pub mod duration_ms {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes whole milliseconds.
    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(super::whole_ms(*value))
    }

    /// Reads whole milliseconds.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}

/// Serializes fields of type `Option<Duration>`; needs `#[serde(default)]` on the field too.
pub mod optional_duration_ms {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes whole milliseconds or null.
    pub fn serialize<S: Serializer>(
        value: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match value {
            Some(duration) => super::duration_ms::serialize(duration, serializer),
            None => serializer.serialize_none(),
        }
    }

    /// Reads whole milliseconds or null.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(Duration::from_millis))
    }
}
