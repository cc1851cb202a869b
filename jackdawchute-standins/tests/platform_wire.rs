//! The platform adapter against HTTP services like those that the cell soak uses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jackdawchute_adapter::{
    standins::{list_worker, put_configuration, serve_advisor, serve_store, serve_worker},
    PlatformAdvisor, PlatformDirectory, PlatformStore, PlatformWorkers,
};
use jackdawchute_cell::{
    Advisor, ConfigurationUpdate, Directory, Error, Routes, RowChanges, Store, Transaction,
    TransactionOutcome, Workers, WorkersUpdate, Write,
};
use jackdawchute_scheduler::{
    AdviceRequest, EndReason, RenewOrder, StartAnswer, StartOrder, StartRefusal, StepName,
    StopOrder,
};
use jackdawchute_standins::cell::{MemoryAdvisor, MemoryStore, MemoryWorkers, StoreHandle};
use jackdawchute_trial::Listening;

const TASK_TIME: Duration = Duration::from_millis(50);

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

async fn store() -> (StoreHandle, Listening, PlatformStore) {
    let handle = MemoryStore::default().handle();
    let listening = serve_store(loopback(), Arc::new(handle.clone()))
        .await
        .unwrap();
    let client = PlatformStore::new(listening.address());
    (handle, listening, client)
}

fn write(value: Option<&[u8]>, expected: u64) -> Transaction {
    Transaction {
        part: "cell".into(),
        expected: vec![("jobs".into(), "a".into(), expected)],
        writes: vec![Write {
            table: "jobs".into(),
            key: "a".into(),
            value: value.map(<[u8]>::to_vec),
        }],
    }
}

fn step() -> StepName {
    StepName {
        job: "5c0e".into(),
        occurrence: 0,
        step: 0,
    }
}

struct OneWorker {
    address: SocketAddr,
    client: PlatformWorkers,
    memory: MemoryWorkers,
    _listening: Listening,
}

async fn one_worker() -> OneWorker {
    let memory = MemoryWorkers::new(1, TASK_TIME);
    memory.set_clocks(Duration::ZERO, 1.0);
    let listening = serve_worker(loopback(), "w0".into(), Arc::new(memory.clone()))
        .await
        .unwrap();
    OneWorker {
        address: listening.address(),
        client: PlatformWorkers::default(),
        memory,
        _listening: listening,
    }
}

impl OneWorker {
    fn start(&self, index: u32, token: u64) -> StartOrder {
        StartOrder {
            worker: "w0".into(),
            address: self.address,
            task: step().task(index),
            run: 1,
            payload: "x".into(),
            checkpoint: "".into(),
            ticket: Some("t".into()),
            lease_until: Duration::from_secs(60),
            token,
        }
    }

    fn renewal(&self, ends_saved: u64, wait: Duration) -> RenewOrder {
        RenewOrder {
            worker: "w0".into(),
            address: self.address,
            lease_until: Some(Duration::from_secs(60)),
            ends_saved,
            ends_recorded: ends_saved,
            wait,
            token: 7,
        }
    }
}

#[tokio::test]
async fn rows_are_read_back_as_written() {
    let (_, _listening, client) = store().await;

    let written = client.transact(&write(Some(b"one"), 0)).await.unwrap();
    let page = client.read("jobs", "cell", None).await.unwrap();
    let conflict = client.transact(&write(Some(b"two"), 0)).await.unwrap();
    let removed = client.transact(&write(None, 1)).await.unwrap();
    let changes = client.follow("jobs", 1, Duration::ZERO).await.unwrap();

    assert_eq!(written, TransactionOutcome::Committed { version: 1 });
    assert_eq!(page.rows[0].value.as_deref(), Some(&b"one"[..]));
    assert_eq!(
        conflict,
        TransactionOutcome::Conflict {
            rows: page.rows.clone()
        }
    );
    assert_eq!(removed, TransactionOutcome::Committed { version: 2 });
    let RowChanges::Rows(rows, version) = changes else {
        panic!("expected the changed rows");
    };
    assert_eq!((rows[0].value.clone(), version), (None, 2));
}

