//! Which headers pass through.

use http::{header, HeaderMap, HeaderName};

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Copies the headers that are meant for the other end, not for one connection.
///
/// ```
/// use http::{header, HeaderMap, HeaderValue};
///
/// let mut headers = HeaderMap::new();
/// headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
/// headers.insert(header::ACCEPT, HeaderValue::from_static("text/plain"));
/// let passed = jackdawchute_dispatch::end_to_end(&headers);
/// assert_eq!(passed.len(), 1);
/// ```
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept
}
