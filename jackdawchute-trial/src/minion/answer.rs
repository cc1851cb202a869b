//! The body of a minion's response, from which a caller can tell whether the response is complete
//! and belongs to its request.

use std::time::Duration;

use jackdawchute_types::MinionId;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use twox_hash::XxHash64;

/// The query parameter that sets the service time in milliseconds.
const SERVICE_PARAMETER: &str = "service_ms";
/// The query parameter that sets the length of the filler in bytes.
const BYTES_PARAMETER: &str = "bytes";
/// The longest filler that a minion sends, in bytes.
const ANSWER_BYTES_MAX: usize = 64 << 20;

/// The request as the minion received it, sent as JSON in the first line of the response body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The minion that served the request.
    pub minion: MinionId,
    /// The request's method.
    pub method: SmolStr,
    /// The request's path and query.
    pub path: SmolStr,
    /// The length of the request's body in bytes.
    pub body_bytes: usize,
    /// The XxHash64 of the request's body, with seed 0.
    pub body_hash: u64,
    /// The value of the header `x-request-tag`; empty without one.
    pub tag: SmolStr,
}

/// The service time and the response length that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponsePlan {
    /// How long to serve the request.
    pub duration: Duration,
    /// The length of the filler in bytes, which the response body exceeds by its first line.
    pub answer_bytes: usize,
}

impl ResponsePlan {
    /// Parses `service_ms=N` and `bytes=N` of a query; `default` is the service time if it sets none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_trial::minion::ResponsePlan;
    ///
    /// let plan = ResponsePlan::parse("service_ms=50&bytes=100", Duration::ZERO);
    /// assert_eq!(plan.duration, Duration::from_millis(50));
    /// assert_eq!(plan.answer_bytes, 100);
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

/// The body of a response: the echo on the first line, then filler that is derived from the tag.
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
    /// The request as the minion received it.
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
    /// Creates the echo of a request that `minion` received.
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
    /// Creates an answer with `length` bytes of filler.
    pub fn new(echo: Echo, length: usize) -> Self {
        Self {
            echo,
            filler_bytes: length,
        }
    }

    /// Encodes the body.
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

    /// Parses a body; `None` if it is incomplete or its filler does not match its tag.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let end = body.iter().position(|byte| *byte == b'\n')?;
        let first_line: FirstLine = serde_json::from_slice(&body[..end]).ok()?;
        let expected = filler(&first_line.echo.tag, first_line.filler_bytes);
        let is_complete = expected.eq(body[end + 1..].iter().copied());
        is_complete.then_some(Self {
            echo: first_line.echo,
            filler_bytes: first_line.filler_bytes,
        })
    }
}

/// Returns filler bytes, each of which depends on the tag and on its index.
fn filler(tag: &str, length: usize) -> impl Iterator<Item = u8> {
    let block = XxHash64::oneshot(0, tag.as_bytes()).to_be_bytes();
    (0..length).map(move |index| block[index % block.len()].wrapping_add((index / 251) as u8))
}
