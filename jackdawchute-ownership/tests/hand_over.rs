//! Planned stops: instances that hand their groups over.

mod support;

use std::time::Instant;

use support::{eventually, start, Cell, Fault, Instance};

const GROUPS: [&str; 6] = ["g1", "g2", "g3", "g4", "g5", "g6"];

/// Starts three instances with two groups each, and one entry in every group.
async fn three_instances(cell: &Cell) -> Vec<Instance> {
    let mut instances = Vec::new();
    for number in 1..=3 {
        instances.push(start(cell, number, &GROUPS).await);
    }
    eventually("each instance owns two groups", || {
        instances.iter().all(|instance| instance.owned_count() == 2)
    })
    .await;
    for group in GROUPS {
        let owner = instances
            .iter()
            .find(|instance| instance.owns(group))
            .unwrap();
        owner.append(group, "k", Some(group)).await.unwrap();
    }
    instances
}

/// Returns the groups that an instance does not own.
fn not_owned(instance: &Instance) -> Vec<&'static str> {
    GROUPS
        .into_iter()
        .filter(|group| !instance.owns(group))
        .collect()
}

/// Whether an instance has claimed these groups with their entry, and without a fence of their
/// owners.
fn claimed_without_fence(instance: &Instance, groups: &[&str]) -> bool {
    let observed = instance.observed.lock().unwrap();
    let is_complete = |group: &&str| {
        let claimed_group = &observed.groups[*group];
        claimed_group.fenced_owner.is_none() && claimed_group.entries.len() == 1
    };
    groups.iter().all(is_complete)
}

#[tokio::test]
async fn two_instances_that_leave_at_once_lose_nothing_and_cause_no_takeover() {
    let cell = Cell::new();
    let instances = three_instances(&cell).await;
    let not_owned = not_owned(&instances[2]);
    let begun = Instant::now();

    let (first, second) = tokio::join!(instances[0].hand_over(), instances[1].hand_over());
    eventually("the third instance owns all groups", || {
        instances[2].owned_count() == 6
    })
    .await;
    let elapsed = begun.elapsed();

    println!("two of three instances handed over within {elapsed:?}");
    assert_eq!((first, second), (Ok(()), Ok(())));
    assert!(claimed_without_fence(&instances[2], &not_owned));
    assert!(elapsed < cell.timing.takeover);
}

#[tokio::test]
async fn a_handover_waits_for_a_table_that_is_down() {
    let cell = Cell::new();
    let instances = three_instances(&cell).await;
    let not_owned = not_owned(&instances[2]);
    instances
        .iter()
        .for_each(|instance| instance.table.set(Fault::Down));
    tokio::time::sleep(cell.timing.takeover).await;
    let owned_in_outage = instances[0].owned_count();

    let heal = async {
        tokio::time::sleep(cell.timing.lease).await;
        instances
            .iter()
            .for_each(|instance| instance.table.set(Fault::None));
    };
    let (first, second, ()) =
        tokio::join!(instances[0].hand_over(), instances[1].hand_over(), heal);
    eventually("the third instance owns all groups", || {
        instances[2].owned_count() == 6
    })
    .await;

    assert_eq!(
        owned_in_outage, 2,
        "owners keep their groups while the table is down"
    );
    assert_eq!((first, second), (Ok(()), Ok(())));
    assert!(claimed_without_fence(&instances[2], &not_owned));
}

#[tokio::test]
async fn groups_that_all_instances_released_are_claimed_by_the_next_one() {
    let cell = Cell::new();
    let instances = three_instances(&cell).await;

    let (a, b, c) = tokio::join!(
        instances[0].hand_over(),
        instances[1].hand_over(),
        instances[2].hand_over()
    );
    drop(instances);
    let next = start(&cell, 4, &GROUPS).await;
    eventually("the next instance owns all groups", || {
        next.owned_count() == 6
    })
    .await;

    assert_eq!((a, b, c), (Ok(()), Ok(()), Ok(())));
    assert!(claimed_without_fence(&next, &GROUPS));
}
