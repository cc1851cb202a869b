//! Takeover from an incarnation that dies or is cut off.

mod support;

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use jackdawchute_ownership::{Error, LeaseState};
use support::{entry, eventually, start, within, Cell, Fault, Instance};

const GROUPS: [&str; 4] = ["g1", "g2", "g3", "g4"];

/// Starts two instances with two groups each; the one that owns `g1` comes first.
async fn owner_and_successor(cell: &Cell) -> (Instance, Instance) {
    let first = start(cell, 1, &GROUPS).await;
    let second = start(cell, 2, &GROUPS).await;
    eventually("each instance owns two groups", || {
        first.owned_count() == 2 && second.owned_count() == 2
    })
    .await;
    match first.owns("g1") {
        true => (first, second),
        false => (second, first),
    }
}

#[tokio::test]
async fn a_successor_replays_the_live_entries_of_a_dead_owner() {
    let cell = Cell::new();
    let (owner, successor) = owner_and_successor(&cell).await;
    let epoch = owner.claimed_group("g1").epoch;
    owner.append("g1", "k1", Some("v1")).await.unwrap();
    owner.append("g1", "k2", Some("v2")).await.unwrap();
    owner.append("g1", "k1", None).await.unwrap();
    let dead_incarnation = owner.incarnation.clone();

    drop(owner);
    successor.until_owns("g1").await;

    let claimed_group = successor.claimed_group("g1");
    assert_eq!(*claimed_group.entries, [("k2".into(), "v2".to_owned())]);
    assert_eq!(
        (claimed_group.epoch, claimed_group.fenced_owner),
        (epoch + 1, Some(dead_incarnation))
    );
}

/// Guards against two owners at a time: the cut-off owner must give up before its successor serves.
#[tokio::test]
async fn a_cut_off_owner_stops_before_its_successor_starts_and_then_finds_itself_fenced() {
    let cell = Cell::new();
    let (owner, successor) = owner_and_successor(&cell).await;

    owner.isolate(&cell);
    eventually("the owner is cut off", || {
        owner.lease_state() == Some(LeaseState::CutOff)
    })
    .await;
    let cut_off = Instant::now();
    let refused = owner.append("g1", "refused", Some("v")).await;
    successor.until_owns("g1").await;
    owner.heal(&cell);
    eventually("the owner knows that it is fenced", || {
        owner.lease_state() == Some(LeaseState::Fenced)
    })
    .await;

    assert!(matches!(refused, Err(Error::Unavailable(_))));
    assert!(successor.claimed_group("g1").claimed_at > cut_off);
    assert!(successor.claimed_group("g1").entries.is_empty());
    assert_eq!(owner.owned_count(), 0);
    let error = owner.append("g1", "late", Some("v")).await;
    assert_eq!(error, Err(Error::Fenced(successor.incarnation.to_string())));
}

/// Guards against garbage collection that deletes a fenced row too early. Every group has another
/// owner, so that no group needs the row any more, but the cut-off owner still has to read who
/// fenced it.
#[tokio::test]
async fn an_owner_that_was_cut_off_for_long_still_reads_who_fenced_it() {
    let cell = Cell::new();
    let (owner, successor) = owner_and_successor(&cell).await;

    owner.isolate(&cell);
    for group in GROUPS {
        successor.until_owns(group).await;
    }
    tokio::time::sleep(cell.timing.newcomer_takeover * 2).await;
    owner.heal(&cell);
    eventually("the owner knows that it is fenced", || {
        owner.lease_state() == Some(LeaseState::Fenced)
    })
    .await;

    let error = owner.append("g1", "late", Some("v")).await;
    assert_eq!(error, Err(Error::Fenced(successor.incarnation.to_string())));
}

/// No attempt of the commit reaches the table before the fence.
#[tokio::test]
async fn an_append_lost_before_the_fence_is_refused_and_not_in_the_journal() {
    let cell = Cell::new();
    let (owner, successor) = owner_and_successor(&cell).await;
    cell.peers.cut_off(owner.address);
    owner.table.set(Fault::CommitsLost);

    let append = owner.append("g1", "lost", Some("v"));
    let (result, ()) = tokio::join!(append, successor.until_owns("g1"));

    assert_eq!(
        result,
        Err(Error::Fenced(successor.incarnation.to_string()))
    );
    assert!(successor.claimed_group("g1").entries.is_empty());
}

/// Guards against a commit that is delayed in the network until the row it depends on is fenced.
#[tokio::test]
async fn a_commit_that_arrives_after_the_fence_has_no_effect() {
    let cell = Cell::new();
    let (owner, successor) = owner_and_successor(&cell).await;
    cell.peers.cut_off(owner.address);
    owner
        .table
        .set(Fault::CommitsLate(cell.timing.takeover * 3));

    let answer = owner
        .begin_append(vec![entry("g1", "late", Some("v"))])
        .await;
    successor.until_owns("g1").await;
    let has_arrived = || owner.table.late_commits.load(Ordering::Relaxed) > 0;
    eventually("the late commit arrives", has_arrived).await;
    let result = within("an answer", answer).await.unwrap();

    let journals = format!("journal/{}/", owner.incarnation);
    assert!(cell.table.changes(&journals, 0).rows.is_empty());
    assert_eq!(
        result,
        Err(Error::Fenced(successor.incarnation.to_string()))
    );
}

