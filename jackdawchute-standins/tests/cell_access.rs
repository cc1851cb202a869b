//! What one instance loses on its way to the in-memory workers and store.

use std::time::{Duration, Instant};

use jackdawchute_cell::{Error, Store, Transaction, TransactionOutcome, Workers, Write};
use jackdawchute_scheduler::{
    RenewOrder, StartAnswer, StartOrder, StepName, StopOrder, TaskName, WorkerEntry,
};
use jackdawchute_standins::cell::{LinkFaults, MemoryStore, MemoryWorkers};

const TASK_TIME: Duration = Duration::from_secs(30);
/// The timeout of an order; calls that are lost don't fail earlier.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
const REQUEST_LOST: LinkFaults = LinkFaults {
    request_lost: true,
    answer_lost: false,
};
const ANSWER_LOST: LinkFaults = LinkFaults {
    request_lost: false,
    answer_lost: true,
};

fn task() -> TaskName {
    TaskName {
        step: StepName {
            job: "job".into(),
            occurrence: 0,
            step: 0,
        },
        index: 0,
    }
}

fn start(entry: &WorkerEntry) -> StartOrder {
    StartOrder {
        worker: entry.worker.clone(),
        address: entry.address,
        task: task(),
        run: 1,
        payload: "".into(),
        checkpoint: "".into(),
        ticket: None,
        lease_until: TASK_TIME,
        token: 1,
    }
}

fn stop(entry: &WorkerEntry) -> StopOrder {
    StopOrder {
        worker: entry.worker.clone(),
        address: entry.address,
        task: task(),
        run: 1,
        token: 1,
    }
}

fn renewal(entry: &WorkerEntry) -> RenewOrder {
    RenewOrder {
        worker: entry.worker.clone(),
        address: entry.address,
        lease_until: None,
        ends_saved: 0,
        ends_recorded: 0,
        wait: Duration::ZERO,
        token: 1,
    }
}

fn write() -> Transaction {
    Transaction {
        part: "cell".into(),
        expected: Vec::new(),
        writes: vec![Write {
            table: "table".into(),
            key: "key".into(),
            value: Some(Vec::new()),
        }],
    }
}

#[tokio::test]
async fn an_order_that_is_lost_does_nothing_and_gets_no_answer() {
    let workers = MemoryWorkers::new(2, TASK_TIME);
    workers.set_clocks(Duration::ZERO, 1.0);
    let entries = workers.entries();
    let (lossy, other) = (workers.handle(), workers.handle());
    lossy.set_faults(&entries[0].worker, REQUEST_LOST);

    let sent_at = Instant::now();
    let lost = lossy.start(&start(&entries[0])).await;
    let took = sent_at.elapsed();
    let runs = workers.records().len();
    let renewed = lossy.renew(&renewal(&entries[0])).await;
    let stopped = lossy.stop(&stop(&entries[0])).await;
    let at_another_worker = lossy.start(&start(&entries[1])).await;
    let of_another_instance = other.start(&start(&entries[0])).await;

    assert_eq!((lost, runs), (StartAnswer::Unknown, 0));
    assert!(took >= ORDER_TIMEOUT, "{took:?}");
    assert!(matches!(renewed, Err(Error::Unknown(..))), "{renewed:?}");
    assert!(matches!(stopped, Err(Error::Unknown(..))), "{stopped:?}");
    for answer in [at_another_worker, of_another_instance] {
        assert!(matches!(answer, StartAnswer::Started { .. }), "{answer:?}");
    }
}

#[tokio::test]
async fn an_order_whose_answer_is_lost_is_executed() {
    let workers = MemoryWorkers::new(1, TASK_TIME);
    workers.set_clocks(Duration::ZERO, 1.0);
    let entry = workers.entries().remove(0);
    let lossy = workers.handle();
    lossy.set_faults(&entry.worker, ANSWER_LOST);

    let started = lossy.start(&start(&entry)).await;
    let runs = workers.records().len();
    let stopped = lossy.stop(&stop(&entry)).await;
    let ended_at = workers.records()[0].ended_at;
    let renewed = lossy.renew(&renewal(&entry)).await;

    assert_eq!((started, runs), (StartAnswer::Unknown, 1));
    assert!(matches!(stopped, Err(Error::Unknown(..))), "{stopped:?}");
    assert!(ended_at.is_some());
    assert!(matches!(renewed, Err(Error::Unknown(..))), "{renewed:?}");
}

#[tokio::test]
async fn a_silent_store_executes_nothing_for_that_instance() {
    let store = MemoryStore::default();
    let (silent, other) = (store.handle(), store.handle());
    silent.silence(true);

    let lost = silent.transact(&write()).await;
    let page = other.read("table", "cell", None).await;
    silent.silence(false);
    let after = silent.transact(&write()).await;

    assert!(matches!(lost, Err(Error::Unknown(..))), "{lost:?}");
    assert!(page.expect("this handle is served").rows.is_empty());
    let committed = matches!(after, Ok(TransactionOutcome::Committed { .. }));
    assert!(committed, "{after:?}");
}
