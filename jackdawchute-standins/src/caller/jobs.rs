//! Calls that submit, read and cancel jobs.

use std::net::SocketAddr;

use jackdawchute_jobs::JobStatus;
use jackdawchute_types::JobSpec;
use reqwest::RequestBuilder;

use super::{
    client::{message_with_causes, parse_refusal, CALL_TIMEOUT},
    Caller, Outcome,
};

impl Caller {
    /// Submits a job and returns its status.
    ///
    /// # Errors
    /// The outcome of a call that returned no status.
    pub async fn submit(&self, entry: SocketAddr, job: &JobSpec) -> Result<JobStatus, Outcome> {
        let url = format!("http://{entry}/v1/jobs");
        job_status(self.client.post(url).json(job)).await
    }

    /// Reads the status of a job.
    ///
    /// # Errors
    /// The outcome of a call that returned no status.
    pub async fn job(&self, entry: SocketAddr, id: &str) -> Result<JobStatus, Outcome> {
        let url = format!("http://{entry}/v1/jobs/{id}");
        job_status(self.client.get(url)).await
    }

    /// Cancels a job and returns its status.
    ///
    /// # Errors
    /// The outcome of a call that returned no status.
    pub async fn cancel(&self, entry: SocketAddr, id: &str) -> Result<JobStatus, Outcome> {
        let url = format!("http://{entry}/v1/jobs/{id}");
        job_status(self.client.delete(url)).await
    }
}

async fn job_status(request: RequestBuilder) -> Result<JobStatus, Outcome> {
    let response = request
        .timeout(CALL_TIMEOUT)
        .send()
        .await
        .map_err(|error| {
            if error.is_connect() {
                Outcome::NotDelivered(message_with_causes(&error))
            } else {
                Outcome::Lost(message_with_causes(&error))
            }
        })?;
    let status = response.status();
    let body = response
        .bytes()
        .await
        .map_err(|error| Outcome::Lost(message_with_causes(&error)))?;
    if !status.is_success() {
        return Err(parse_refusal(status, &body));
    }
    serde_json::from_slice(&body).map_err(|error| Outcome::Wrong(error.to_string()))
}
