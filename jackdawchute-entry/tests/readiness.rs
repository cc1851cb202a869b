//! When an instance tells the balancer that it accepts callers.

mod fixtures;

use std::sync::Arc;

use fixtures::{configured_table, get, instance, member, wait_until_readiness, wait_until_ready};
use jackdawchute_trial::{spawn_minion, MemoryMembership, MinionOptions};
use reqwest::StatusCode;

/// The claims of an instance that joined earlier fill the directory of a new one. Without a
/// membership list the new one does not know the minions of a service and would refuse its callers.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_membership_list_is_not_ready() {
    let minion = spawn_minion(MinionOptions::new("m1", 8)).await.unwrap();
    let table = configured_table().await;
    let listed = Arc::new(MemoryMembership::default());
    listed.set(vec![member(minion.address)]);
    let owner = instance("entry-1", Arc::clone(&table), listed).await;
    wait_until_ready(owner.addresses.operators).await;
    let late = Arc::new(MemoryMembership::default());
    let newcomer = instance("entry-2", table, Arc::clone(&late)).await;
    let operators = newcomer.addresses.operators;

    wait_until_readiness(operators, |response| async move {
        assert_ne!(response.status(), StatusCode::OK);
        let readiness: serde_json::Value = response.json().await.unwrap();
        readiness["missing"] == serde_json::json!(["membership list"])
    })
    .await;
    late.set(vec![member(minion.address)]);
    wait_until_ready(operators).await;

    let quote = get(newcomer.addresses.callers, "/repair-desk/quotes").await;
    assert_eq!(quote, StatusCode::OK);
}
