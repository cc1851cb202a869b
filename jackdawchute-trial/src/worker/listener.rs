//! A worker's HTTP listener.

use std::net::SocketAddr;

use jackdawchute_ports::StartTask;
use jackdawchute_types::{Resources, WorkerId};
use serde::Serialize;
use warp::{http::StatusCode, Filter, Rejection, Reply};
use xtra::prelude::*;

use super::{ReadRecord, ReadReport, Renew, Start, Stop, WorkerRecord, WorkerTask};
use crate::{listener::ANY_LOOPBACK_PORT, Error, Listening, Result};

/// The longest body that a worker reads, in bytes.
const BODY_BYTES_MAX: u64 = 4 << 20;

/// How to start a worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Its id.
    pub id: WorkerId,
    /// What it has.
    pub resources: Resources,
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
}

impl WorkerOptions {
    /// A worker on loopback at a port that the system chooses.
    pub fn new(id: impl Into<WorkerId>, resources: Resources) -> Self {
        Self {
            id: id.into(),
            resources,
            listen: ANY_LOOPBACK_PORT,
        }
    }
}

/// A worker that listens; dropping it ends the listener and all its tasks.
#[derive(Debug)]
pub struct RunningWorker {
    /// Where it listens.
    pub address: SocketAddr,
    /// The task that owns its state.
    pub task: Address<WorkerTask>,
    _listening: Listening,
}

impl RunningWorker {
    /// What truly ran on it.
    ///
    /// # Errors
    /// The worker's task has ended.
    pub async fn record(&self) -> Result<WorkerRecord> {
        self.task
            .send(ReadRecord)
            .await
            .map_err(|_| Error::Ended("read record", self.address.to_string()))
    }
}

/// Starts a worker.
///
/// # Errors
/// The address could not be bound.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> jackdawchute_trial::Result<()> {
/// use jackdawchute_trial::{spawn_worker, WorkerOptions};
/// use jackdawchute_types::Resources;
///
/// let worker = spawn_worker(WorkerOptions::new("w1", Resources::new(32_000, 131_072, 0))).await?;
/// assert!(worker.record().await?.runs.is_empty());
/// # Ok(())
/// # }
/// ```
pub async fn spawn_worker(options: WorkerOptions) -> Result<RunningWorker> {
    let task = xtra::spawn_tokio(
        WorkerTask::new(options.id, options.resources),
        Mailbox::unbounded(),
    );
    let listening = Listening::bind(options.listen, routes(task.clone())).await?;
    Ok(RunningWorker {
        address: listening.address(),
        task,
        _listening: listening,
    })
}

/// The worker's HTTP paths.
pub fn routes(
    task: Address<WorkerTask>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let with_task = warp::any().map(move || task.clone());
    let start = warp::path!("v1" / "start")
        .and(warp::post())
        .and(warp::body::content_length_limit(BODY_BYTES_MAX))
        .and(warp::body::json::<StartTask>().map(Start))
        .and(with_task.clone())
        .then(ask::<Start>);
    let renew = warp::path!("v1" / "renew")
        .and(warp::post())
        .and(warp::body::content_length_limit(BODY_BYTES_MAX))
        .and(warp::body::json::<Renew>())
        .and(with_task.clone())
        .then(tell::<Renew>);
    let stop = warp::path!("v1" / "stop")
        .and(warp::post())
        .and(warp::body::content_length_limit(BODY_BYTES_MAX))
        .and(warp::body::json::<Stop>())
        .and(with_task.clone())
        .then(tell::<Stop>);
    let report = warp::path!("v1" / "report")
        .and(warp::get())
        .map(|| ReadReport)
        .and(with_task)
        .then(ask::<ReadReport>);
    start.or(renew).or(stop).or(report)
}

/// Sends a message and answers with what its handler returns.
async fn ask<M>(message: M, task: Address<WorkerTask>) -> warp::reply::Response
where
    M: Send + 'static,
    WorkerTask: Handler<M>,
    <WorkerTask as Handler<M>>::Return: Serialize,
{
    match task.send(message).await {
        Ok(answer) => warp::reply::json(&answer).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Sends a message and answers with an empty object.
async fn tell<M>(message: M, task: Address<WorkerTask>) -> warp::reply::Response
where
    M: Send + 'static,
    WorkerTask: Handler<M, Return = ()>,
{
    match task.send(message).await {
        Ok(()) => warp::reply::json(&serde_json::json!({})).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
