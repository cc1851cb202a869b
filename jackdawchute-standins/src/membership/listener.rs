//! The HTTP listener of the membership list.

use std::{net::SocketAddr, time::Duration};

use jackdawchute_ports::Member;
use jackdawchute_trial::Listening;
use serde::Deserialize;
use warp::{http::StatusCode, reply::Response, Filter, Rejection, Reply};
use xtra::prelude::*;

use super::{ChangedSince, MembershipTask, SetAvailability, SetLag, SetMembers};
use crate::{Error, Result};

/// A running membership list; dropping it closes its listener.
#[derive(Debug)]
pub struct RunningMembership {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The task that owns the list.
    pub task: Address<MembershipTask>,
    _listening: Listening,
}

impl RunningMembership {
    /// Replaces the members; the change becomes visible after the lag.
    ///
    /// # Errors
    /// The list's task has ended.
    pub async fn set(&self, members: Vec<Member>) -> Result<()> {
        self.task
            .send(SetMembers(members))
            .await
            .map_err(|_| Error::Ended("set members", self.address.to_string()))
    }
}

/// Starts an empty list at `listen`, whose changes become visible after `lag`.
///
/// # Errors
/// The address could not be bound.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// use std::time::Duration;
/// use jackdawchute_ports::{HttpMembership, MembershipSource};
/// use jackdawchute_standins::membership::spawn_membership;
///
/// let membership = spawn_membership(([127, 0, 0, 1], 0).into(), Duration::ZERO).await?;
/// membership.set(Vec::new()).await?;
/// let list = HttpMembership::new(membership.address).changed_since(0).await?;
/// assert_eq!(list.map(|list| list.version), Some(1));
/// # Ok(())
/// # }
/// ```
pub async fn spawn_membership(listen: SocketAddr, lag: Duration) -> Result<RunningMembership> {
    let task = xtra::spawn_tokio(MembershipTask::new(lag), Mailbox::unbounded());
    let listening = Listening::bind(listen, routes(task.clone())).await?;
    Ok(RunningMembership {
        address: listening.address(),
        task,
        _listening: listening,
    })
}

#[derive(Deserialize)]
struct Query {
    #[serde(default)]
    known_version: u64,
}

fn routes(
    task: Address<MembershipTask>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    warp::path!("v1" / "members")
        .and(warp::get())
        .and(warp::query::<Query>())
        .then(move |query: Query| changed_since(query.known_version, task.clone()))
}

async fn changed_since(known_version: u64, task: Address<MembershipTask>) -> Response {
    match task.send(ChangedSince(known_version)).await {
        Ok(Ok(list)) => warp::reply::json(&list).into_response(),
        Ok(Err(_)) | Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Returns the routes that control the list: `POST /control/members` with the members, `POST
/// /control/lag_ms` with a number and `POST /control/available` with true or false.
pub fn control_routes(
    task: Address<MembershipTask>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let with_task = warp::any().map(move || task.clone());
    let members = warp::path!("control" / "members")
        .and(warp::post())
        .and(warp::body::json::<Vec<Member>>().map(SetMembers))
        .and(with_task.clone())
        .then(send::<SetMembers>);
    let lag = warp::path!("control" / "lag_ms")
        .and(warp::post())
        .and(warp::body::json::<u64>().map(|lag_ms| SetLag(Duration::from_millis(lag_ms))))
        .and(with_task.clone())
        .then(send::<SetLag>);
    let available = warp::path!("control" / "available")
        .and(warp::post())
        .and(warp::body::json::<bool>().map(SetAvailability))
        .and(with_task)
        .then(send::<SetAvailability>);
    members.or(lag).or(available)
}

async fn send<M>(message: M, task: Address<MembershipTask>) -> StatusCode
where
    M: Send + 'static,
    MembershipTask: Handler<M, Return = ()>,
{
    match task.send(message).await {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
