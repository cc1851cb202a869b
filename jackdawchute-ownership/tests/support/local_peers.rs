//! Calls between instances of one process, any of which can be cut off.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use jackdawchute_ownership::{Call, Incoming, OwnershipTask, PeerCalls, Reply};
use jackdawchute_types::CallError;
use tokio::sync::oneshot;
use xtra::WeakAddress;

/// The ownership tasks of a cell's instances, by peer address.
#[derive(Default)]
pub struct LocalPeers {
    tasks: Mutex<HashMap<SocketAddr, WeakAddress<OwnershipTask>>>,
    cut_off_addresses: Mutex<HashSet<SocketAddr>>,
}

/// The calls of one instance to the others.
pub struct PeersOfInstance {
    pub me: SocketAddr,
    pub all: Arc<LocalPeers>,
}

impl LocalPeers {
    pub fn add(&self, address: SocketAddr, task: WeakAddress<OwnershipTask>) {
        self.tasks.lock().unwrap().insert(address, task);
    }

    /// Cuts an instance off from its peers, in both directions.
    pub fn cut_off(&self, address: SocketAddr) {
        self.cut_off_addresses.lock().unwrap().insert(address);
    }

    /// Reconnects an instance that was cut off.
    pub fn heal(&self, address: SocketAddr) {
        self.cut_off_addresses.lock().unwrap().remove(&address);
    }

    /// Returns the task at `to`, unless one of the two instances is cut off.
    fn task_at(&self, from: SocketAddr, to: SocketAddr) -> Option<WeakAddress<OwnershipTask>> {
        let cut_off = self.cut_off_addresses.lock().unwrap();
        let task = self.tasks.lock().unwrap().get(&to).cloned();
        task.filter(|_| !cut_off.contains(&from) && !cut_off.contains(&to))
    }
}

fn not_delivered(peer: SocketAddr) -> CallError {
    CallError::NotDelivered("call", peer.to_string(), "refused".into())
}

#[async_trait]
impl PeerCalls for PeersOfInstance {
    async fn call(&self, peer: SocketAddr, call: Call) -> Result<Reply, CallError> {
        let task = self
            .all
            .task_at(self.me, peer)
            .ok_or_else(|| not_delivered(peer))?;
        let (reply, answer) = oneshot::channel();
        task.send(Incoming { call, reply })
            .await
            .map_err(|_| not_delivered(peer))?;
        let lost = || CallError::Unknown("call", peer.to_string(), "no answer".into());
        answer.await.map_err(|_| lost())
    }
}
