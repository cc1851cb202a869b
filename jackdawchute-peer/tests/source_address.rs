//! The address that a connection to a peer has at the caller's end.

use std::{net::IpAddr, time::Duration};

use jackdawchute_peer::{spawn, spawn_from, PeerClient};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the address from which a client connects.
async fn source_of(client: PeerClient) -> IpAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the system chooses a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let call = tokio::spawn(async move {
        // The listener doesn't answer.
        let _ = client.call::<u32, u32>(address, "echo", &1, TIMEOUT).await;
    });
    let (_stream, source) = listener.accept().await.expect("the client connects");
    call.await.expect("the call ends");
    source.ip()
}

#[tokio::test]
async fn connections_come_from_the_given_address() {
    let source: IpAddr = [127, 0, 0, 2].into();

    let seen = source_of(spawn_from(Default::default(), Some(source))).await;

    assert_eq!(seen, source);
}

#[tokio::test]
async fn the_system_chooses_the_address_by_default() {
    let loopback: IpAddr = [127, 0, 0, 1].into();

    let seen = source_of(spawn(Default::default())).await;

    assert_eq!(seen, loopback);
}
