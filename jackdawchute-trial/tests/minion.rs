//! Responses and record of a minion.

use std::time::{Duration, Instant};

use jackdawchute_trial::{minion::Answer, spawn_minion, MinionOptions, RunningMinion};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

async fn minion() -> RunningMinion {
    spawn_minion(MinionOptions::new("m1", 2))
        .await
        .expect("a loopback port is free")
}

fn request(path: &str, tag: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: m\r\nconnection: close\r\nx-request-tag: {tag}\r\n\
         idempotency-key: key-{tag}\r\ncontent-length: 4\r\n\r\nbody"
    )
}

async fn send(minion: &RunningMinion, path: &str, tag: &str) -> TcpStream {
    let mut stream = TcpStream::connect(minion.address).await.unwrap();
    stream
        .write_all(request(path, tag).as_bytes())
        .await
        .unwrap();
    stream
}

async fn call(minion: &RunningMinion, path: &str, tag: &str) -> (String, Vec<u8>) {
    let mut stream = send(minion, path, tag).await;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    let head_end = response
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .expect("an HTTP response has a head");
    let body = response.split_off(head_end + 4);
    (String::from_utf8(response).unwrap(), body)
}

#[tokio::test]
async fn an_answer_echoes_its_request_and_is_complete() {
    let minion = minion().await;

    let (head, body) = call(&minion, "/orders?bytes=100000", "t1").await;

    let answer = Answer::parse(&body).expect("the answer is complete");
    assert!(head.contains("x-request-tag: t1"));
    assert!(head.contains("x-minion: m1"));
    assert_eq!(answer.echo.tag, "t1");
    assert_eq!(answer.echo.path, "/orders?bytes=100000");
    assert_eq!(answer.echo.method, "POST");
    assert_eq!(answer.echo.body_bytes, 4);
    assert!(body.len() >= 100_000);
}

#[tokio::test]
async fn an_answer_that_is_truncated_or_mixed_with_another_does_not_parse() {
    let minion = minion().await;
    let (_, first) = call(&minion, "/quote?bytes=1000", "t1").await;
    let (_, second) = call(&minion, "/quote?bytes=1000", "t2").await;

    let truncated = Answer::parse(&first[..first.len() - 1]);
    let mixed =
        Answer::parse(&[&first[..first.len() - 500], &second[second.len() - 500..]].concat());

    assert!(truncated.is_none());
    assert!(mixed.is_none());
}

#[tokio::test]
async fn the_record_counts_requests_at_a_time_and_runs_per_key() {
    let minion = minion().await;

    let path = "/orders?service_ms=200";
    let (_, _, _) = tokio::join!(
        call(&minion, path, "t1"),
        call(&minion, path, "t2"),
        call(&minion, path, "t2"),
    );

    let record = minion.record().await.unwrap();
    assert_eq!(record.max_concurrent, 3, "{:?}", record.runs);
    assert!(!record.is_within_slots());
    assert_eq!(record.runs_per_key()["key-t2"], 2);
    assert!(record.runs.iter().all(|run| run.ended.is_some()));
}

#[tokio::test]
async fn a_request_runs_to_its_end_after_its_caller_disconnects() {
    let minion = minion().await;
    let stream = send(&minion, "/orders?service_ms=200", "t1").await;
    wait_for_runs(&minion, 1, false).await;

    drop(stream);

    wait_for_runs(&minion, 1, true).await;
    let record = minion.record().await.unwrap();
    let run = &record.runs[0];
    let served = run.ended.unwrap().duration_since(run.started).unwrap();
    assert!(served >= Duration::from_millis(200));
}

async fn wait_for_runs(minion: &RunningMinion, count: usize, ended: bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        let runs = minion.record().await.unwrap().runs;
        let matching = runs.iter().filter(|run| run.ended.is_some() == ended);
        if matching.count() == count {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the minion did not record {count} runs with ended = {ended} within the deadline");
}
