//! Calls between instances of one process, which can be cut.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Mutex,
};

use async_trait::async_trait;
use jackdawchute_ownership::{Call, Incoming, OwnershipTask, Peers, Reply};
use jackdawchute_types::CallError;
use tokio::sync::oneshot;
use xtra::WeakAddress;

#[derive(Default)]
pub struct LocalPeers {
    tasks: Mutex<HashMap<SocketAddr, WeakAddress<OwnershipTask>>>,
    cut: Mutex<HashSet<SocketAddr>>,
}

impl LocalPeers {
    pub fn add(&self, address: SocketAddr, task: WeakAddress<OwnershipTask>) {
        self.tasks.lock().unwrap().insert(address, task);
    }

    pub fn cut(&self, address: SocketAddr) {
        self.cut.lock().unwrap().insert(address);
    }
}

fn not_delivered(peer: SocketAddr) -> CallError {
    CallError::NotDelivered("call", peer.to_string(), "refused".into())
}

#[async_trait]
impl Peers for LocalPeers {
    async fn call(&self, peer: SocketAddr, call: Call) -> Result<Reply, CallError> {
        let task = self.tasks.lock().unwrap().get(&peer).cloned();
        let is_cut = self.cut.lock().unwrap().contains(&peer);
        let task = task
            .filter(|_| !is_cut)
            .ok_or_else(|| not_delivered(peer))?;
        let (reply, answer) = oneshot::channel();
        task.send(Incoming { call, reply })
            .await
            .map_err(|_| not_delivered(peer))?;
        let lost = || CallError::Unknown("call", peer.to_string(), "no answer".into());
        answer.await.map_err(|_| lost())
    }
}
