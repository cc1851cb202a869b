//! The HTTP listeners of the table.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::{Ipv4Addr, SocketAddr},
};

use jackdawchute_ports::RowVersion;
use jackdawchute_trial::Listening;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use warp::{http::StatusCode, hyper::body::Bytes, reply::Response, Filter, Rejection, Reply};
use xtra::prelude::*;

use super::{
    Admit, Availability, ClientId, CommitRows, LoseAnswer, Operation, ReadCounts, ReadRow,
    ScanRows, SetFaults, TableCounts, TableFaults, TableTask,
};
use crate::{no_response::withhold_response, Error, Result};

/// The longest request body that the table accepts, in bytes.
const BODY_BYTES_MAX: u64 = 64 << 20;

/// A running table; dropping it closes its listeners.
#[derive(Debug)]
pub struct RunningTable {
    /// The task that owns the rows, the faults and the counts.
    pub task: Address<TableTask>,
    listeners: BTreeMap<ClientId, Listening>,
}

impl RunningTable {
    /// Returns the address of a client's listener; `None` if the table has no such client.
    pub fn address(&self, client: &str) -> Option<SocketAddr> {
        self.listeners.get(client).map(Listening::address)
    }

    /// Sets the faults of one client; `None` sets those of all.
    ///
    /// # Errors
    /// The table's task has ended.
    pub async fn set_faults(&self, client: Option<ClientId>, faults: TableFaults) -> Result<()> {
        self.task
            .send(SetFaults { client, faults })
            .await
            .map_err(|_| Error::Ended("set faults", "table".into()))
    }

    /// Returns the counts of each client.
    ///
    /// # Errors
    /// The table's task has ended.
    pub async fn counts(&self) -> Result<BTreeMap<ClientId, TableCounts>> {
        self.task
            .send(ReadCounts)
            .await
            .map_err(|_| Error::Ended("read counts", "table".into()))
    }
}

/// Starts an empty table with a loopback listener for each of `clients`.
///
/// # Errors
/// A listener could not be bound.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// use jackdawchute_ports::{HttpTable, Table};
/// use jackdawchute_standins::table::spawn_table;
///
/// let table = spawn_table(&["entry-1".into()]).await?;
/// let client = HttpTable::new(table.address("entry-1").ok_or("no such client")?);
/// assert_eq!(client.read("a").await?, None);
/// # Ok(())
/// # }
/// ```
pub async fn spawn_table(clients: &[ClientId]) -> Result<RunningTable> {
    let task = xtra::spawn_tokio(TableTask::new(clients), Mailbox::unbounded());
    let mut listeners = BTreeMap::new();
    for client in clients {
        let address = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let listening = Listening::bind(address, routes(client.clone(), task.clone())).await?;
        listeners.insert(client.clone(), listening);
    }
    Ok(RunningTable { task, listeners })
}

#[derive(Deserialize)]
struct ScanQuery {
    prefix: String,
    changed_after: RowVersion,
}

/// Returns the routes of the table service for one client.
fn routes(
    client: ClientId,
    task: Address<TableTask>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let service = ClientService { client, task };
    let with_service = warp::any().map(move || service.clone());
    let body = warp::post()
        .and(warp::body::content_length_limit(BODY_BYTES_MAX))
        .and(warp::body::bytes())
        .and(with_service);
    let read = warp::path!("v1" / "read").and(body.clone()).then(
        |body: Bytes, service: ClientService| async move {
            service.serve(Operation::Read, &body, ReadRow).await
        },
    );
    let scan = warp::path!("v1" / "scan").and(body.clone()).then(
        |body: Bytes, service: ClientService| async move {
            service.serve(Operation::Scan, &body, scan_rows).await
        },
    );
    let commit = warp::path!("v1" / "commit").and(body).then(
        |body: Bytes, service: ClientService| async move {
            service.serve(Operation::Commit, &body, CommitRows).await
        },
    );
    read.or(scan).or(commit)
}

fn scan_rows(query: ScanQuery) -> ScanRows {
    ScanRows {
        prefix: query.prefix,
        changed_after: query.changed_after,
    }
}

/// Serves the requests of one client, subject to its faults.
#[derive(Clone, Debug)]
struct ClientService {
    client: ClientId,
    task: Address<TableTask>,
}

impl ClientService {
    async fn serve<B, M>(
        &self,
        operation: Operation,
        body: &[u8],
        message: impl FnOnce(B) -> M,
    ) -> Response
    where
        B: DeserializeOwned,
        M: Send + 'static,
        TableTask: Handler<M>,
        <TableTask as Handler<M>>::Return: Serialize,
    {
        let Ok(parsed) = serde_json::from_slice::<B>(body) else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        let availability = self.admit(operation, body.len()).await;
        match availability {
            Availability::Up => self.answer(operation, message(parsed)).await,
            Availability::Refusing => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            Availability::Silent => withhold_response().await,
        }
    }

    async fn admit(&self, operation: Operation, request_bytes: usize) -> Availability {
        let admit = Admit {
            client: self.client.clone(),
            operation,
            request_bytes,
        };
        let Ok(admission) = self.task.send(admit).await else {
            return Availability::Refusing;
        };
        tokio::time::sleep(admission.delay).await;
        admission.availability
    }

    async fn answer<M>(&self, operation: Operation, message: M) -> Response
    where
        M: Send + 'static,
        TableTask: Handler<M>,
        <TableTask as Handler<M>>::Return: Serialize,
    {
        let Ok(answer) = self.task.send(message).await else {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        };
        let answer = serde_json::to_vec(&answer).unwrap_or_default();
        if self.loses_answer(operation, answer.len()).await {
            return withhold_response().await;
        }
        warp::reply::with_header(answer, "content-type", "application/json").into_response()
    }

    async fn loses_answer(&self, operation: Operation, answer_bytes: usize) -> bool {
        let lose = LoseAnswer {
            client: self.client.clone(),
            operation,
            answer_bytes,
        };
        self.task.send(lose).await.unwrap_or(true)
    }
}

/// Returns the routes that set faults (`POST /control/faults` for all clients, `POST
/// /control/faults/CLIENT` for one) and read counts (`GET /control/counts`).
pub fn control_routes(
    task: Address<TableTask>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let with_task = warp::any().map(move || task.clone());
    let client = warp::path::param::<String>()
        .map(|client: String| Some(ClientId::from(client)))
        .or(warp::any().map(|| None))
        .unify();
    let faults = warp::path!("control" / "faults" / ..)
        .and(client)
        .and(warp::path::end())
        .and(warp::post())
        .and(warp::body::json::<TableFaults>())
        .and(with_task.clone())
        .then(|client, faults, task: Address<TableTask>| async move {
            match task.send(SetFaults { client, faults }).await {
                Ok(()) => StatusCode::NO_CONTENT,
                Err(_) => StatusCode::SERVICE_UNAVAILABLE,
            }
        });
    let counts = warp::path!("control" / "counts")
        .and(warp::get())
        .and(with_task)
        .and_then(|task: Address<TableTask>| async move {
            let counts = task.send(ReadCounts).await.unwrap_or_default();
            Ok::<_, Infallible>(warp::reply::json(&counts))
        });
    faults.or(counts)
}
