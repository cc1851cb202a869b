//! Claims, appends and the assignment of groups.

mod support;

use jackdawchute_ownership::{Error, LeaseState};
use support::{eventually, start, Cell};

#[tokio::test]
async fn a_lone_instance_owns_every_desired_group_and_journals() {
    let cell = Cell::new();

    let instance = start(&cell, 1, &["rack/r1", "rack/r2"]).await;
    eventually("the instance owns both groups", || {
        instance.owned_count() == 2
    })
    .await;

    assert_eq!(instance.append("rack/r1", "k", Some("v")).await, Ok(()));
    assert_eq!(instance.claimed_group("rack/r1").epoch, 1);
    assert_eq!(instance.lease_state(), Some(LeaseState::Confirmed));
}

#[tokio::test]
async fn an_append_for_a_group_that_is_not_owned_is_refused() {
    let cell = Cell::new();
    let instance = start(&cell, 1, &["rack/r1"]).await;
    instance.until_owns("rack/r1").await;

    let result = instance.append("rack/other", "k", Some("v")).await;

    assert_eq!(result, Err(Error::NotOwner("rack/other".into())));
}

#[tokio::test]
async fn groups_are_rebalanced_when_instances_join() {
    let cell = Cell::new();
    let groups = ["g1", "g2", "g3", "g4", "g5", "g6"];
    let first = start(&cell, 1, &groups).await;
    eventually("the first instance owns all groups", || {
        first.owned_count() == 6
    })
    .await;
    first.append("g1", "k", Some("v")).await.unwrap();

    let second = start(&cell, 2, &groups).await;
    let third = start(&cell, 3, &groups).await;
    let instances = [&first, &second, &third];

    eventually("each instance owns two groups", || {
        instances.iter().all(|instance| instance.owned_count() == 2)
    })
    .await;
    let owner = instances
        .iter()
        .find(|instance| instance.owns("g1"))
        .unwrap();
    assert!(owner.claimed_group("g1").fenced_owner.is_none());
}

#[tokio::test]
async fn a_group_that_is_no_longer_desired_is_released_once_empty() {
    let cell = Cell::new();
    let instance = start(&cell, 1, &["g1", "g2"]).await;
    eventually("the instance owns both groups", || {
        instance.owned_count() == 2
    })
    .await;
    instance.append("g2", "k", Some("v")).await.unwrap();

    instance.set_desired_groups(&["g1"]).await;
    instance.append("g2", "k", None).await.unwrap();

    eventually("g2 is released", || !instance.owns("g2")).await;
    assert!(instance.owns("g1"));
}