/// The append takes effect, but its answer is lost, and garbage collection deletes the owner's row
/// before the owner can read it again.
#[tokio::test]
async fn an_append_whose_rows_were_deleted_has_an_unknown_outcome() {
    let cell = Cell::new();
    let (owner, successor) = owner_and_successor(&cell).await;
    cell.peers.cut_off(owner.address);
    owner.table.set(Fault::AnswersLostAndReadsFail);
    let entries = vec![entry("g1", "applied", Some("v"))];

    let answer = owner.begin_append(entries).await;
    successor.until_owns("g1").await;
    let row = format!("incarnation/{}", owner.incarnation);
    eventually("the rows are deleted", || cell.table.get(&row).is_none()).await;
    owner.heal(&cell);
    let answer = within("the outcome", answer).await;

    assert_eq!(successor.claimed_group("g1").entries.len(), 1);
    assert!(answer.is_err(), "neither journaled nor refused: {answer:?}");
}

#[tokio::test]
async fn the_groups_of_a_dead_instance_are_divided_among_the_others() {
    let cell = Cell::new();
    let groups = ["g1", "g2", "g3", "g4", "g5", "g6"];
    let mut instances = Vec::new();
    for number in 1..=3 {
        instances.push(start(&cell, number, &groups).await);
    }
    eventually("each instance owns two groups", || {
        instances.iter().all(|instance| instance.owned_count() == 2)
    })
    .await;

    drop(instances.remove(0));

    eventually("each instance owns three groups", || {
        instances.iter().all(|instance| instance.owned_count() == 3)
    })
    .await;
}

/// The second owner dies before it has copied all inherited entries, so that the third has to
/// replay the journals of both predecessors.
#[tokio::test]
async fn a_takeover_while_inherited_entries_are_copied_loses_nothing() {
    let cell = Cell::new();
    let first = start(&cell, 1, &["g1"]).await;
    first.until_owns("g1").await;
    let entries = (0..10_000).map(|i| entry("g1", &format!("k{i}"), Some("value")));
    first.append_all(entries.collect()).await.unwrap();
    let second = start(&cell, 2, &["g1"]).await;
    eventually("the second instance is confirmed", || {
        second.lease_state() == Some(LeaseState::Confirmed)
    })
    .await;
    second.table.set(Fault::Slow(cell.timing.call_timeout / 2));

    drop(first);
    second.until_owns("g1").await;
    let (removed, added) = tokio::join!(
        second.append("g1", "k7", None),
        second.append("g1", "new", Some("value"))
    );
    drop(second);
    let third = start(&cell, 3, &["g1"]).await;
    eventually("the third instance is confirmed", || {
        third.lease_state() == Some(LeaseState::Confirmed)
    })
    .await;
    let row_before_takeover = cell.table.get("group/g1").unwrap().value.unwrap();
    third.until_owns("g1").await;

    let replayed = third.claimed_group("g1").entries;
    assert_eq!((removed, added), (Ok(()), Ok(())));
    assert!(
        row_before_takeover.contains("entry-1"),
        "the inherited entries were all copied too early"
    );
    assert_eq!(replayed.len(), 10_000);
    assert!(!replayed.iter().any(|(key, _)| key == "k7"));
    assert!(replayed.iter().any(|(key, _)| key == "new"));
}

#[tokio::test]
async fn ten_thousand_live_entries_are_replayed() {
    let cell = Cell::new();
    let (owner, successor) = owner_and_successor(&cell).await;
    for batch in 0..10 {
        let keys = (0..1_000).map(|i| format!("task-{batch}-{i}"));
        let value = "{\"worker\":\"w-17\",\"state\":\"starting\",\"not_after_ms\":1234567}";
        let entries = keys.map(|key| entry("g1", &key, Some(value))).collect();
        owner.append_all(entries).await.unwrap();
    }
    successor.table.set(Fault::Slow(Duration::from_millis(5)));

    drop(owner);
    let lists_predecessors = || {
        cell.table
            .get("group/g1")
            .unwrap()
            .value
            .unwrap()
            .contains("inherited")
    };
    eventually("the group is claimed", lists_predecessors).await;
    let claimed = Instant::now();
    successor.until_owns("g1").await;
    let served_after = claimed.elapsed();
    eventually("all inherited entries are copied", || !lists_predecessors()).await;
    let copied_after = claimed.elapsed();

    println!(
        "10,000 entries: served {served_after:?} after the claim, copied after {copied_after:?}"
    );
    assert_eq!(successor.claimed_group("g1").entries.len(), 10_000);
}

#[tokio::test]
async fn the_rows_of_a_dead_instance_are_deleted_once_nothing_needs_them() {
    let cell = Cell::new();
    let (owner, successor) = owner_and_successor(&cell).await;
    owner.append("g1", "k", Some("v")).await.unwrap();
    let dead_incarnation = owner.incarnation.clone();
    let rows = || {
        cell.table
            .changes(&format!("journal/{dead_incarnation}/"), 0)
            .rows
            .len()
    };
    assert!(rows() > 0);

    drop(owner);
    successor.until_owns("g1").await;
    let is_deleted = || {
        rows() == 0
            && cell
                .table
                .get(&format!("incarnation/{dead_incarnation}"))
                .is_none()
    };
    eventually("the rows are deleted", is_deleted).await;

    let third = start(&cell, 3, &GROUPS).await;
    drop(successor);
    within(
        "the third instance claims the group",
        third.until_owns("g1"),
    )
    .await;
    assert_eq!(third.claimed_group("g1").entries.len(), 1);
}
