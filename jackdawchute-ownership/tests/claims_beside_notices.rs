//! Claims of released groups while callers keep asking for their owners.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_ownership::{
    effect::Effect,
    rows::{GROUP_PREFIX, INCARNATION_PREFIX},
    state::{Identity, State},
    view::ScannedRows,
    Call, Incoming, Timing,
};
use jackdawchute_ports::{Commit, MemoryTable, Write};
use jackdawchute_types::GroupId;
use support::{start, Cell, Fault, Instance};
use tokio::sync::oneshot;

/// How often an entry instance tells its ownership task that a caller waits for an owner, in a cell
/// with a tenth of the usual times.
const NOTICE_PERIOD: Duration = Duration::from_millis(10);

fn group() -> GroupId {
    "g1".into()
}

fn state(number: u16) -> State {
    let identity = Identity {
        incarnation: format!("entry-{number}").into(),
        peer_address: ([127, 0, 0, 1], number).into(),
        failure_domain: "ala-1".into(),
    };
    State::new(identity, Timing::default())
}

fn scan(table: &MemoryTable) -> ScannedRows {
    ScannedRows {
        incarnations: table.changes(INCARNATION_PREFIX, 0),
        groups: table.changes(GROUP_PREFIX, 0),
    }
}

/// Carries out effects, and those that follow, on the table at once.
fn settle(state: &mut State, table: &MemoryTable, effects: Vec<Effect>, now: Instant) {
    let mut pending = effects;
    while let Some(effect) = pending.pop() {
        pending.extend(match effect {
            Effect::Commit(commit) => answer_commit(state, table, commit, now),
            Effect::Scan { .. } => {
                let rows = scan(table);
                state.scanned(Some(rows), now)
            }
            Effect::LoadJournals { groups, .. } => {
                state.journals_loaded(&groups, Some(Default::default()), now)
            }
            _ => Vec::new(),
        });
    }
}

fn answer_commit(
    state: &mut State,
    table: &MemoryTable,
    commit: Commit,
    now: Instant,
) -> Vec<Effect> {
    let write_id = commit.write_id.clone();
    let outcome = table.apply(commit);
    state.commit_finished(&write_id, Ok(outcome), now)
}

/// Starts a state that has joined the cell of the table and wants the group to have an owner.
fn joined(number: u16, table: &MemoryTable, now: Instant) -> State {
    let mut state = state(number);
    let effects = state.tick(now);
    settle(&mut state, table, effects, now);
    let effects = state.set_desired_groups(Arc::new([group()].into()), now);
    settle(&mut state, table, effects, now);
    state
}

/// Returns a table on which a leaving owner has just released the group, and an instance that does
/// not know this yet.
fn released(now: Instant) -> (MemoryTable, State) {
    let table = MemoryTable::default();
    let mut owner = joined(1, &table, now);
    let successor = joined(2, &table, now);
    let effects = owner.hand_over(now);
    settle(&mut owner, &table, effects, now);
    (table, successor)
}

fn commits(effects: &[Effect]) -> Vec<Commit> {
    let commit = |effect: &Effect| match effect {
        Effect::Commit(commit) => Some(commit.clone()),
        _ => None,
    };
    effects.iter().filter_map(commit).collect()
}

fn claims_group(effects: &[Effect]) -> bool {
    let key = format!("{GROUP_PREFIX}{}", group());
    let commits = commits(effects);
    let mut writes = commits.iter().flat_map(|commit| &commit.writes);
    writes.any(|write| write.key == key)
}

#[test]
fn a_notice_during_a_scan_does_not_put_off_the_claim_of_a_group_that_the_scan_shows() {
    let now = Instant::now();
    let (table, mut successor) = released(now);

    successor.rows_changed(now);
    let rows = scan(&table);
    successor.rows_changed(now);
    let effects = successor.scanned(Some(rows), now);

    assert!(claims_group(&effects));
}

#[test]
fn a_scan_does_not_put_off_the_claim_of_a_group_that_the_scan_before_it_showed() {
    let now = Instant::now();
    let (table, mut successor) = released(now);
    let due = now + Timing::default().renewal_period;
    let renewal = commits(&successor.tick(due)).remove(0);
    let rows = scan(&table);
    successor.scanned(Some(rows), due);
    successor.rows_changed(due);

    let effects = answer_commit(&mut successor, &table, renewal, due);

    assert!(claims_group(&effects));
}

