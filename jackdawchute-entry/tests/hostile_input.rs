//! Malformed and hostile input on each listener.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use jackdawchute_configuration::{apply, Configuration};
use jackdawchute_entry::{HttpWorkerPorts, Instance, Platform};
use jackdawchute_ports::{Member, MemberRole, MemberState, MemoryTable};
use jackdawchute_settings::Settings;
use jackdawchute_trial::{spawn_minion, MemoryMembership, MinionOptions, RunningMinion};
use quickcheck::{Arbitrary, Gen};
use reqwest::{Client, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const SEED: u64 = 11;
const SIZE: usize = 400;
/// The inputs that each listener gets.
const INPUTS: usize = 100;
/// How long one exchange of hostile bytes may take before it is given up.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the instance may take until it is ready.
const READY_DEADLINE: Duration = Duration::from_secs(30);
const PEER_TOKEN: &str = "";

struct Running {
    instance: Instance,
    _minion: RunningMinion,
}

async fn instance() -> Running {
    let configuration = Configuration::embedded().unwrap();
    let table = Arc::new(MemoryTable::default());
    let options = apply::Options {
        candidate: Configuration {
            version: 0,
            ..configuration
        },
        author: "test".into(),
        reason: "test".to_owned(),
        write_id: "test".into(),
        written: SystemTime::now(),
    };
    apply::apply(table.as_ref(), options).await.unwrap();
    let minion = spawn_minion(MinionOptions::new("m1", 8)).await.unwrap();
    let membership = Arc::new(MemoryMembership::default());
    membership.set(vec![member(minion.address)]);
    let platform = Platform {
        table,
        membership,
        workers: Arc::new(HttpWorkerPorts),
    };
    let instance = Instance::start(settings(), platform).await.unwrap();
    wait_until_ready(instance.addresses.operators).await;
    Running {
        instance,
        _minion: minion,
    }
}

fn member(address: SocketAddr) -> Member {
    Member {
        id: "m1".into(),
        address,
        failure_domain: "ala-1".into(),
        state: MemberState::Live,
        role: MemberRole::Minion {
            service: "repair-desk".into(),
            slots: 8,
            connections: 64,
        },
    }
}

fn settings() -> Settings {
    let text = "instance: entry-1
failure_domain: ala-1
listen: { callers: 127.0.0.1:0, operators: 127.0.0.1:0, peers: 127.0.0.1:0 }
platform: { table: 127.0.0.1:1, membership: 127.0.0.1:1 }
";
    Settings::parse(text).unwrap()
}

async fn wait_until_ready(operators: SocketAddr) {
    let ready = async {
        while get(operators, "/readyz").await != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(READY_DEADLINE, ready).await.unwrap();
}

async fn get(address: SocketAddr, path: &str) -> StatusCode {
    let url = format!("http://{address}{path}");
    Client::new().get(url).send().await.unwrap().status()
}

fn inputs<T: Arbitrary>() -> Vec<T> {
    let mut gen = Gen::from_size_and_seed(SIZE, SEED);
    (0..INPUTS).map(|_| T::arbitrary(&mut gen)).collect()
}

async fn exchange(address: SocketAddr, bytes: &[u8]) {
    let talk = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(bytes).await?;
        stream.shutdown().await?;
        stream.read_to_end(&mut Vec::new()).await
    };
    // Whatever comes back, or nothing, is right; what matters is what is served afterwards.
    let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, talk).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn arbitrary_bytes_stop_no_listener() {
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
async fn a_header_or_body_beyond_its_bound_is_refused() {
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
async fn callers_reach_no_operators_call() {
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
