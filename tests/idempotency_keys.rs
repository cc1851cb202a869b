//! A request with a repeated key runs once, at whichever instance and moment it is repeated.

use jackdawchute_standins::{
    caller::{Call, Caller, Outcome},
    harness::{wait_until, Cell, CellEntry, CellOptions, ServicePlan},
};

/// The number of orders of each test.
const ORDERS: usize = 40;
/// The number of key groups of a service; it has one more group for each failure domain.
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

/// Sends all orders to one instance, one after the other.
async fn send_orders(cell: &Cell, entry: usize) -> Vec<Outcome> {
    let caller = Caller::new().unwrap();
    let address = cell.entries[entry].process.callers;
    let mut outcomes = Vec::new();
    for number in 0..ORDERS {
        outcomes.push(caller.call(address, &order(number)).await);
    }
    outcomes
}

/// Waits until each instance knows the owners of all groups of the service.
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

/// Guards against keys that move to another group when the service gets a further failure domain: a
/// repeated order would run a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_runs_once_when_a_failure_domain_is_added() {
    let mut cell = Cell::start(options(1)).await.unwrap();
    wait_for_groups(&cell.entries, 2).await;
    let first = send_orders(&cell, 0).await;

    cell.list_every_minion().await.unwrap();
    wait_for_groups(&cell.entries, 3).await;
    let repeated = send_orders(&cell, 1).await;

    assert!(first.iter().all(Outcome::is_answered), "{first:?}");
    assert_eq!(cell.violations().await.unwrap(), []);
    assert_eq!(repeated, first);
}

/// Guards against keys and stored responses that are lost in a takeover.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_its_first_answer_once_every_group_is_owned_again() {
    let mut cell = Cell::start(options(0)).await.unwrap();
    wait_for_groups(&cell.entries, 3).await;
    let dead = cell.entries[0].status().await.unwrap().incarnation;
    let first = send_orders(&cell, 1).await;

    cell.entries[0].kill().await.unwrap();
    cell.wait_until_succeeded(1, &dead).await.unwrap();
    cell.wait_until_succeeded(2, &dead).await.unwrap();
    wait_for_groups(&cell.entries[1..], 3).await;
    let repeated = send_orders(&cell, 2).await;

    assert!(first.iter().all(Outcome::is_answered), "{first:?}");
    assert_eq!(cell.violations().await.unwrap(), []);
    assert_eq!(repeated, first);
}

/// Guards against a second run of an order that is repeated while the groups of the killed instance
/// may still be without an owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_its_first_answer_during_a_takeover() {
    let mut cell = Cell::start(options(0)).await.unwrap();
    wait_for_groups(&cell.entries, 3).await;
    let dead = cell.entries[0].status().await.unwrap().incarnation;
    let first = send_orders(&cell, 1).await;

    cell.entries[0].kill().await.unwrap();
    cell.wait_until_succeeded(1, &dead).await.unwrap();
    cell.wait_until_succeeded(2, &dead).await.unwrap();
    let repeated = send_orders(&cell, 2).await;

    assert!(first.iter().all(Outcome::is_answered), "{first:?}");
    assert_eq!(cell.violations().await.unwrap(), []);
    assert_eq!(repeated, first);
}