/// Changes the version of the group's row, as another instance that writes it would.
fn touch_group(table: &MemoryTable) {
    let row = table.changes(GROUP_PREFIX, 0).rows.remove(0);
    table.apply(Commit {
        writes: vec![Write {
            key: row.key,
            value: row.value,
        }],
        ..Commit::default()
    });
}

#[test]
fn a_claim_that_conflicted_waits_for_a_scan_that_began_after_the_conflict() {
    let now = Instant::now();
    let (table, mut successor) = released(now);
    successor.rows_changed(now);
    let claim = commits(&successor.scanned(Some(scan(&table)), now)).remove(0);
    successor.rows_changed(now);
    let before_conflict = scan(&table);
    touch_group(&table);

    let conflicted = answer_commit(&mut successor, &table, claim, now);
    let scanned_before = successor.scanned(Some(before_conflict), now);
    successor.rows_changed(now);
    let scanned_after = successor.scanned(Some(scan(&table)), now);

    assert!(!claims_group(&conflicted));
    assert!(!claims_group(&scanned_before));
    assert!(claims_group(&scanned_after));
}

/// Tells an instance, as its callers' requests do, that an owner is missing.
async fn notify_until_owned(instance: &Instance, group: &str) {
    while !instance.owns(group) {
        let (reply, _answer) = oneshot::channel();
        let call = Call::RowsChanged;
        instance.task.send(Incoming { call, reply }).await.unwrap();
        tokio::time::sleep(NOTICE_PERIOD).await;
    }
}

#[tokio::test]
async fn a_group_is_claimed_from_a_slow_table_while_callers_ask_for_its_owner() {
    let cell = Cell::new();
    let leaving = start(&cell, 1, &["g1"]).await;
    leaving.until_owns("g1").await;
    let successor = start(&cell, 2, &["g1"]).await;
    let slow = Fault::Slow(2 * NOTICE_PERIOD);
    successor.table.set(slow);

    let (released, ()) = tokio::join!(
        leaving.hand_over(),
        support::within(
            "the successor owns the group",
            notify_until_owned(&successor, "g1")
        )
    );

    assert_eq!(released, Ok(()));
}

#[tokio::test]
async fn an_owner_that_ended_is_fenced_on_a_slow_table_while_callers_ask_for_it() {
    let cell = Cell::new();
    let ended = start(&cell, 1, &["g1"]).await;
    ended.until_owns("g1").await;
    let successor = start(&cell, 2, &["g1"]).await;
    successor.table.set(Fault::Slow(2 * NOTICE_PERIOD));
    ended.isolate(&cell);

    support::within(
        "the successor owns the group",
        notify_until_owned(&successor, "g1"),
    )
    .await;

    let fenced = successor.claimed_group("g1").fenced_owner;
    assert_eq!(fenced, Some(ended.incarnation));
}

/// Appends to a group that an instance owns, one entry after the other, until it also owns `other`.
async fn append_until_owned(instance: &Instance, group: &str, other: &str) {
    while !instance.owns(other) {
        instance.append(group, "k", Some("v")).await.unwrap();
    }
}

#[tokio::test]
async fn an_owner_that_ended_is_fenced_on_a_slow_table_by_an_owner_that_appends_all_the_time() {
    let cell = Cell::new();
    let ended = start(&cell, 1, &["g1", "g2"]).await;
    let successor = start(&cell, 2, &["g1", "g2"]).await;
    support::eventually("each instance owns one group", || {
        ended.owned_count() == 1 && successor.owned_count() == 1
    })
    .await;
    let (own, lost) = match successor.owns("g1") {
        true => ("g1", "g2"),
        false => ("g2", "g1"),
    };
    successor.table.set(Fault::Slow(2 * NOTICE_PERIOD));
    ended.isolate(&cell);

    support::within("the successor owns both groups", async {
        tokio::join!(
            notify_until_owned(&successor, lost),
            append_until_owned(&successor, own, lost)
        )
    })
    .await;

    let fenced = successor.claimed_group(lost).fenced_owner;
    assert_eq!(fenced, Some(ended.incarnation));
}
