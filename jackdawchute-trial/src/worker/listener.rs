//! The HTTP listener of a worker.

use std::net::SocketAddr;

use jackdawchute_ports::StartTask;
use jackdawchute_types::{Resources, WorkerId};
use serde::Serialize;
use warp::{http::StatusCode, Filter, Rejection, Reply};
use xtra::prelude::*;

use super::{ReadRecord, ReadReport, Renew, Start, Stop, WorkerRecord, WorkerTask};
use crate::{listener::ANY_LOOPBACK_PORT, Error, Listening, Result};

/// The longest request body that a worker accepts, in bytes.
const BODY_BYTES_MAX: u64 = 4 << 20;

/// The options of a worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// The worker's id.
    pub id: WorkerId,
    /// The worker's total resources.
    pub resources: Resources,
    /// The address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
}

impl WorkerOptions {
    /// Returns options for a worker on loopback, at a port that the system chooses.
    pub fn new(id: impl Into<WorkerId>, resources: Resources) -> Self {
        Self {
            id: id.into(),
            resources,
            listen: ANY_LOOPBACK_PORT,
        }
    }
}

/// A running worker; dropping it closes the listener and ends all its tasks.
#[derive(Debug)]
pub struct RunningWorker {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The task that owns the worker's state.
    pub task: Address<WorkerTask>,
    _listening: Listening,
}

impl RunningWorker {
    /// Returns the record of every run on it.
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

/// Starts a worker and its listener.
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

/// Returns the routes of a worker: `start`, `renew`, `stop` and `report` under `/v1`.
pub fn routes(
    task: Address<WorkerTask>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let with_task = warp::any().map(move || task.clone());
    let start = warp::path!("v1" / "start")
        .and(warp::post())
        .and(warp::body::content_length_limit(BODY_BYTES_MAX))
        .and(warp::body::json::<StartTask>().map(Start))
        .and(with_task.clone())
        .then(respond_with_reply::<Start>);
    let renew = warp::path!("v1" / "renew")
        .and(warp::post())
        .and(warp::body::content_length_limit(BODY_BYTES_MAX))
        .and(warp::body::json::<Renew>())
        .and(with_task.clone())
        .then(respond_empty::<Renew>);
    let stop = warp::path!("v1" / "stop")
        .and(warp::post())
        .and(warp::body::content_length_limit(BODY_BYTES_MAX))
        .and(warp::body::json::<Stop>())
        .and(with_task.clone())
        .then(respond_empty::<Stop>);
    let report = warp::path!("v1" / "report")
        .and(warp::get())
        .map(|| ReadReport)
        .and(with_task)
        .then(respond_with_reply::<ReadReport>);
    start.or(renew).or(stop).or(report)
}

/// Sends a message to the worker task and responds with its reply as JSON.
async fn respond_with_reply<M>(message: M, task: Address<WorkerTask>) -> warp::reply::Response
where
    M: Send + 'static,
    WorkerTask: Handler<M>,
    <WorkerTask as Handler<M>>::Return: Serialize,
{
    match task.send(message).await {
        Ok(reply) => warp::reply::json(&reply).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Sends a message to the worker task and responds with an empty JSON object.
async fn respond_empty<M>(message: M, task: Address<WorkerTask>) -> warp::reply::Response
where
    M: Send + 'static,
    WorkerTask: Handler<M, Return = ()>,
{
    match task.send(message).await {
        Ok(()) => warp::reply::json(&serde_json::json!({})).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
