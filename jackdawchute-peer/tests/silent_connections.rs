//! Connections that stop transferring data without being closed.
//!
//! A call on such a connection times out; later calls must not wait on it again.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_peer::{bind, spawn, Options, PeerService, RunningServer, Services};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};

/// How long a call waits for its response.
const TIMEOUT: Duration = Duration::from_millis(300);

struct Echo;

#[async_trait]
impl PeerService for Echo {
    async fn serve(&self, call: Value) -> Option<Value> {
        Some(call)
    }
}

async fn echo_server() -> (SocketAddr, RunningServer) {
    let options = Options {
        address: "127.0.0.1:0".parse().expect("a valid address"),
        token: Default::default(),
        connections_max: 8,
    };
    let bound = bind(options).await.expect("the system chooses a free port");
    let address = bound.address;
    let services = Services::from([("echo", Arc::new(Echo) as Arc<dyn PeerService>)]);
    (address, bound.start(services))
}

/// Forwards connections to `target`; the first `silent_count` ones stay open but transfer nothing
/// after their first 100 ms.
async fn silencing_proxy(target: SocketAddr, silent_count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the system chooses a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let accepted = AtomicUsize::new(0);
    tokio::spawn(async move {
        while let Ok((mut inbound, _)) = listener.accept().await {
            let Ok(mut outbound) = TcpStream::connect(target).await else {
                return;
            };
            let silent = accepted.fetch_add(1, Ordering::Relaxed) < silent_count;
            tokio::spawn(async move {
                let copy = tokio::io::copy_bidirectional(&mut inbound, &mut outbound);
                if silent {
                    // Long enough for the handshake and the first call.
                    let _ = tokio::time::timeout(Duration::from_millis(100), copy).await;
                    std::future::pending::<()>().await;
                } else {
                    let _ = copy.await;
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn a_call_after_a_timed_out_call_uses_a_new_connection() {
    let (server, _running) = echo_server().await;
    let proxy = silencing_proxy(server, 1).await;
    let peers = spawn(Default::default());
    let first = peers.call::<u32, u32>(proxy, "echo", &1, TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    let timed_out = peers.call::<u32, u32>(proxy, "echo", &2, TIMEOUT).await;
    let after = peers.call::<u32, u32>(proxy, "echo", &3, TIMEOUT).await;

    assert_eq!(first.ok(), Some(1));
    assert!(timed_out.is_err());
    assert_eq!(after.ok(), Some(3));
}
