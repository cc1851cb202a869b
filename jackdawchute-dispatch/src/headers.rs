//! Selection of the headers that are forwarded between callers and minions.

use http::{header, HeaderMap, HeaderName};

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
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

/// Returns the end-to-end headers, without those that apply to a single connection.
///
/// ```
/// use http::{header, HeaderMap, HeaderValue};
///
/// let mut headers = HeaderMap::new();
/// headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
/// headers.insert(header::ACCEPT, HeaderValue::from_static("text/plain"));
/// let forwarded = jackdawchute_dispatch::end_to_end(&headers);
/// assert_eq!(forwarded.len(), 1);
/// ```
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut end_to_end = headers.clone();
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&connection_options) {
        end_to_end.remove(name);
    }
    end_to_end.remove("keep-alive");
    end_to_end
}
