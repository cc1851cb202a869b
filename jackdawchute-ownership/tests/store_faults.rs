//! The table is down, for one or for all, and answers are lost.

mod support;

use std::time::Duration;

use jackdawchute_ownership::{Error, LeaseState};
use jackdawchute_ports::MemoryTable;
use support::{eventually, start, within, Cell, Fault, Node};

async fn lone(cell: &Cell) -> Node {
    let node = start(cell, 1, &["g1"]).await;
    node.until_owns("g1").await;
    node
}

async fn confirmed_pair(cell: &Cell) -> (Node, Node) {
    let first = start(cell, 1, &["g1", "g2"]).await;
    let second = start(cell, 2, &["g1", "g2"]).await;
    eventually("one each", || first.owned() == 1 && second.owned() == 1).await;
    let knows = |node: &Node| node.seen.lock().unwrap().directory.incarnations.len() == 2;
    eventually("both known", || knows(&first) && knows(&second)).await;
    (first, second)
}

fn group_of(node: &Node) -> String {
    let group = if node.owns("g1") { "g1" } else { "g2" };
    group.to_owned()
}

/// How often the key stands in any journal of the table.
fn times_journaled(table: &MemoryTable, key: &str) -> usize {
    let rows = table.changes("journal/", 0).rows;
    let values = rows.iter().filter_map(|row| row.value.as_deref());
    let quoted = format!("\"{key}\"");
    values.map(|value| value.matches(&quoted).count()).sum()
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_lands_once() {
    let cell = Cell::new();
    let node = lone(&cell).await;

    node.table.set(Fault::AnswersLost);
    let result = node.append("g1", "once", Some("v")).await;

    assert_eq!(result, Ok(()));
    assert_eq!(times_journaled(&cell.table, "once"), 1);
}

#[tokio::test]
async fn an_append_that_was_lost_on_its_way_is_sent_again() {
    let cell = Cell::new();
    let node = lone(&cell).await;

    node.table.set(Fault::CommitsLost);
    let append = node.append("g1", "again", Some("v"));
    let heal = async {
        tokio::time::sleep(cell.timing.renewal_period).await;
        assert_eq!(times_journaled(&cell.table, "again"), 0);
        node.table.set(Fault::None);
    };
    let (result, ()) = tokio::join!(append, heal);

    assert_eq!(result, Ok(()));
    assert_eq!(times_journaled(&cell.table, "again"), 1);
}

#[tokio::test]
async fn an_append_that_arrives_late_lands_once() {
    let cell = Cell::new();
    let node = lone(&cell).await;

    node.table
        .set(Fault::CommitsLate(Duration::from_millis(40)));
    let result = node.append("g1", "late", Some("v")).await;
    let next = node.append("g1", "next", Some("v")).await;

    assert_eq!((result, next), (Ok(()), Ok(())));
    assert_eq!(times_journaled(&cell.table, "late"), 1);
}

#[tokio::test]
async fn a_peer_carries_the_commits_of_a_holder_without_the_table() {
    let cell = Cell::new();
    let (holder, _peer) = confirmed_pair(&cell).await;
    let group = group_of(&holder);
    let before = holder.last_lease_states();

    holder.table.set(Fault::Down);
    tokio::time::sleep(cell.timing.takeover * 2).await;
    let result = holder.append(&group, "carried", Some("v")).await;

    assert_eq!(result, Ok(()));
    assert_eq!(times_journaled(&cell.table, "carried"), 1);
    assert_eq!(holder.last_lease_states(), before, "it stayed confirmed");
}

#[tokio::test]
async fn a_newcomer_carries_for_a_holder_that_cannot_read_of_it() {
    let cell = Cell::new();
    let holder = lone(&cell).await;

    holder.table.set(Fault::Down);
    eventually("alone without table", || {
        holder.lease_state() == Some(LeaseState::StoreDown)
    })
    .await;
    let newcomer = start(&cell, 2, &["g1"]).await;
    eventually("carried", || {
        holder.lease_state() == Some(LeaseState::Confirmed)
    })
    .await;
    tokio::time::sleep(cell.timing.newcomer_takeover * 2).await;
    let result = holder.append("g1", "carried", Some("v")).await;

    assert_eq!(result, Ok(()));
    assert!(!newcomer.owns("g1"));
}

#[tokio::test]
async fn while_the_table_is_down_for_all_owners_stay_and_appends_are_refused() {
    let cell = Cell::new();
    let (first, second) = confirmed_pair(&cell).await;
    let nodes = [&first, &second];
    let group = group_of(&first);

    nodes.iter().for_each(|node| node.table.set(Fault::Down));
    let store_down = |node: &&Node| node.lease_state() == Some(LeaseState::StoreDown);
    eventually("both know", || nodes.iter().all(store_down)).await;
    let refused = first.append(&group, "refused", Some("v")).await;
    tokio::time::sleep(cell.timing.takeover * 2).await;
    let during: Vec<_> = nodes
        .iter()
        .flat_map(|node| node.last_lease_states())
        .collect();
    nodes.iter().for_each(|node| node.table.set(Fault::None));
    let confirmed = |node: &&Node| node.lease_state() == Some(LeaseState::Confirmed);
    eventually("confirmed again", || nodes.iter().all(confirmed)).await;
    let accepted = first.append(&group, "accepted", Some("v")).await;

    assert!(matches!(refused, Err(Error::Unavailable(_))));
    assert_eq!(accepted, Ok(()));
    assert_eq!(times_journaled(&cell.table, "refused"), 0);
    assert!(!during.contains(&LeaseState::Fenced));
    assert!(
        nodes.iter().all(|node| node.owned() == 1),
        "nobody was fenced"
    );
}

#[tokio::test]
async fn a_table_slower_than_the_timeout_still_takes_appends() {
    let cell = Cell::new();
    let node = lone(&cell).await;

    node.table
        .set(Fault::Slow(cell.timing.call_timeout.mul_f32(1.5)));
    let first = node.append("g1", "first", Some("v")).await;
    let mut refused = 0;
    let again = async {
        while node
            .append("g1", &format!("again{refused}."), Some("v"))
            .await
            .is_err()
        {
            refused += 1;
            tokio::time::sleep(cell.timing.tick_period).await;
        }
    };
    within("a later append is taken", again).await;

    assert_eq!(first, Ok(()));
    assert_eq!(times_journaled(&cell.table, "first"), 1);
    let journaled = |n: usize| times_journaled(&cell.table, &format!("again{n}."));
    assert!((0..refused).all(|n| journaled(n) == 0));
    assert_eq!(journaled(refused), 1);
}

#[tokio::test]
async fn a_table_that_does_not_answer_counts_as_down() {
    let cell = Cell::new();
    let (first, second) = confirmed_pair(&cell).await;
    let nodes = [&first, &second];

    nodes.iter().for_each(|node| node.table.set(Fault::Hang));

    let store_down = |node: &&Node| node.lease_state() == Some(LeaseState::StoreDown);
    eventually("both know", || nodes.iter().all(store_down)).await;
}
