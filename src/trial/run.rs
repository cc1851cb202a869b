//! Sends the example input to the cell and compares the outcomes with the expected ones.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_jobs::JobStatus;
use jackdawchute_trial::minion::Answer;
use jackdawchute_types::{JobState, RequestKey};

use super::{
    cell::Cell,
    input::{self, ExampleJob, ExampleRequest, Input},
};
use crate::{http_api::CallersApi, Error, Result};

/// How long the cell may take until all instances are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a job may take to reach its state.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);
/// The time between two calls for a readiness or a job's status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The response header with the time that a request waited for its slot, in milliseconds.
const WAITED_HEADER: &str = "jackdawchute-waited-ms";

/// The outcome of a request, a job or a check, printed as one line.
struct Outcome {
    name: String,
    as_expected: bool,
    detail: String,
}

/// Runs the example in a new cell.
///
/// # Errors
/// The cell did not start, or an outcome is not as expected.
pub(crate) async fn run() -> Result<()> {
    let input = input::example()?;
    println!("starting a cell: 2 instances, 4 minions, 4 workers on loopback");
    let cell = Cell::start().await?;
    wait_until_ready(&cell.operators()).await?;
    println!("ready");
    let mut outcomes = send_requests(&cell, &input).await;
    outcomes.extend(run_jobs(&cell, &input).await);
    outcomes.extend(check_records(&cell, &input).await?);
    for instance in cell.instances {
        instance.shut_down().await;
    }
    let failed = outcomes
        .iter()
        .filter(|outcome| !outcome.as_expected)
        .count();
    println!(
        "{} of {} as expected",
        outcomes.len() - failed,
        outcomes.len()
    );
    if failed > 0 {
        return Err(Error::Unexpected(failed));
    }
    Ok(())
}

async fn wait_until_ready(operators: &[SocketAddr]) -> Result<()> {
    let client = reqwest::Client::new();
    let deadline = Instant::now() + READY_TIMEOUT;
    for address in operators {
        loop {
            let answer = client.get(format!("http://{address}/readyz")).send().await;
            if answer.is_ok_and(|response| response.status().is_success()) {
                break;
            }
            if Instant::now() > deadline {
                let cause = "not ready in time".to_owned();
                return Err(Error::Call(
                    "wait for readiness",
                    address.to_string(),
                    cause,
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn send_requests(cell: &Cell, input: &Input) -> Vec<Outcome> {
    let callers = cell.callers();
    let mut outcomes = Vec::new();
    for (index, request) in input.requests.iter().enumerate() {
        let api = CallersApi::new(callers[index % callers.len()]);
        let outcome = match send_request(&api, request).await {
            Ok(detail) => Outcome {
                name: request.name.clone(),
                as_expected: true,
                detail,
            },
            Err(error) => failed_outcome(&request.name, error.to_string()),
        };
        outcomes.push(print(outcome));
    }
    outcomes
}

/// Sends a request and checks that the response is the whole one for this request.
async fn send_request(api: &CallersApi, example: &ExampleRequest) -> Result<String> {
    let method = example.method.parse().unwrap_or(reqwest::Method::GET);
    let mut request = api
        .request(method, &example.path)
        .body(example.body.clone());
    request = request.header("x-request-tag", &example.name);
    if let Some(key) = &example.key {
        request = request.header("idempotency-key", key);
    }
    let started = Instant::now();
    let failed = |error: reqwest::Error| {
        Error::Call("send request", example.path.clone(), error.to_string())
    };
    let response = request.send().await.map_err(failed)?;
    let status = response.status();
    let waited = response
        .headers()
        .get(WAITED_HEADER)
        .and_then(|value| value.to_str().ok());
    let waited = waited.unwrap_or("-").to_owned();
    let body = response.bytes().await.map_err(failed)?;
    let total = started.elapsed().as_millis();
    if !status.is_success() {
        return Err(Error::Refused(
            "send request",
            String::from_utf8_lossy(&body).into_owned(),
        ));
    }
    let is_own_answer = Answer::parse(&body).is_some_and(|answer| {
        answer.echo.body_bytes == example.body.len() && answer.echo.path == example.path
    });
    if !is_own_answer {
        return Err(Error::Refused(
            "check answer",
            "it is not whole or another's".to_owned(),
        ));
    }
    Ok(format!(
        "{status}, {} bytes, waited {waited} ms, total {total} ms",
        body.len()
    ))
}

async fn run_jobs(cell: &Cell, input: &Input) -> Vec<Outcome> {
    let callers = cell.callers();
    let mut outcomes = Vec::new();
    for (index, example) in input.jobs.iter().enumerate() {
        let api = CallersApi::new(callers[index % callers.len()]);
        let outcome = match run_job(&api, example).await {
            Ok(job) => Outcome {
                name: example.name.clone(),
                as_expected: job.state == example.ends,
                detail: format!("{:?}, waited {} ms", job.state, job.waiting_ms),
            },
            Err(error) => failed_outcome(&example.name, error.to_string()),
        };
        outcomes.push(print(outcome));
    }
    outcomes
}

/// Submits a job and polls it until it has the expected state, has ended or the time is up.
async fn run_job(api: &CallersApi, example: &ExampleJob) -> Result<JobStatus> {
    let text = serde_json::to_string(&example.job).unwrap_or_default();
    let mut job = api.submit(text).await?;
    let deadline = Instant::now() + JOB_TIMEOUT;
    while job.state != example.ends && !has_ended(job.state) && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        job = api.status(&job.id).await?;
    }
    if example.ends == JobState::Running {
        api.cancel(&job.id).await?;
    }
    Ok(job)
}

fn has_ended(state: JobState) -> bool {
    !matches!(state, JobState::Queued | JobState::Running)
}

/// Checks the records of minions and workers: slots, sizes, and how often each key ran.
async fn check_records(cell: &Cell, input: &Input) -> Result<Vec<Outcome>> {
    let mut outcomes = Vec::new();
    let mut records = Vec::new();
    for minion in &cell.minions {
        records.push(minion.record().await?);
    }
    let within = records.iter().all(|record| record.is_within_slots());
    outcomes.push(print(check_outcome("no minion beyond its slots", within)));
    let mut within = true;
    for worker in &cell.workers {
        within &= worker.record().await?.is_within_size();
    }
    outcomes.push(print(check_outcome("no worker beyond its size", within)));
    for request in &input.requests {
        let (Some(key), Some(expected)) = (&request.key, request.runs) else {
            continue;
        };
        let key = RequestKey::new(key);
        let runs = records
            .iter()
            .filter_map(|record| record.runs_per_key().get(&key).copied());
        let name = format!("key {key} ran {expected} time");
        outcomes.push(print(check_outcome(&name, runs.sum::<u32>() == expected)));
    }
    Ok(outcomes)
}

fn check_outcome(name: &str, passed: bool) -> Outcome {
    Outcome {
        name: name.to_owned(),
        as_expected: passed,
        detail: String::new(),
    }
}

fn failed_outcome(name: &str, detail: String) -> Outcome {
    Outcome {
        name: name.to_owned(),
        as_expected: false,
        detail,
    }
}

fn print(outcome: Outcome) -> Outcome {
    let mark = if outcome.as_expected { "ok  " } else { "FAIL" };
    println!("{mark} {:<36} {}", outcome.name, outcome.detail);
    outcome
}
