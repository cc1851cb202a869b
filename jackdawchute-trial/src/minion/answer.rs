//! What a minion answers, so that a caller can tell whether an answer is whole and its own.

use std::time::Duration;

use jackdawchute_types::MinionId;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use twox_hash::XxHash64;

/// The query parameter that sets the service time in milliseconds.
const SERVICE_PARAMETER: &str = "service_ms";
/// The query parameter that sets the length of the answer's body in bytes.
const BYTES_PARAMETER: &str = "bytes";
/// The longest body that a minion answers with, in bytes.
const ANSWER_BYTES_MAX: usize = 64 << 20;

/// The request as the minion saw it: the first line of the answer, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The minion that answered.
    pub minion: MinionId,
    /// The request's method.
    pub method: SmolStr,
    /// The request's path and query.
    pub path: SmolStr,
    /// The length of the request's body.
    pub body_bytes: usize,
    /// The XxHash64 of the request's body.
    pub body_hash: u64,
    /// The header `x-request-tag`, or empty.
    pub tag: SmolStr,
}

/// How long to serve a request and how much to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTime {
    /// The service time.
    pub duration: Duration,
    /// The least length of the answer's body in bytes.
    pub answer_bytes: usize,
}

impl ServiceTime {
    /// Reads `service_ms=N` and `bytes=N` from a query; `default` holds without the first.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_trial::minion::ServiceTime;
    ///
    /// let service = ServiceTime::parse("service_ms=50&bytes=100", Duration::ZERO);
    /// assert_eq!(service.duration, Duration::from_millis(50));
    /// assert_eq!(service.answer_bytes, 100);
    /// ```
    pub fn parse(query: &str, default: Duration) -> Self {
        let number = |name: &str| -> Option<u64> {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let answer_bytes = number(BYTES_PARAMETER).and_then(|bytes| usize::try_from(bytes).ok());
        Self {
            duration: number(SERVICE_PARAMETER).map_or(default, Duration::from_millis),
            answer_bytes: answer_bytes.unwrap_or(0).min(ANSWER_BYTES_MAX),
        }
    }
}

/// An answer's body: the echo on one line, then filler that only this request's tag gives.
///
/// ```
/// use jackdawchute_trial::minion::{Answer, Echo};
///
/// let echo = Echo::new("m1".into(), "GET", "/quote", b"", "tag-7");
/// let body = Answer::new(echo.clone(), 1_000).to_bytes();
/// assert_eq!(Answer::parse(&body).unwrap().echo, echo);
/// assert!(Answer::parse(&body[..999]).is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request as the minion saw it.
    pub echo: Echo,
    /// The length of the filler in bytes.
    pub filler_bytes: usize,
}

#[derive(Serialize, Deserialize)]
struct FirstLine {
    #[serde(flatten)]
    echo: Echo,
    filler_bytes: usize,
}

impl Echo {
    /// Describes a request.
    pub fn new(minion: MinionId, method: &str, path: &str, body: &[u8], tag: &str) -> Self {
        Self {
            minion,
            method: method.into(),
            path: path.into(),
            body_bytes: body.len(),
            body_hash: XxHash64::oneshot(0, body),
            tag: tag.into(),
        }
    }
}

impl Answer {
    /// An answer with at least `bytes` of filler.
    pub fn new(echo: Echo, bytes: usize) -> Self {
        Self {
            echo,
            filler_bytes: bytes,
        }
    }

    /// The body.
    pub fn to_bytes(&self) -> Vec<u8> {
        let first_line = FirstLine {
            echo: self.echo.clone(),
            filler_bytes: self.filler_bytes,
        };
        let mut body = serde_json::to_vec(&first_line).unwrap_or_default();
        body.push(b'\n');
        body.extend(filler(&self.echo.tag, self.filler_bytes));
        body
    }

    /// Reads a body; `None` unless it is whole and its filler belongs to its tag.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let end = body.iter().position(|byte| *byte == b'\n')?;
        let first_line: FirstLine = serde_json::from_slice(&body[..end]).ok()?;
        let expected = filler(&first_line.echo.tag, first_line.filler_bytes);
        let is_whole = expected.eq(body[end + 1..].iter().copied());
        is_whole.then_some(Self {
            echo: first_line.echo,
            filler_bytes: first_line.filler_bytes,
        })
    }
}

/// Bytes that depend on the tag and on their place.
fn filler(tag: &str, bytes: usize) -> impl Iterator<Item = u8> {
    let block = XxHash64::oneshot(0, tag.as_bytes()).to_be_bytes();
    (0..bytes).map(move |index| block[index % block.len()].wrapping_add((index / 251) as u8))
}
