//! Calls between instances of one process, which can be cut.

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

/// Every instance of a cell.
#[derive(Default)]
pub struct LocalPeers {
    tasks: Mutex<HashMap<SocketAddr, WeakAddress<OwnershipTask>>>,
    cut: Mutex<HashSet<SocketAddr>>,
}

/// The ways of one instance to the others.
pub struct PeersOf {
    pub me: SocketAddr,
    pub all: Arc<LocalPeers>,
}

impl LocalPeers {
    pub fn add(&self, address: SocketAddr, task: WeakAddress<OwnershipTask>) {
        self.tasks.lock().unwrap().insert(address, task);
    }

    /// Cuts an instance off, in both directions.
    pub fn cut(&self, address: SocketAddr) {
        self.cut.lock().unwrap().insert(address);
    }

    pub fn heal(&self, address: SocketAddr) {
        self.cut.lock().unwrap().remove(&address);
    }

    fn way(&self, from: SocketAddr, to: SocketAddr) -> Option<WeakAddress<OwnershipTask>> {
        let cut = self.cut.lock().unwrap();
        let task = self.tasks.lock().unwrap().get(&to).cloned();
        task.filter(|_| !cut.contains(&from) && !cut.contains(&to))
    }
}

fn not_delivered(peer: SocketAddr) -> CallError {
    CallError::NotDelivered("call", peer.to_string(), "refused".into())
}

#[async_trait]
impl PeerCalls for PeersOf {
    async fn call(&self, peer: SocketAddr, call: Call) -> Result<Reply, CallError> {
        let task = self
            .all
            .way(self.me, peer)
            .ok_or_else(|| not_delivered(peer))?;
        let (reply, answer) = oneshot::channel();
        task.send(Incoming { call, reply })
            .await
            .map_err(|_| not_delivered(peer))?;
        let lost = || CallError::Unknown("call", peer.to_string(), "no answer".into());
        answer.await.map_err(|_| lost())
    }
}
