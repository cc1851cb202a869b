//! Under load, instances are stopped or replaced, and minions leave or refuse connections.

use std::time::{Duration, SystemTime};

use jackdawchute_standins::{
    harness::{Cell, CellOptions, Signal},
    load::{ClassPlan, Finished, Plan, RunningLoad},
    proxy::ProxyFaults,
    table::{Availability, TableFaults},
};

/// How long a load runs before and after a stop.
const PHASE: Duration = Duration::from_secs(2);
/// The maximum time from the listing of a minion as leaving until it gets no new requests.
const LEAVING_TIME_MAX: Duration = Duration::from_secs(3);

fn options(entries: usize) -> CellOptions {
    CellOptions {
        entries,
        ..CellOptions::new(env!("CARGO_BIN_EXE_jackdawchute"))
    }
}

async fn cell(entries: usize) -> Cell {
    Cell::start(options(entries)).await.unwrap()
}

/// Returns a load of short requests, and of long ones of which some are always in flight.
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

/// Starts the load and lets it run for [`PHASE`].
async fn start_load(cell: &Cell) -> RunningLoad {
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;
    load
}

/// Starts the idempotent requests of the load only.
async fn start_idempotent_load(cell: &Cell) -> RunningLoad {
    let mut plan = plan();
    plan.classes.retain(|class| !class.keyed);
    let load = cell.start_load(&plan).unwrap();
    tokio::time::sleep(PHASE).await;
    load
}

fn failed(finished: &[Finished]) -> Vec<String> {
    let failed = finished
        .iter()
        .filter(|request| !request.outcome.is_answered());
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
async fn a_stop_under_load_fails_no_request() {
    let mut cell = cell(3).await;
    let load = start_load(&cell).await;

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
async fn two_simultaneous_stops_fail_no_request() {
    let mut cell = cell(4).await;
    let load = start_load(&cell).await;

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

/// The requests that wait for the new owners of the groups ask for them all the time.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_while_the_table_is_slow_fails_no_request() {
    let mut cell = cell(3).await;
    let load = start_load(&cell).await;
    let slow = TableFaults {
        delay: Duration::from_millis(250),
        ..TableFaults::default()
    };
    cell.table.set_faults(None, slow).await.unwrap();

    cell.entries[0]
        .process
        .signal(Signal::Terminate)
        .await
        .unwrap();
    let status = cell.entries[0].process.wait().await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let finished = load.stop().await;

    assert!(status.success(), "{status}");
    assert_no_request_failed(&cell, &finished).await;
}

/// Guards against an instance that drops requests in flight because the table is down when it is to
/// hand over its groups.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_while_the_table_is_down_loses_no_response() {
    let mut cell = cell(3).await;
    let load = start_idempotent_load(&cell).await;
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

    let lost = finished
        .iter()
        .filter(|request| request.outcome.name() == "lost")
        .count();
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(lost, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_an_instance_under_load_fails_no_request() {
    let mut cell = cell(2).await;
    let load = start_load(&cell).await;

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
async fn a_leaving_minion_gets_no_new_requests() {
    let mut cell = cell(2).await;
    let load = start_load(&cell).await;

    cell.set_minion_leaving(0).await.unwrap();
    let listed = SystemTime::now();
    tokio::time::sleep(LEAVING_TIME_MAX + PHASE).await;
    let finished = load.stop().await;

    let records = cell.minion_records().await.unwrap();
    let late = records[0]
        .runs
        .iter()
        .filter(|run| run.started > listed + LEAVING_TIME_MAX);
    assert_eq!(late.count(), 0);
    assert!(
        !records[0].runs.is_empty(),
        "the minion ran requests before it was leaving"
    );
    assert_no_request_failed(&cell, &finished).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_minion_that_refuses_connections_fails_no_quote() {
    let cell = cell(2).await;
    let load = start_idempotent_load(&cell).await;

    let refusing = ProxyFaults::refusing();
    cell.minions[0].proxy.set_faults(refusing).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let finished = load.stop().await;

    assert_no_request_failed(&cell, &finished).await;
}

/// Guards against retries that stay in the group of a failure domain whose only minion refuses
/// them: they must go to another group.
#[tokio::test(flavor = "multi_thread")]
async fn a_minion_that_refuses_connections_and_is_alone_in_its_failure_domain_fails_no_quote() {
    let cell = cell(2).await;
    let load = start_idempotent_load(&cell).await;

    let refusing = ProxyFaults::refusing();
    cell.minions[1].proxy.set_faults(refusing).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let healthy = ProxyFaults::default();
    cell.minions[1].proxy.set_faults(healthy).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let finished = load.stop().await;

    assert_no_request_failed(&cell, &finished).await;
}
