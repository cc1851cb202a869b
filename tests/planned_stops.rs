//! Instances are stopped and replaced on purpose, and minions leave, under load.

use std::time::{Duration, SystemTime};

use jackdawchute_standins::{
    harness::{Cell, CellOptions, Signal},
    load::{ClassPlan, Finished, Plan, RunningLoad},
    proxy::ProxyFaults,
    table::{Availability, TableFaults},
};

/// How long a load goes on before and after a stop.
const PHASE: Duration = Duration::from_secs(2);
/// How soon a leaving minion gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

fn options(entries: usize) -> CellOptions {
    CellOptions {
        entries,
        ..CellOptions::new(env!("CARGO_BIN_EXE_jackdawchute"))
    }
}

async fn cell(entries: usize) -> Cell {
    Cell::start(options(entries)).await.unwrap()
}

/// Short requests, and long ones of which some are always in flight.
fn plan() -> Plan {
    Plan {
        seed: 6,
        duration: Duration::from_secs(60),
        count_max: 100_000,
        classes: vec![
            ClassPlan::new("order", 30.0, "POST", "/repair-desk/orders?service_ms=50").keyed(),
            ClassPlan::new("quote", 40.0, "GET", "/repair-desk/quotes?service_ms=50"),
            ClassPlan::new(
                "search",
                4.0,
                "GET",
                "/repair-desk/quotes?service_ms=1500&bytes=200000",
            ),
        ],
    }
}

async fn loaded(cell: &Cell) -> RunningLoad {
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;
    load
}

/// A load that may be sent more than once.
async fn loaded_with_quotes(cell: &Cell) -> RunningLoad {
    let mut plan = plan();
    plan.classes.retain(|class| !class.keyed);
    let load = cell.start_load(&plan).unwrap();
    tokio::time::sleep(PHASE).await;
    load
}

fn failed(finished: &[Finished]) -> Vec<String> {
    let failed = finished.iter().filter(|it| !it.outcome.is_answered());
    failed.map(ToString::to_string).collect()
}

async fn assert_no_request_failed(cell: &Cell, finished: &[Finished]) {
    assert!(finished.len() > 100);
    assert_eq!(
        cell.discrepancies(finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(failed(finished), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_cuts_no_request_off() {
    let mut cell = cell(3).await;
    let load = loaded(&cell).await;

    cell.entries[0]
        .process
        .signal(Signal::Terminate)
        .await
        .unwrap();
    let status = cell.entries[0].process.wait().await.unwrap();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    assert!(status.success(), "{status}");
    assert_no_request_failed(&cell, &finished).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_stops_at_once_cut_no_request_off() {
    let mut cell = cell(4).await;
    let load = loaded(&cell).await;

    cell.entries[0]
        .process
        .signal(Signal::Terminate)
        .await
        .unwrap();
    cell.entries[1]
        .process
        .signal(Signal::Terminate)
        .await
        .unwrap();
    let first = cell.entries[0].process.wait().await.unwrap();
    let second = cell.entries[1].process.wait().await.unwrap();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    assert!(first.success() && second.success(), "{first} {second}");
    assert_no_request_failed(&cell, &finished).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_while_the_table_is_down_cuts_no_request_off() {
    let mut cell = cell(3).await;
    let load = loaded_with_quotes(&cell).await;
    let down = TableFaults {
        availability: Availability::Refusing,
        ..TableFaults::default()
    };
    cell.table.set_faults(None, down).await.unwrap();

    cell.entries[0]
        .process
        .signal(Signal::Terminate)
        .await
        .unwrap();
    tokio::time::sleep(2 * PHASE).await;
    cell.table
        .set_faults(None, TableFaults::default())
        .await
        .unwrap();
    cell.entries[0].process.wait().await.unwrap();
    let finished = load.stop().await;

    let cut_off = finished
        .iter()
        .filter(|it| it.outcome.name() == "lost")
        .count();
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(cut_off, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_is_replaced_under_load() {
    let mut cell = cell(2).await;
    let load = loaded(&cell).await;

    cell.add_entry().await.unwrap();
    cell.publish_members().await.unwrap();
    cell.wait_until_ready().await.unwrap();
    cell.entries[0]
        .process
        .signal(Signal::Terminate)
        .await
        .unwrap();
    let status = cell.entries[0].process.wait().await.unwrap();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    assert!(status.success(), "{status}");
    assert_no_request_failed(&cell, &finished).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_minion_gets_no_new_work() {
    let mut cell = cell(2).await;
    let load = loaded(&cell).await;

    cell.set_minion_leaving(0).await.unwrap();
    let listed = SystemTime::now();
    tokio::time::sleep(LEAVING_BOUND + PHASE).await;
    let finished = load.stop().await;

    let records = cell.minion_records().await.unwrap();
    let late = records[0]
        .runs
        .iter()
        .filter(|run| run.started > listed + LEAVING_BOUND);
    assert_eq!(late.count(), 0);
    assert!(!records[0].runs.is_empty(), "it had work before");
    assert_no_request_failed(&cell, &finished).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_minion_that_refuses_connections_costs_no_quote() {
    let cell = cell(2).await;
    let load = loaded_with_quotes(&cell).await;

    let refusing = ProxyFaults::refusing();
    cell.minions[0].proxy.set_faults(refusing).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let finished = load.stop().await;

    assert_no_request_failed(&cell, &finished).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_minion_that_refuses_connections_and_is_alone_in_its_failure_domain_costs_no_quote() {
    let cell = cell(2).await;
    let load = loaded_with_quotes(&cell).await;

    let refusing = ProxyFaults::refusing();
    cell.minions[1].proxy.set_faults(refusing).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let healthy = ProxyFaults::default();
    cell.minions[1].proxy.set_faults(healthy).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let finished = load.stop().await;

    assert_no_request_failed(&cell, &finished).await;
}
