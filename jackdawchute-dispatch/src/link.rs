//! The task that owns the connections to one minion.

use std::time::{Duration, Instant};

use reqwest::Client;
use xtra::prelude::*;

use crate::{end_to_end, relay, Answer, Error, Options, Outgoing, Result, SendRequest};

/// How long an idle connection is kept open.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Owns the connections to one minion.
#[derive(Debug, xtra::Actor)]
pub(crate) struct LinkTask {
    client: Client,
}

impl LinkTask {
    pub(crate) fn new(options: Options) -> Self {
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(options.connect_timeout)
            .pool_max_idle_per_host(options.idle_connections)
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build();
        Self {
            client: client.unwrap_or_default(),
        }
    }
}

impl Handler<SendRequest> for LinkTask {
    type Return = ();

    async fn handle(&mut self, request: SendRequest, _context: &mut Context<Self>) {
        let client = self.client.clone();
        tokio::spawn(async move {
            let SendRequest {
                address,
                send_by,
                answer_by,
                request,
                reply,
                ..
            } = request;
            let peer = address.to_string();
            let answer = send(client, &peer, send_by, answer_by, request).await;
            let _ = reply.send(answer);
        });
    }
}

async fn send(
    client: Client,
    peer: &str,
    send_by: Instant,
    answer_by: Instant,
    outgoing: Outgoing,
) -> Result<Answer> {
    let url = format!("http://{peer}{}", outgoing.path_and_query);
    let mut headers = outgoing.headers;
    headers.remove(http::header::CONTENT_LENGTH);
    let request = client
        .request(outgoing.method, url)
        .headers(headers)
        .body(outgoing.body)
        .build()
        .map_err(|error| Error::Connect(peer.to_owned(), error.to_string()))?;
    if Instant::now() >= send_by {
        return Err(Error::GrantExpired(peer.to_owned()));
    }
    let time_left = answer_by.saturating_duration_since(Instant::now());
    let response = tokio::time::timeout(time_left, client.execute(request))
        .await
        .map_err(|_| Error::AnswerLost(peer.to_owned(), "no answer in time".to_owned()))?
        .map_err(|error| convert_error(peer, &error))?;
    let status = response.status();
    let headers = end_to_end(response.headers());
    let (body, done) = relay::start(response, peer.to_owned(), answer_by);
    Ok(Answer {
        status,
        headers,
        body,
        done,
    })
}

/// Converts an error of the HTTP client. Only a failed connection attempt proves that nothing was
/// sent.
fn convert_error(peer: &str, error: &reqwest::Error) -> Error {
    if error.is_connect() {
        Error::Connect(peer.to_owned(), error.to_string())
    } else {
        Error::AnswerLost(peer.to_owned(), error.to_string())
    }
}
