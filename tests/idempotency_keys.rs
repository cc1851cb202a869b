//! A key runs once, wherever and whenever it is repeated.

use jackdawchute_standins::{
    caller::{Call, Caller, Outcome},
    harness::{wait_until, Cell, CellEntry, CellOptions, ServicePlan},
};

/// The orders of each test.
const ORDERS: usize = 40;
/// The groups of a service that decide for keys, beside one for each failure domain.
const KEY_GROUPS: usize = 8;

fn options(unlisted_minions: usize) -> CellOptions {
    CellOptions {
        entries: 3,
        services: vec![ServicePlan {
            service: "repair-desk".into(),
            minions: 3,
            slots: 8,
            connections: 64,
        }],
        unlisted_minions,
        ..CellOptions::new(env!("CARGO_BIN_EXE_jackdawchute"))
    }
}

fn order(number: usize) -> Call {
    Call::post("/repair-desk/orders", format!("order-{number}")).with_key(format!("key-{number}"))
}

async fn call_all(cell: &Cell, entry: usize) -> Vec<Outcome> {
    let caller = Caller::new().unwrap();
    let address = cell.entries[entry].process.callers;
    let mut outcomes = Vec::new();
    for number in 0..ORDERS {
        outcomes.push(caller.call(address, &order(number)).await);
    }
    outcomes
}

async fn wait_for_groups(entries: &[CellEntry], domains: usize) {
    for entry in entries {
        wait_until("owners of the service's groups", || async {
            let owners = entry.status().await.ok()?.owners;
            let groups = owners
                .keys()
                .filter(|group| group.starts_with("service/repair-desk/"));
            (groups.count() == domains + KEY_GROUPS).then_some(())
        })
        .await
        .unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_runs_once_although_a_failure_domain_appears() {
    let mut cell = Cell::start(options(1)).await.unwrap();
    wait_for_groups(&cell.entries, 2).await;
    let first = call_all(&cell, 0).await;

    cell.list_every_minion().await.unwrap();
    wait_for_groups(&cell.entries, 3).await;
    let repeated = call_all(&cell, 1).await;

    assert!(first.iter().all(Outcome::is_answered), "{first:?}");
    assert_eq!(cell.violations().await.unwrap(), []);
    assert_eq!(repeated, first);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_its_first_answer_once_every_group_is_owned_again() {
    let mut cell = Cell::start(options(0)).await.unwrap();
    wait_for_groups(&cell.entries, 3).await;
    let dead = cell.entries[0].status().await.unwrap().incarnation;
    let first = call_all(&cell, 1).await;

    cell.entries[0].kill().await.unwrap();
    cell.wait_until_succeeded(1, &dead).await.unwrap();
    cell.wait_until_succeeded(2, &dead).await.unwrap();
    wait_for_groups(&cell.entries[1..], 3).await;
    let repeated = call_all(&cell, 2).await;

    assert!(first.iter().all(Outcome::is_answered), "{first:?}");
    assert_eq!(cell.violations().await.unwrap(), []);
    assert_eq!(repeated, first);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_its_first_answer_during_a_takeover() {
    let mut cell = Cell::start(options(0)).await.unwrap();
    wait_for_groups(&cell.entries, 3).await;
    let dead = cell.entries[0].status().await.unwrap().incarnation;
    let first = call_all(&cell, 1).await;

    cell.entries[0].kill().await.unwrap();
    cell.wait_until_succeeded(1, &dead).await.unwrap();
    cell.wait_until_succeeded(2, &dead).await.unwrap();
    let repeated = call_all(&cell, 2).await;

    assert!(first.iter().all(Outcome::is_answered), "{first:?}");
    assert_eq!(cell.violations().await.unwrap(), []);
    assert_eq!(repeated, first);
}
