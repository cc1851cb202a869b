//! Claims, appends and the sharing out of groups.

mod support;

use jackdawchute_ownership::{Error, LeaseState};
use support::{eventually, start, Cell};

#[tokio::test]
async fn a_lone_instance_owns_every_desired_group_and_journals() {
    let cell = Cell::new();

    let node = start(&cell, 1, &["rack/r1", "rack/r2"]).await;
    eventually("owns both", || node.owned() == 2).await;

    assert_eq!(node.append("rack/r1", "k", Some("v")).await, Ok(()));
    assert_eq!(node.adoption("rack/r1").epoch, 1);
    assert_eq!(node.lease_state(), Some(LeaseState::Confirmed));
}

#[tokio::test]
async fn an_append_for_a_foreign_group_is_refused() {
    let cell = Cell::new();
    let node = start(&cell, 1, &["rack/r1"]).await;
    node.until_owns("rack/r1").await;

    let result = node.append("rack/other", "k", Some("v")).await;

    assert_eq!(result, Err(Error::NotOwner("rack/other".into())));
}

#[tokio::test]
async fn groups_are_shared_out_when_an_instance_joins() {
    let cell = Cell::new();
    let groups = ["g1", "g2", "g3", "g4", "g5", "g6"];
    let first = start(&cell, 1, &groups).await;
    eventually("the first owns all", || first.owned() == 6).await;
    first.append("g1", "k", Some("v")).await.unwrap();

    let second = start(&cell, 2, &groups).await;
    let third = start(&cell, 3, &groups).await;
    let nodes = [&first, &second, &third];

    eventually("two each", || nodes.iter().all(|node| node.owned() == 2)).await;
    let owner = nodes.iter().find(|node| node.owns("g1")).unwrap();
    assert!(owner.adoption("g1").fenced_owner.is_none());
}

#[tokio::test]
async fn a_group_that_is_not_desired_any_more_is_let_go_once_empty() {
    let cell = Cell::new();
    let node = start(&cell, 1, &["g1", "g2"]).await;
    eventually("owns both", || node.owned() == 2).await;
    node.append("g2", "k", Some("v")).await.unwrap();

    node.set_desired_groups(&["g1"]).await;
    node.append("g2", "k", None).await.unwrap();

    eventually("g2 is let go", || !node.owns("g2")).await;
    assert!(node.owns("g1"));
}
