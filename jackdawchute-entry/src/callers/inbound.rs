//! A caller's request and the headers that this instance interprets.

use std::{hash::Hasher, time::Duration};

use bytes::Bytes;
use http::{header, HeaderMap, Method};
use jackdawchute_types::{Refusal, RefusalReason, RequestKey};
use twox_hash::XxHash64;

/// The request header with the caller's idempotency key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// The request header with the caller's deadline, in milliseconds from the arrival.
pub(crate) const DEADLINE_HEADER: &str = "request-deadline-ms";
/// The maximum length of an idempotency key in bytes.
const KEY_BYTES_MAX: usize = 200;
/// The longest deadline that a caller may give.
const DEADLINE_MAX: Duration = Duration::from_secs(600);
/// Ends each text field of the digest; the byte never occurs in UTF-8.
const FIELD_SEPARATOR: u8 = 0xff;

/// A caller's request with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct Inbound {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Inbound {
    /// Returns the path and query to send to the minion.
    pub(crate) fn path_and_query(&self) -> String {
        if self.query.is_empty() {
            self.path.clone()
        } else {
            format!("{}?{}", self.path, self.query)
        }
    }

    /// Returns the `Host` header, or `None` if it is missing or not visible ASCII.
    pub(crate) fn host(&self) -> Option<String> {
        self.headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .map(str::to_owned)
    }

    /// Returns the caller's idempotency key, if there is one.
    ///
    /// # Errors
    /// Refused if the key is empty, too long or not visible ASCII.
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

    /// Returns the deadline that the caller gave, counted from the arrival.
    ///
    /// # Errors
    /// Refused unless the header is a whole number of milliseconds, from 1 ms to [`DEADLINE_MAX`].
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

    /// Returns a hash of method, path, query and body, which detects the reuse of a key for another
    /// request.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = XxHash64::default();
        for part in [self.method.as_str(), &self.path, &self.query] {
            hasher.write(part.as_bytes());
            hasher.write_u8(FIELD_SEPARATOR);
        }
        hasher.write(&self.body);
        hasher.finish()
    }
}
