//! A successor for an incarnation that dies, is paused or is cut off.

mod support;

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use jackdawchute_ownership::{Error, LeaseState};
use support::{entry, eventually, start, within, Cell, Fault, Node};

const GROUPS: [&str; 4] = ["g1", "g2", "g3", "g4"];

/// Two instances that share the groups, and the one that owns `g1` first.
async fn pair(cell: &Cell) -> (Node, Node) {
    let first = start(cell, 1, &GROUPS).await;
    let second = start(cell, 2, &GROUPS).await;
    eventually("two each", || first.owned() == 2 && second.owned() == 2).await;
    match first.owns("g1") {
        true => (first, second),
        false => (second, first),
    }
}

#[tokio::test]
async fn a_dead_holders_entries_are_taken_over() {
    let cell = Cell::new();
    let (holder, successor) = pair(&cell).await;
    let epoch = holder.adoption("g1").epoch;
    holder.append("g1", "k1", Some("v1")).await.unwrap();
    holder.append("g1", "k2", Some("v2")).await.unwrap();
    holder.append("g1", "k1", None).await.unwrap();
    let dead = holder.incarnation.clone();

    drop(holder);
    successor.until_owns("g1").await;

    let adoption = successor.adoption("g1");
    assert_eq!(*adoption.entries, [("k2".into(), "v2".to_owned())]);
    assert_eq!(
        (adoption.epoch, adoption.fenced_owner),
        (epoch + 1, Some(dead))
    );
}

#[tokio::test]
async fn a_cut_off_holder_stops_before_its_successor_starts_and_then_learns_its_fence() {
    let cell = Cell::new();
    let (holder, successor) = pair(&cell).await;

    holder.isolate(&cell);
    eventually("cut off", || {
        holder.lease_state() == Some(LeaseState::CutOff)
    })
    .await;
    let cut_off = Instant::now();
    let refused = holder.append("g1", "refused", Some("v")).await;
    successor.until_owns("g1").await;
    holder.heal(&cell);
    eventually("fenced", || {
        holder.lease_state() == Some(LeaseState::Fenced)
    })
    .await;

    assert!(matches!(refused, Err(Error::Unavailable(_))));
    assert!(successor.adoption("g1").at > cut_off);
    assert!(successor.adoption("g1").entries.is_empty());
    assert_eq!(holder.owned(), 0);
    let error = holder.append("g1", "late", Some("v")).await;
    assert_eq!(error, Err(Error::Fenced(successor.incarnation.to_string())));
}

/// Every group has another owner, so that nothing needs the holder's row any more.
#[tokio::test]
async fn a_holder_that_is_cut_off_for_long_learns_who_fenced_it() {
    let cell = Cell::new();
    let (holder, successor) = pair(&cell).await;

    holder.isolate(&cell);
    for group in GROUPS {
        successor.until_owns(group).await;
    }
    tokio::time::sleep(cell.timing.newcomer_takeover * 2).await;
    holder.heal(&cell);
    eventually("fenced", || {
        holder.lease_state() == Some(LeaseState::Fenced)
    })
    .await;

    let error = holder.append("g1", "late", Some("v")).await;
    assert_eq!(error, Err(Error::Fenced(successor.incarnation.to_string())));
}

#[tokio::test]
async fn an_append_that_the_fence_overtakes_is_refused_and_never_found() {
    let cell = Cell::new();
    let (holder, successor) = pair(&cell).await;
    cell.peers.cut(holder.address);
    holder.table.set(Fault::CommitsLost);

    let append = holder.append("g1", "overtaken", Some("v"));
    let (result, ()) = tokio::join!(append, successor.until_owns("g1"));

    assert_eq!(
        result,
        Err(Error::Fenced(successor.incarnation.to_string()))
    );
    assert!(successor.adoption("g1").entries.is_empty());
}

#[tokio::test]
async fn a_commit_that_arrives_after_the_fence_has_no_effect() {
    let cell = Cell::new();
    let (holder, successor) = pair(&cell).await;
    cell.peers.cut(holder.address);
    holder
        .table
        .set(Fault::CommitsLate(cell.timing.takeover * 3));

    let answer = holder
        .begin_append(vec![entry("g1", "late", Some("v"))])
        .await;
    successor.until_owns("g1").await;
    let arrived = || holder.table.arrived_late.load(Ordering::Relaxed) > 0;
    eventually("the commit arrives", arrived).await;
    let result = within("an answer", answer).await.unwrap();

    let journals = format!("journal/{}/", holder.incarnation);
    assert!(cell.table.changes(&journals, 0).rows.is_empty());
    assert_eq!(
        result,
        Err(Error::Fenced(successor.incarnation.to_string()))
    );
}

