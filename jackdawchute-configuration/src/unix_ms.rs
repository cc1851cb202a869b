//! Serializes wall-clock times as milliseconds since the Unix epoch.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Deserializer, Serializer};

pub(crate) fn serialize<S: Serializer>(
    time: &SystemTime,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    serializer.serialize_u64(jackdawchute_types::whole_ms(since_epoch))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<SystemTime, D::Error> {
    let since_epoch = Duration::from_millis(u64::deserialize(deserializer)?);
    UNIX_EPOCH
        .checked_add(since_epoch)
        .ok_or_else(|| serde::de::Error::custom("is too far in the future"))
}
