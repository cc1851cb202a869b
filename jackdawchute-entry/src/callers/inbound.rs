//! A caller's request, with what its headers say.

use std::{hash::Hasher, time::Duration};

use bytes::Bytes;
use http::{header, HeaderMap, Method};
use jackdawchute_types::{Refusal, RefusalReason, RequestKey};
use twox_hash::XxHash64;

/// The header with a caller's idempotency key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// The header with how long the caller waits, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "request-deadline-ms";
/// The longest idempotency key in bytes.
const KEY_BYTES_MAX: usize = 200;
/// The longest deadline that a caller may give.
const DEADLINE_MAX: Duration = Duration::from_secs(600);
/// Separates the parts that the digest is made of.
const PART_END: u8 = 0xff;

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Inbound {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Inbound {
    /// Path and query as the minion gets them.
    pub(crate) fn path_and_query(&self) -> String {
        if self.query.is_empty() {
            self.path.clone()
        } else {
            format!("{}?{}", self.path, self.query)
        }
    }

    /// The host that the caller named.
    pub(crate) fn host(&self) -> Option<String> {
        self.headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .map(str::to_owned)
    }

    /// The caller's idempotency key.
    ///
    /// # Errors
    /// Refused if it is empty, too long or not visible ASCII.
    pub(crate) fn key(&self) -> Result<Option<RequestKey>, Refusal> {
        let Some(value) = self.headers.get(KEY_HEADER) else {
            return Ok(None);
        };
        let text = value.to_str().unwrap_or_default();
        if text.is_empty() || text.len() > KEY_BYTES_MAX {
            let detail = format!("header `{KEY_HEADER}` must have 1 to {KEY_BYTES_MAX} bytes");
            return Err(Refusal::not_run(RefusalReason::Invalid, detail));
        }
        Ok(Some(text.into()))
    }

    /// How long the caller waits.
    ///
    /// # Errors
    /// Refused if it is no whole number of milliseconds from 1 to ten minutes.
    pub(crate) fn deadline(&self) -> Result<Option<Duration>, Refusal> {
        let Some(value) = self.headers.get(DEADLINE_HEADER) else {
            return Ok(None);
        };
        let milliseconds = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok());
        let deadline = milliseconds
            .map(Duration::from_millis)
            .filter(|deadline| !deadline.is_zero() && *deadline <= DEADLINE_MAX);
        let detail = || {
            let max = DEADLINE_MAX.as_millis();
            format!("header `{DEADLINE_HEADER}` must be a whole number from 1 to {max}")
        };
        deadline
            .map(Some)
            .ok_or_else(|| Refusal::not_run(RefusalReason::Invalid, detail()))
    }

    /// A hash that tells this request from another under the same key.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = XxHash64::default();
        for part in [self.method.as_str(), &self.path, &self.query] {
            hasher.write(part.as_bytes());
            hasher.write_u8(PART_END);
        }
        hasher.write(&self.body);
        hasher.finish()
    }
}
