//! Planned stops.

mod support;

use std::time::Instant;

use support::{eventually, start, Cell, Fault, Node};

const GROUPS: [&str; 6] = ["g1", "g2", "g3", "g4", "g5", "g6"];

/// Three instances with two groups each, and one entry in every group.
async fn three(cell: &Cell) -> Vec<Node> {
    let mut nodes = Vec::new();
    for number in 1..=3 {
        nodes.push(start(cell, number, &GROUPS).await);
    }
    eventually("two each", || nodes.iter().all(|node| node.owned() == 2)).await;
    for group in GROUPS {
        let owner = nodes.iter().find(|node| node.owns(group)).unwrap();
        owner.append(group, "k", Some(group)).await.unwrap();
    }
    nodes
}

/// The groups that a node does not own.
fn foreign(node: &Node) -> Vec<&'static str> {
    GROUPS
        .into_iter()
        .filter(|group| !node.owns(group))
        .collect()
}

/// Whether a node adopted these groups with their entry, and from no fenced owner.
fn took_over(node: &Node, groups: &[&str]) -> bool {
    let seen = node.seen.lock().unwrap();
    let holds = |group: &&str| {
        let adoption = &seen.groups[*group];
        adoption.fenced_owner.is_none() && adoption.entries.len() == 1
    };
    groups.iter().all(holds)
}

#[tokio::test]
async fn two_instances_that_leave_at_once_lose_nothing_and_wait_for_no_takeover() {
    let cell = Cell::new();
    let nodes = three(&cell).await;
    let foreign = foreign(&nodes[2]);
    let begun = Instant::now();

    let (first, second) = tokio::join!(nodes[0].hand_over(), nodes[1].hand_over());
    eventually("the third owns all", || nodes[2].owned() == 6).await;
    let taken = begun.elapsed();

    println!("two of three instances handed over within {taken:?}");
    assert_eq!((first, second), (Ok(()), Ok(())));
    assert!(took_over(&nodes[2], &foreign));
    assert!(taken < cell.timing.takeover);
}

#[tokio::test]
async fn a_hand_over_waits_for_a_table_that_is_down() {
    let cell = Cell::new();
    let nodes = three(&cell).await;
    let foreign = foreign(&nodes[2]);
    nodes.iter().for_each(|node| node.table.set(Fault::Down));
    tokio::time::sleep(cell.timing.takeover).await;
    let served = nodes[0].owned();

    let heal = async {
        tokio::time::sleep(cell.timing.lease).await;
        nodes.iter().for_each(|node| node.table.set(Fault::None));
    };
    let (first, second, ()) = tokio::join!(nodes[0].hand_over(), nodes[1].hand_over(), heal);
    eventually("the third owns all", || nodes[2].owned() == 6).await;

    assert_eq!(served, 2, "owners serve on while the table is down");
    assert_eq!((first, second), (Ok(()), Ok(())));
    assert!(took_over(&nodes[2], &foreign));
}

#[tokio::test]
async fn groups_that_all_gave_up_are_found_by_the_next_instance() {
    let cell = Cell::new();
    let nodes = three(&cell).await;

    let (a, b, c) = tokio::join!(
        nodes[0].hand_over(),
        nodes[1].hand_over(),
        nodes[2].hand_over()
    );
    drop(nodes);
    let next = start(&cell, 4, &GROUPS).await;
    eventually("the next owns all", || next.owned() == 6).await;

    assert_eq!((a, b, c), (Ok(()), Ok(()), Ok(())));
    assert!(took_over(&next, &GROUPS));
}
