//! The HTTP client of a caller.

use std::{net::SocketAddr, time::Duration};

use jackdawchute_trial::minion::Answer;
use reqwest::{Client, Response, StatusCode};

use super::{Call, Outcome, Problem};
use crate::{Error, Result};

/// How long a caller waits for the answer to a call without a deadline.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// How long after a call's deadline a caller still waits for the answer.
const DEADLINE_ALLOWANCE: Duration = Duration::from_secs(30);
/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller with its own connection pool, which its clones share.
#[derive(Clone, Debug)]
pub struct Caller {
    pub(super) client: Client,
}

impl Caller {
    /// Creates a caller without open connections.
    ///
    /// # Errors
    /// The HTTP client could not be built.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> jackdawchute_standins::Result<()> {
    /// use jackdawchute_standins::caller::{Call, Caller};
    ///
    /// let caller = Caller::new()?;
    /// let outcome = caller.call(([127, 0, 0, 1], 1).into(), &Call::get("/quotes", "t1")).await;
    /// assert!(outcome.is_not_run());
    /// # Ok(())
    /// # }
    /// ```
    pub fn new() -> Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .build();
        client.map(|client| Self { client }).map_err(|cause| {
            Error::Invalid("build HTTP client", "caller".into(), cause.to_string())
        })
    }

    /// Sends a request to an entry instance and checks the answer.
    pub async fn call(&self, entry: SocketAddr, call: &Call) -> Outcome {
        let request = self.request(entry, call);
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Outcome::NotDelivered(message_with_causes(&error))
            }
            Err(error) => return Outcome::Lost(message_with_causes(&error)),
        };
        read_outcome(call, response).await
    }

    fn request(&self, entry: SocketAddr, call: &Call) -> reqwest::RequestBuilder {
        let method = reqwest::Method::from_bytes(call.method.as_bytes()).unwrap_or_default();
        let url = format!("http://{entry}{}", call.path);
        let timeout = call
            .deadline
            .map_or(CALL_TIMEOUT, |deadline| deadline + DEADLINE_ALLOWANCE);
        let mut request = self
            .client
            .request(method, url)
            .timeout(timeout)
            .header("x-request-tag", call.tag.as_str())
            .body(call.body.clone());
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key.as_str());
        }
        if let Some(deadline) = call.deadline {
            request = request.header("request-deadline-ms", deadline.as_millis().to_string());
        }
        request
    }
}

async fn read_outcome(call: &Call, response: Response) -> Outcome {
    let status = response.status();
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => return Outcome::Lost(message_with_causes(&error)),
    };
    if !status.is_success() {
        return parse_refusal(status, &body);
    }
    match Answer::parse(&body) {
        None => Outcome::Wrong(format!(
            "body of {} bytes is not a complete answer",
            body.len()
        )),
        Some(answer) if !call.is_echoed_by(&answer.echo) => {
            Outcome::Wrong(format!("answer to another request: {:?}", answer.echo))
        }
        Some(answer) if answer.echo.tag != call.tag && call.key.is_none() => {
            Outcome::Wrong(format!("answer to the request {}", answer.echo.tag))
        }
        Some(answer) => Outcome::Answered(answer.echo),
    }
}

/// Parses the body of a refusal; any other body gives [`Outcome::Wrong`].
pub(super) fn parse_refusal(status: StatusCode, body: &[u8]) -> Outcome {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => Outcome::Refused(problem),
        Err(_) => {
            let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
            Outcome::Wrong(format!("status {status}: {text}"))
        }
    }
}

/// Returns the message of an error, followed by those of its causes.
pub(super) fn message_with_causes(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}
