//! The proxy passes bytes on, blocks and delays them, and closes connections.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use jackdawchute_standins::proxy::{spawn_proxy, DirectionFaults, ProxyFaults, RunningProxy};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// How long a test waits for bytes that must arrive.
const DEADLINE: Duration = Duration::from_secs(20);
/// How long a test waits for bytes that must not arrive.
const SILENCE: Duration = Duration::from_millis(200);

async fn echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn proxy() -> RunningProxy {
    let target = echo_server().await;
    spawn_proxy(([127, 0, 0, 1], 0).into(), Some(target))
        .await
        .unwrap()
}

async fn connected(proxy: &RunningProxy) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();
    stream.write_all(b"ping").await.unwrap();
    assert_eq!(echoed(&mut stream).await, *b"ping");
    stream
}

async fn connected_from(proxy: &RunningProxy, source: IpAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((source, 0).into()).unwrap();
    socket.connect(proxy.address).await.unwrap()
}

async fn echoed(stream: &mut TcpStream) -> [u8; 4] {
    let mut answer = [0; 4];
    timeout(DEADLINE, stream.read_exact(&mut answer))
        .await
        .expect("the echo arrives before the deadline")
        .unwrap();
    answer
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    timeout(SILENCE, stream.read_u8()).await.is_err()
}

#[tokio::test]
async fn bytes_pass_and_are_counted() {
    let proxy = proxy().await;

    let stream = connected(&proxy).await;

    let counts = proxy.counts().await.unwrap();
    assert_eq!((counts.open, counts.max_open, counts.accepted), (1, 1, 1));
    assert_eq!((counts.to_server_bytes, counts.to_client_bytes), (4, 4));
    drop(stream);
}

#[tokio::test]
async fn a_frozen_connection_resumes_after_the_freeze() {
    let proxy = proxy().await;
    let mut stream = connected(&proxy).await;
    proxy.set_faults(ProxyFaults::frozen()).await.unwrap();

    stream.write_all(b"late").await.unwrap();
    let silent = is_silent(&mut stream).await;
    proxy.set_faults(ProxyFaults::default()).await.unwrap();

    assert!(silent);
    assert_eq!(echoed(&mut stream).await, *b"late");
}

#[tokio::test]
async fn one_direction_alone_can_be_blocked() {
    let proxy = proxy().await;
    let mut stream = connected(&proxy).await;
    let blocked = DirectionFaults {
        hold: true,
        ..DirectionFaults::default()
    };
    let responses_blocked = ProxyFaults {
        to_client: blocked,
        ..ProxyFaults::default()
    };
    proxy.set_faults(responses_blocked).await.unwrap();

    stream.write_all(b"held").await.unwrap();

    assert!(is_silent(&mut stream).await);
    assert_eq!(proxy.counts().await.unwrap().to_server_bytes, 8);
}

#[tokio::test]
async fn bytes_are_delayed() {
    let proxy = proxy().await;
    let mut stream = connected(&proxy).await;
    let delay = Duration::from_millis(100);
    proxy.set_faults(ProxyFaults::delayed(delay)).await.unwrap();

    let sent = Instant::now();
    stream.write_all(b"slow").await.unwrap();
    echoed(&mut stream).await;

    assert!(sent.elapsed() >= 2 * delay);
}

#[tokio::test]
async fn a_cut_closes_open_connections_but_accepts_new_ones() {
    let proxy = proxy().await;
    let mut stream = connected(&proxy).await;

    proxy.cut().await.unwrap();

    let mut rest = Vec::new();
    let ended = timeout(DEADLINE, stream.read_to_end(&mut rest)).await;
    assert!(ended.is_ok() && rest.is_empty());
    connected(&proxy).await;
}

#[tokio::test]
async fn a_refusing_proxy_closes_each_new_connection() {
    let proxy = proxy().await;
    proxy.set_faults(ProxyFaults::refusing()).await.unwrap();

    let mut stream = TcpStream::connect(proxy.address).await.unwrap();

    let mut rest = Vec::new();
    let ended = timeout(DEADLINE, stream.read_to_end(&mut rest)).await;
    assert!(ended.is_ok() && rest.is_empty());
    assert_eq!(proxy.counts().await.unwrap().accepted, 0);
}

#[tokio::test]
async fn connections_of_one_source_are_held_and_resume() {
    let proxy = proxy().await;
    let held: IpAddr = [127, 0, 0, 2].into();
    let mut early = connected_from(&proxy, held).await;
    proxy
        .set_source_faults(held, Some(ProxyFaults::frozen()))
        .await
        .unwrap();

    let mut late = connected_from(&proxy, held).await;
    early.write_all(b"earl").await.unwrap();
    late.write_all(b"late").await.unwrap();
    let early_silent = is_silent(&mut early).await;
    let late_silent = is_silent(&mut late).await;
    let other = connected(&proxy).await;
    proxy.set_source_faults(held, None).await.unwrap();

    assert!(early_silent && late_silent);
    assert_eq!(echoed(&mut early).await, *b"earl");
    assert_eq!(echoed(&mut late).await, *b"late");
    drop(other);
}

#[tokio::test]
async fn connections_of_one_source_are_refused() {
    let proxy = proxy().await;
    let refused: IpAddr = [127, 0, 0, 2].into();
    let mut early = connected_from(&proxy, refused).await;

    proxy
        .set_source_faults(refused, Some(ProxyFaults::refusing()))
        .await
        .unwrap();
    let early_end = timeout(DEADLINE, early.read_u8()).await.unwrap();
    let mut late = connected_from(&proxy, refused).await;
    let late_end = timeout(DEADLINE, late.read_u8()).await.unwrap();
    let other = connected(&proxy).await;

    assert!(early_end.is_err() && late_end.is_err());
    drop(other);
}