#[tokio::test]
async fn an_append_whose_traces_are_deleted_has_an_unknown_outcome() {
    let cell = Cell::new();
    let (holder, successor) = pair(&cell).await;
    cell.peers.cut(holder.address);
    holder.table.set(Fault::Deaf);
    let entries = vec![entry("g1", "landed", Some("v"))];

    let answer = holder.begin_append(entries).await;
    successor.until_owns("g1").await;
    let row = format!("incarnation/{}", holder.incarnation);
    eventually("deleted", || cell.table.get(&row).is_none()).await;
    holder.heal(&cell);
    let answer = within("the outcome", answer).await;

    assert_eq!(successor.adoption("g1").entries.len(), 1);
    assert!(answer.is_err(), "neither journaled nor refused: {answer:?}");
}

#[tokio::test]
async fn the_groups_of_a_dead_instance_are_shared_out() {
    let cell = Cell::new();
    let groups = ["g1", "g2", "g3", "g4", "g5", "g6"];
    let mut nodes = Vec::new();
    for number in 1..=3 {
        nodes.push(start(&cell, number, &groups).await);
    }
    eventually("two each", || nodes.iter().all(|node| node.owned() == 2)).await;

    drop(nodes.remove(0));

    eventually("three each", || nodes.iter().all(|node| node.owned() == 3)).await;
}

#[tokio::test]
async fn a_second_takeover_amid_the_adoption_loses_nothing() {
    let cell = Cell::new();
    let first = start(&cell, 1, &["g1"]).await;
    first.until_owns("g1").await;
    let entries = (0..10_000).map(|i| entry("g1", &format!("k{i}"), Some("value")));
    first.append_all(entries.collect()).await.unwrap();
    let second = start(&cell, 2, &["g1"]).await;
    eventually("known", || {
        second.lease_state() == Some(LeaseState::Confirmed)
    })
    .await;
    second.table.set(Fault::Slow(cell.timing.call_timeout / 2));

    drop(first);
    second.until_owns("g1").await;
    let (forgot, added) = tokio::join!(
        second.append("g1", "k7", None),
        second.append("g1", "new", Some("value"))
    );
    drop(second);
    let third = start(&cell, 3, &["g1"]).await;
    eventually("confirmed", || {
        third.lease_state() == Some(LeaseState::Confirmed)
    })
    .await;
    let amid = cell.table.get("group/g1").unwrap().value.unwrap();
    third.until_owns("g1").await;

    let adopted = third.adoption("g1").entries;
    assert_eq!((forgot, added), (Ok(()), Ok(())));
    assert!(amid.contains("entry-1"), "the adoption was over too early");
    assert_eq!(adopted.len(), 10_000);
    assert!(!adopted.iter().any(|(key, _)| key == "k7"));
    assert!(adopted.iter().any(|(key, _)| key == "new"));
}

#[tokio::test]
async fn ten_thousand_open_entries_are_reloaded() {
    let cell = Cell::new();
    let (holder, successor) = pair(&cell).await;
    for batch in 0..10 {
        let keys = (0..1_000).map(|i| format!("task-{batch}-{i}"));
        let value = "{\"worker\":\"w-17\",\"state\":\"starting\",\"not_after_ms\":1234567}";
        let entries = keys.map(|key| entry("g1", &key, Some(value))).collect();
        holder.append_all(entries).await.unwrap();
    }
    successor.table.set(Fault::Slow(Duration::from_millis(5)));

    drop(holder);
    let fenced = || {
        cell.table
            .get("group/g1")
            .unwrap()
            .value
            .unwrap()
            .contains("inherited")
    };
    eventually("claimed", fenced).await;
    let claimed = Instant::now();
    successor.until_owns("g1").await;
    let served = claimed.elapsed();
    eventually("journaled anew", || !fenced()).await;
    let settled = claimed.elapsed();

    println!("10,000 entries: served {served:?} after the claim, settled after {settled:?}");
    assert_eq!(successor.adoption("g1").entries.len(), 10_000);
}

#[tokio::test]
async fn the_rows_of_a_dead_instance_are_deleted_once_nothing_needs_them() {
    let cell = Cell::new();
    let (holder, successor) = pair(&cell).await;
    holder.append("g1", "k", Some("v")).await.unwrap();
    let dead = holder.incarnation.clone();
    let rows = || {
        cell.table
            .changes(&format!("journal/{dead}/"), 0)
            .rows
            .len()
    };
    assert!(rows() > 0);

    drop(holder);
    successor.until_owns("g1").await;
    let gone = || rows() == 0 && cell.table.get(&format!("incarnation/{dead}")).is_none();
    eventually("deleted", gone).await;

    let third = start(&cell, 3, &GROUPS).await;
    drop(successor);
    within("the entry is still there", third.until_owns("g1")).await;
    assert_eq!(third.adoption("g1").entries.len(), 1);
}
