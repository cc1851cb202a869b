//! HTTP clients of the ports.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use jackdawchute_types::TaskId;
use reqwest::{Client, RequestBuilder};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::{
    Commit, CommitOutcome, Error, Lease, MembershipList, MembershipSource, Result, Row, RowVersion,
    Scan, StartOutcome, StartTask, Table, WorkerPort, WorkerReport,
};

/// Default timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An HTTP client of one server of the platform, with its connections.
#[derive(Clone, Debug)]
struct ServerClient {
    client: Client,
    address: SocketAddr,
}

impl ServerClient {
    fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::builder().timeout(timeout).no_proxy().build();
        Self {
            client: client.unwrap_or_default(),
            address,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        step: &'static str,
        request: RequestBuilder,
    ) -> Result<T> {
        let response = request
            .send()
            .await
            .map_err(|error| self.transport_error(step, &error))?;
        let status = response.status();
        if status == reqwest::StatusCode::SERVICE_UNAVAILABLE {
            return Err(Error::Unavailable(
                step,
                self.address.to_string(),
                status.to_string(),
            ));
        }
        if !status.is_success() {
            return Err(Error::Protocol(
                step,
                self.address.to_string(),
                status.to_string(),
            ));
        }
        response
            .json()
            .await
            .map_err(|error| self.transport_error(step, &error))
    }

    fn transport_error(&self, step: &'static str, error: &reqwest::Error) -> Error {
        let peer = self.address.to_string();
        if error.is_connect() {
            Error::Unavailable(step, peer, error.to_string())
        } else if error.is_decode() {
            Error::Protocol(step, peer, error.to_string())
        } else {
            Error::Unknown(step, peer, error.to_string())
        }
    }
}

/// An HTTP client of the table service.
#[derive(Clone, Debug)]
pub struct HttpTable {
    server: ServerClient,
}

impl HttpTable {
    /// Creates a client of the table service at `address`; it connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            server: ServerClient::new(address, CALL_TIMEOUT),
        }
    }

    /// Creates a client like [`HttpTable::new`], whose calls take at most `timeout`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let address = "127.0.0.1:7001".parse()?;
    /// let table = jackdawchute_ports::HttpTable::with_timeout(address, Duration::from_secs(1));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn with_timeout(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            server: ServerClient::new(address, timeout),
        }
    }
}

#[derive(Serialize)]
struct ScanQuery<'a> {
    prefix: &'a str,
    changed_after: RowVersion,
}

#[async_trait]
impl Table for HttpTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        let request = self
            .server
            .client
            .post(self.server.url("/v1/read"))
            .json(key);
        self.server.call("read row", request).await
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> Result<Scan> {
        let query = ScanQuery {
            prefix,
            changed_after,
        };
        let request = self
            .server
            .client
            .post(self.server.url("/v1/scan"))
            .json(&query);
        self.server.call("scan rows", request).await
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome> {
        let request = self
            .server
            .client
            .post(self.server.url("/v1/commit"))
            .json(&commit);
        self.server.call("commit", request).await
    }
}

/// An HTTP client of the membership list.
#[derive(Clone, Debug)]
pub struct HttpMembership {
    server: ServerClient,
}

impl HttpMembership {
    /// Creates a client of the membership list at `address`; it connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            server: ServerClient::new(address, CALL_TIMEOUT),
        }
    }
}

#[async_trait]
impl MembershipSource for HttpMembership {
    async fn changed_since(&self, known_version: u64) -> Result<Option<MembershipList>> {
        let url = self
            .server
            .url(&format!("/v1/members?known_version={known_version}"));
        self.server
            .call("read membership", self.server.client.get(url))
            .await
    }
}

/// An HTTP client of a worker.
#[derive(Clone, Debug)]
pub struct HttpWorker {
    server: ServerClient,
}

impl HttpWorker {
    /// Creates a client of the worker at `address`; it connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            server: ServerClient::new(address, CALL_TIMEOUT),
        }
    }
}

#[derive(Serialize)]
struct RenewBody {
    tasks: Vec<TaskId>,
    lease: Lease,
}

#[derive(Serialize)]
struct StopBody {
    task: TaskId,
    attempt: u32,
}

#[derive(Deserialize)]
struct EmptyBody {}

#[async_trait]
impl WorkerPort for HttpWorker {
    async fn start(&self, start: StartTask) -> Result<StartOutcome> {
        let request = self
            .server
            .client
            .post(self.server.url("/v1/start"))
            .json(&start);
        self.server.call("start task", request).await
    }

    async fn renew(&self, tasks: Vec<TaskId>, lease: Lease) -> Result<()> {
        let body = RenewBody { tasks, lease };
        let request = self
            .server
            .client
            .post(self.server.url("/v1/renew"))
            .json(&body);
        self.server
            .call::<EmptyBody>("renew leases", request)
            .await
            .map(|_| ())
    }

    async fn stop(&self, task: TaskId, attempt: u32) -> Result<()> {
        let body = StopBody { task, attempt };
        let request = self
            .server
            .client
            .post(self.server.url("/v1/stop"))
            .json(&body);
        self.server
            .call::<EmptyBody>("stop task", request)
            .await
            .map(|_| ())
    }

    async fn report(&self) -> Result<WorkerReport> {
        self.server
            .call(
                "read report",
                self.server.client.get(self.server.url("/v1/report")),
            )
            .await
    }
}