#[tokio::test]
async fn a_refused_transaction_has_no_effect_and_a_lost_answer_leaves_the_outcome_unknown() {
    let (handle, _listening, client) = store().await;

    handle.deny(true);
    let refused = client.transact(&write(Some(b"one"), 0)).await;
    handle.deny(false);
    handle.lose_answers(1);
    let lost = client.transact(&write(Some(b"one"), 0)).await;
    handle.lose_answers(0);
    let page = client.read("jobs", "cell", None).await.unwrap();

    assert!(matches!(refused, Err(Error::Unavailable(..))));
    assert!(matches!(lost, Err(Error::Unknown(..))));
    assert_eq!(page.rows.len(), 1);
}

#[tokio::test]
async fn workers_and_the_configuration_are_read_back_as_listed() {
    let (handle, _listening, client) = store().await;
    let entry = MemoryWorkers::new(1, TASK_TIME).entries().remove(0);
    let routes = Routes {
        version: 4,
        tenants: None,
        queues: Vec::new(),
        body_bytes_max: 1_000,
    };

    list_worker(&handle, &entry).await.unwrap();
    put_configuration(&handle, &routes).await.unwrap();
    let directory = PlatformDirectory::new(client);
    let workers = directory.workers(None, Duration::ZERO).await.unwrap();
    let configuration = directory.configuration(None, Duration::ZERO).await.unwrap();

    let WorkersUpdate::All(listed, _) = workers else {
        panic!("expected the whole list of workers");
    };
    assert_eq!(listed, [entry]);
    let ConfigurationUpdate::Current(read, _) = configuration else {
        panic!("expected a configuration");
    };
    assert_eq!(read, routes);
}

#[tokio::test]
async fn the_end_of_a_run_is_reported_until_it_is_saved() {
    let worker = one_worker().await;

    let started = worker.client.start(&worker.start(0, 7)).await;
    let wait = Duration::from_secs(2);
    let reported = worker.client.renew(&worker.renewal(0, wait)).await.unwrap();
    let saved = worker
        .client
        .renew(&worker.renewal(1, Duration::ZERO))
        .await;

    assert!(matches!(started, StartAnswer::Started { .. }));
    assert_eq!(reported.ended[0].reason, EndReason::Succeeded);
    assert_eq!(reported.ended[0].task, step().task(0));
    assert!(saved.unwrap().ended.is_empty());
    assert!(worker.memory.records()[0].saved);
}

#[tokio::test]
async fn starts_of_stopped_runs_and_with_lower_tokens_are_refused() {
    let worker = one_worker().await;
    let stop = StopOrder {
        worker: "w0".into(),
        address: worker.address,
        task: step().task(0),
        run: 1,
        token: 7,
    };

    let stopped = worker.client.stop(&stop).await;
    let stopped_start = worker.client.start(&worker.start(0, 7)).await;
    let fenced_start = worker.client.start(&worker.start(1, 6)).await;

    assert!(stopped.is_ok());
    assert!(matches!(
        stopped_start,
        StartAnswer::Refused {
            reason: StartRefusal::Superseded,
            ..
        }
    ));
    assert!(matches!(
        fenced_start,
        StartAnswer::Refused {
            reason: StartRefusal::Fenced,
            ..
        }
    ));
    assert!(worker.memory.records().is_empty());
}

#[tokio::test]
async fn an_advisor_returns_a_ticket_for_each_requested_worker() {
    let listening = serve_advisor(loopback(), Arc::new(MemoryAdvisor), Duration::ZERO)
        .await
        .unwrap();
    let advisor = PlatformAdvisor::new(Some(listening.address()));
    let request = AdviceRequest {
        number: 0,
        step: step(),
        workers: vec!["w0".into(), "w1".into()],
        expected: Duration::ZERO,
    };

    let answer = advisor.advise(&request, Duration::from_secs(2)).await;

    let allowed = answer.unwrap().allowed;
    assert_eq!(allowed[1], ("w1".into(), "t".into()));
}
