//! A client of the callers' HTTP API of an instance.

use std::{net::SocketAddr, time::Duration};

use jackdawchute_jobs::JobStatus;
use jackdawchute_types::{JobId, RefusalReason};
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;

use crate::{Error, Result};

/// The timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The fields of a problem document (RFC 9457) that are shown.
#[derive(Debug, Deserialize)]
struct Problem {
    detail: String,
    reason: RefusalReason,
}

/// A client of the callers' API of one instance.
pub(crate) struct CallersApi {
    client: Client,
    address: SocketAddr,
}

impl CallersApi {
    /// Creates a client of the instance whose callers' listener is at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let client = Client::builder().timeout(CALL_TIMEOUT).no_proxy().build();
        Self {
            client: client.unwrap_or_default(),
            address,
        }
    }

    /// Submits a job written in YAML or JSON and returns its status.
    pub(crate) async fn submit(&self, text: String) -> Result<JobStatus> {
        self.job(
            "submit job",
            self.client.post(self.url("/v1/jobs")).body(text),
        )
        .await
    }

    /// Returns the status of a job.
    pub(crate) async fn status(&self, id: &JobId) -> Result<JobStatus> {
        let request = self.client.get(self.url(&format!("/v1/jobs/{id}")));
        self.job("ask for job", request).await
    }

    /// Cancels a job and returns its status.
    pub(crate) async fn cancel(&self, id: &JobId) -> Result<JobStatus> {
        let request = self.client.delete(self.url(&format!("/v1/jobs/{id}")));
        self.job("cancel job", request).await
    }

    /// Returns a request to a service, ready to be completed and sent.
    pub(crate) fn request(&self, method: reqwest::Method, path: &str) -> RequestBuilder {
        self.client.request(method, self.url(path))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends a call of the jobs API; `step` names it in errors.
    async fn job(&self, step: &'static str, request: RequestBuilder) -> Result<JobStatus> {
        let failed =
            |error: reqwest::Error| Error::Call(step, self.address.to_string(), error.to_string());
        let response = request.send().await.map_err(failed)?;
        if !response.status().is_success() {
            return Err(refused(step, response).await);
        }
        response.json().await.map_err(failed)
    }
}

/// Returns the error for a refused call, from its problem document if it has one.
async fn refused(step: &'static str, response: Response) -> Error {
    let status = response.status();
    match response.json::<Problem>().await {
        Ok(problem) => Error::Refused(step, format!("{}: {}", problem.reason, problem.detail)),
        Err(_) => Error::Refused(step, status.to_string()),
    }
}
