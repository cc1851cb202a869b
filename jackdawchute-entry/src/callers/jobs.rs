//! Accepts jobs from callers and passes them to the owners of their home groups.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{header, HeaderMap, StatusCode};
use jackdawchute_jobs::{job_id, Call, JobStatus, Reply};
use jackdawchute_ownership::Owner;
use jackdawchute_types::{ClassId, JobId, JobSpec, Recorder, Refusal, RefusalReason, RequestKey};
use warp::reply::Response;
use xtra::prelude::*;

use super::{inbound::KEY_HEADER, problem};
use crate::{
    owner_client::JobsOwnerClient,
    routing::{shutting_down, CheckNewWork, LocateJob, OwnerMissing, RoutingTask},
    Metrics,
};

/// How long a call is repeated while the owner is not known or does not answer.
const OWNER_TIMEOUT: Duration = Duration::from_secs(15);
/// The delay before a call to the owner is repeated.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The class under which refusals of jobs without a known class are counted.
const NO_CLASS: &str = "none";

/// The jobs API for callers; clones share the tasks.
#[derive(Clone)]
pub(crate) struct JobsApi {
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) owner_client: JobsOwnerClient,
    pub(crate) metrics: Metrics,
}

impl JobsApi {
    /// Submits a job written in YAML or JSON; a refusal is answered with a problem document.
    pub(crate) async fn submit(&self, headers: &HeaderMap, body: &Bytes) -> Response {
        let spec = match parse(headers, body) {
            Ok(spec) => spec,
            Err(refusal) => return self.refuse(&ClassId::new(NO_CLASS), &refusal),
        };
        let class = spec.class.clone();
        if let Err(refusal) = self.check_new_work().await {
            return self.refuse(&class, &refusal);
        }
        let id = job_id(&spec);
        let call = Call::Submit {
            id: id.clone(),
            spec,
        };
        match self.call_home_owner(&id, call).await {
            Ok(job) => job_response(StatusCode::CREATED, &job),
            Err(refusal) => self.refuse(&class, &refusal),
        }
    }

    /// Returns the status of a job.
    pub(crate) async fn status(&self, id: JobId) -> Response {
        self.answer(&id, Call::Status { id: id.clone() }, StatusCode::OK)
            .await
    }

    /// Cancels a job and returns its status.
    pub(crate) async fn cancel(&self, id: JobId) -> Response {
        self.answer(&id, Call::Cancel { id: id.clone() }, StatusCode::ACCEPTED)
            .await
    }

    async fn answer(&self, id: &JobId, call: Call, status: StatusCode) -> Response {
        match self.call_home_owner(id, call).await {
            Ok(job) => job_response(status, &job),
            Err(refusal) => self.refuse(&ClassId::new(NO_CLASS), &refusal),
        }
    }

    fn refuse(&self, class: &ClassId, refusal: &Refusal) -> Response {
        self.metrics.refused(class, refusal.reason);
        problem::response(refusal)
    }

    /// Calls the owner of the job's home group, again while it is not reached. Every call is safe
    /// to repeat: a submission carries the job's id.
    async fn call_home_owner(&self, id: &JobId, call: Call) -> Result<JobStatus, Refusal> {
        let retry_until = Instant::now() + OWNER_TIMEOUT;
        let mut may_have_run = false;
        loop {
            let refusal = match self.locate(id).await {
                Ok(owner) => match self.owner_client.call(&owner, call.clone()).await {
                    Ok(Ok(Reply::Job(job))) => return Ok(job),
                    Ok(Ok(_)) => unanswered(may_have_run),
                    Ok(Err(refusal)) => refusal,
                    Err(error) => {
                        may_have_run |= !error.is_undelivered();
                        unanswered(may_have_run)
                    }
                },
                Err(refusal) => refusal,
            };
            if refusal.reason != RefusalReason::OwnerUnavailable || Instant::now() >= retry_until {
                return Err(refusal);
            }
            let _handled = self.routing.send(OwnerMissing).detach().await;
            tokio::time::sleep(OWNER_RETRY_DELAY).await;
        }
    }

    async fn check_new_work(&self) -> Result<(), Refusal> {
        let answer = self.routing.send(CheckNewWork).await;
        answer.unwrap_or_else(|_| Err(shutting_down()))
    }

    async fn locate(&self, id: &JobId) -> Result<Owner, Refusal> {
        let located = self.routing.send(LocateJob(id.clone())).await;
        Ok(located.map_err(|_| shutting_down())??.owner)
    }
}

fn unanswered(may_have_run: bool) -> Refusal {
    let detail = "the owner of the job's home group did not answer";
    if may_have_run {
        Refusal::unknown(RefusalReason::OwnerUnavailable, detail)
    } else {
        Refusal::not_run(RefusalReason::OwnerUnavailable, detail)
    }
}

/// Reads and checks a job; if the job has no idempotency key, that of the header is used.
fn parse(headers: &HeaderMap, body: &Bytes) -> Result<JobSpec, Refusal> {
    let invalid = |problem: String| Refusal::not_run(RefusalReason::Invalid, problem);
    let content_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let mut spec: JobSpec = if content_type.is_some_and(|text| text.contains("json")) {
        serde_json::from_slice(body).map_err(|error| invalid(error.to_string()))?
    } else {
        let text = std::str::from_utf8(body).map_err(|error| invalid(error.to_string()))?;
        jackdawchute_yaml::parse_first(text).map_err(|problem| invalid(problem.to_string()))?
    };
    if spec.idempotency_key.is_none() {
        let key = headers
            .get(KEY_HEADER)
            .and_then(|value| value.to_str().ok());
        spec.idempotency_key = key.map(RequestKey::new);
    }
    spec.check().map_err(|error| invalid(error.to_string()))?;
    Ok(spec)
}

fn job_response(status: StatusCode, job: &JobStatus) -> Response {
    let reply = warp::reply::with_status(warp::reply::json(job), status);
    warp::Reply::into_response(reply)
}
