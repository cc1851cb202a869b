//! Calls to the owner of a group, in this process or in another one.

use std::sync::Arc;

use jackdawchute_jobs as jobs;
use jackdawchute_ownership::Owner;
use jackdawchute_requests as requests;
use jackdawchute_types::{CallError, IncarnationId, Refusal};
use tokio::sync::oneshot;
use xtra::prelude::MessageChannel;

/// Calls the owners of service and key groups.
#[derive(Clone)]
pub(crate) struct RequestsOwnerClient {
    pub(crate) incarnation: IncarnationId,
    pub(crate) local: MessageChannel<requests::Incoming, ()>,
    pub(crate) owner_calls: Arc<dyn requests::OwnerCalls>,
}

impl RequestsOwnerClient {
    /// Calls `owner` and waits for its answer; a local owner is called without the network.
    pub(crate) async fn call(
        &self,
        owner: &Owner,
        call: requests::Call,
    ) -> Result<Result<requests::Reply, Refusal>, CallError> {
        if owner.incarnation != self.incarnation {
            return self.owner_calls.call(owner, call).await;
        }
        let (reply, answer) = oneshot::channel();
        call_local(&self.local, requests::Incoming { call, reply }, answer).await
    }
}

/// Calls the owners of jobs' home groups.
#[derive(Clone)]
pub(crate) struct JobsOwnerClient {
    pub(crate) incarnation: IncarnationId,
    pub(crate) local: MessageChannel<jobs::Incoming, ()>,
    pub(crate) owner_calls: Arc<dyn jobs::OwnerCalls>,
}

impl JobsOwnerClient {
    /// Calls `owner` and waits for its answer; a local owner is called without the network.
    pub(crate) async fn call(
        &self,
        owner: &Owner,
        call: jobs::Call,
    ) -> Result<Result<jobs::Reply, Refusal>, CallError> {
        if owner.incarnation != self.incarnation {
            return self.owner_calls.call(owner, call).await;
        }
        let (reply, answer) = oneshot::channel();
        call_local(&self.local, jobs::Incoming { call, reply }, answer).await
    }
}

/// Sends a message to a task of this process and waits for the answer.
async fn call_local<M: Send + 'static, R>(
    task: &MessageChannel<M, ()>,
    message: M,
    answer: oneshot::Receiver<R>,
) -> Result<R, CallError> {
    let cause = |text: &str| text.to_owned();
    let not_delivered = |_| CallError::NotDelivered("call task", "self".into(), cause("ended"));
    let _handled = task.send(message).detach().await.map_err(not_delivered)?;
    let unknown = |_| CallError::Unknown("call task", "self".into(), cause("no answer"));
    answer.await.map_err(unknown)
}
