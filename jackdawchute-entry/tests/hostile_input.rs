//! Malformed and hostile input to each listener of an instance.

mod fixtures;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fixtures::{configured_table, get, member, wait_until_ready};
use jackdawchute_entry::Instance;
use jackdawchute_trial::{spawn_minion, MemoryMembership, MinionOptions, RunningMinion};
use quickcheck::{Arbitrary, Gen};
use reqwest::{Client, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const SEED: u64 = 11;
/// The maximum length of a generated input.
const INPUT_SIZE: usize = 400;
/// The number of generated inputs of each test.
const INPUTS: usize = 100;
/// How long to wait for the response to hostile bytes.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(200);
const PEER_TOKEN: &str = "";

/// A ready instance with one minion, which runs until it is dropped.
struct Fixture {
    instance: Instance,
    _minion: RunningMinion,
}

async fn instance() -> Fixture {
    let minion = spawn_minion(MinionOptions::new("m1", 8)).await.unwrap();
    let membership = Arc::new(MemoryMembership::default());
    membership.set(vec![member(minion.address)]);
    let instance = fixtures::instance("entry-1", configured_table().await, membership).await;
    wait_until_ready(instance.addresses.operators).await;
    Fixture {
        instance,
        _minion: minion,
    }
}

fn inputs<T: Arbitrary>() -> Vec<T> {
    let mut gen = Gen::from_size_and_seed(INPUT_SIZE, SEED);
    (0..INPUTS).map(|_| T::arbitrary(&mut gen)).collect()
}

/// Sends bytes over a connection of its own and reads until the listener closes it.
async fn exchange(address: SocketAddr, bytes: &[u8]) {
    let io = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(bytes).await?;
        stream.shutdown().await?;
        stream.read_to_end(&mut Vec::new()).await
    };
    // Any response or none is correct; the test checks what is served afterwards.
    let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, io).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn listeners_survive_arbitrary_bytes() {
    let running = instance().await;
    let addresses = running.instance.addresses;

    for bytes in inputs::<Vec<u8>>() {
        for address in [addresses.callers, addresses.operators, addresses.peers] {
            exchange(address, &bytes).await;
            exchange(
                address,
                &[b"GET / HTTP/1.1\r\n".as_slice(), &bytes].concat(),
            )
            .await;
        }
    }

    assert_eq!(get(addresses.operators, "/healthz").await, StatusCode::OK);
    let quote = get(addresses.callers, "/repair-desk/quotes").await;
    assert_eq!(quote, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn arbitrary_jobs_are_refused_as_invalid() {
    let running = instance().await;
    let url = format!("http://{}/v1/jobs", running.instance.addresses.callers);

    for text in inputs::<String>() {
        let request = Client::new().post(&url).body(text);
        let status = request.send().await.unwrap().status();

        assert_eq!(status, StatusCode::BAD_REQUEST);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_oversized_header_or_body_is_refused() {
    let running = instance().await;
    let callers = running.instance.addresses.callers;
    let url = format!("http://{callers}/repair-desk/tickets");

    let body = Client::new().post(&url).body(vec![b'x'; 2 << 20]);
    let body = body.send().await.unwrap().status();
    let header = Client::new()
        .post(&url)
        .header("x-long", "x".repeat(64 << 10));
    let header = header.send().await.map(|response| response.status());

    assert_eq!(body, StatusCode::PAYLOAD_TOO_LARGE);
    let too_large = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    assert!(header.is_err() || header.is_ok_and(|status| status == too_large));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_callers_listener_serves_no_operators_paths() {
    let running = instance().await;
    let callers = running.instance.addresses.callers;

    for path in ["/metrics", "/readyz", "/v1/status", "/v1/configuration"] {
        assert_eq!(get(callers, path).await, StatusCode::NOT_FOUND);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_with_another_token_is_refused() {
    let running = instance().await;
    let address = running.instance.addresses.peers;
    let call = serde_json::json!({ "call": "status", "id": "j1" });
    let timeout = Duration::from_secs(5);

    let right = jackdawchute_peer::spawn(Arc::new(PEER_TOKEN.into()))
        .call::<_, serde_json::Value>(address, "jobs", &call, timeout)
        .await;
    let wrong = jackdawchute_peer::spawn(Arc::new("guess".into()))
        .call::<_, serde_json::Value>(address, "jobs", &call, timeout)
        .await;

    assert!(right.is_ok(), "{right:?}");
    assert!(wrong.unwrap_err().is_undelivered());
}
