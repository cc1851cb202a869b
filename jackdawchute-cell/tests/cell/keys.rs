//! Keys of tenants at the instances of a cell: withdrawn, added, and behind an instance whose
//! configuration is old.

use std::time::Duration;

use jackdawchute_cell::{Answer, Gateway, Routes};
use jackdawchute_scheduler::JobStatus;
use jackdawchute_standins::proxy::ProxyFaults;
use jackdawchute_tenants::{ApiKey, Caller, Tenant, TenantPolicy};
use jackdawchute_types::Resources;

use crate::fixtures::*;

/// Returns a tenant with one key, named after it.
fn tenant(name: &str) -> Tenant {
    Tenant {
        policy: TenantPolicy {
            tenant: name.into(),
            weight: 1.0,
            cap: Resources::ZERO,
        },
        keys: vec![ApiKey::new(name)],
    }
}

/// Returns a configuration with these tenants.
fn routes_of(version: u64, tenants: &[&str]) -> Routes {
    Routes {
        tenants: Some(tenants.iter().copied().map(tenant).collect()),
        ..routes(version)
    }
}

/// Returns a cell whose configuration has these tenants, once all instances use it.
async fn cell_of(instances: usize, tenants: &[&str]) -> Cell {
    let cell = cell(instances).await;
    let version = cell.routes.borrow().version + 1;
    configure(&cell, routes_of(version, tenants)).await;
    cell
}

/// Applies a configuration and waits until all instances use it.
async fn configure(cell: &Cell, routes: Routes) {
    let version = routes.version;
    cell.routes.send_replace(routes);
    wait_for("the configuration is not applied", || {
        cell.instances
            .iter()
            .all(|instance| instance.handle.gateway.routes().version == version)
    })
    .await;
}

/// Submits a job at an instance as the tenant that a key names.
async fn submit(gateway: &Gateway, key: &str, job: &str) -> Answer {
    let caller = match gateway.authorize(&route(), Some(key), None) {
        Ok(caller) => caller,
        Err(answer) => return answer,
    };
    gateway
        .submit(caller, job.into(), graph(1), &route(), DEADLINE)
        .await
}

fn caller_of(gateway: &Gateway, key: &str) -> Caller {
    gateway
        .authorize(&route(), Some(key), None)
        .expect("the key is known")
}

#[tokio::test]
async fn a_withdrawn_key_is_denied_and_one_that_was_added_is_not() {
    let cell = cell_of(2, &["bakery"]).await;
    let gateway = &cell.instances[0].handle.gateway;
    cell.workers.register_job(&"job".into(), &graph(1));
    let before = submit(gateway, "bakery", "job").await;

    let version = gateway.routes().version + 1;
    configure(&cell, routes_of(version, &["hospital"])).await;
    let withdrawn = submit(gateway, "bakery", "later").await;
    let added = gateway.authorize(&route(), Some("hospital"), None);

    assert_eq!(before, Answer::Accepted);
    assert_eq!(withdrawn, Answer::Unauthorized);
    assert!(added.is_ok());
}

/// An instance that has not heard of the withdrawal forwards the call, and the leader decides.
#[tokio::test]
async fn the_leader_denies_a_withdrawn_key_that_the_forwarding_instance_still_knows() {
    let cell = cell_of(2, &["bakery", "hospital"]).await;
    let leader = cell.leader().await;
    let other = &cell.instances[1 - leader].handle.gateway;
    let caller = caller_of(other, "bakery");
    let version = other.routes().version + 1;

    configure(&cell, routes_of(version, &["hospital"])).await;
    let answer = other
        .submit(caller, "job".into(), graph(1), &route(), DEADLINE)
        .await;

    assert_eq!(answer, Answer::Unauthorized);
}

#[tokio::test]
async fn a_withdrawn_key_shows_and_cancels_nothing_at_the_leader() {
    let cell = cell_of(2, &["bakery", "hospital"]).await;
    let leader = cell.leader().await;
    let other = &cell.instances[1 - leader].handle.gateway;
    cell.workers.register_job(&"job".into(), &graph(1));
    let accepted = submit(other, "bakery", "job").await;
    let (caller, queue) = (caller_of(other, "bakery"), route().policy.queue);
    let version = other.routes().version + 1;

    configure(&cell, routes_of(version, &["hospital"])).await;
    let answers = [
        other
            .status(caller.clone(), &queue, "job".into(), DEADLINE)
            .await,
        other
            .cancel(caller.clone(), &queue, "job".into(), DEADLINE)
            .await,
        other.pending(caller, queue, DEADLINE).await,
    ];

    assert_eq!(accepted, Answer::Accepted);
    assert!(
        answers.iter().all(|answer| *answer == Answer::Unauthorized),
        "{answers:?}"
    );
}

/// A caller that the forwarding instance took for one of a public queue presented its key too.
#[tokio::test]
async fn a_job_stays_known_when_its_queue_becomes_public_and_private_again() {
    let cell = cell_of(2, &["bakery"]).await;
    let gateway = &cell.instances[0].handle.gateway;
    cell.workers.register_job(&"job".into(), &graph(1));
    let accepted = submit(gateway, "bakery", "job").await;
    let version = gateway.routes().version;
    let mut public = routes_of(version + 1, &["bakery"]);
    public.queues[0].public = true;
    let public_route = public.queues[0].clone();

    configure(&cell, public).await;
    let caller = gateway.authorize(&public_route, Some("bakery"), None);
    let caller = caller.expect("a public queue asks for no key");
    cell.wait_until_completed_for(0, &caller, "job").await;
    configure(&cell, routes_of(version + 2, &["bakery"])).await;
    let repeated = gateway
        .submit(caller, "job".into(), graph(1), &route(), DEADLINE)
        .await;

    assert_eq!([accepted, repeated], [Answer::Accepted, Answer::Accepted]);
}

#[tokio::test]
async fn a_job_is_known_to_its_tenant_alone() {
    let cell = cell_of(2, &["bakery", "hospital"]).await;
    let gateway = &cell.instances[0].handle.gateway;
    cell.workers.register_job(&"job".into(), &graph(1));
    let accepted = submit(gateway, "bakery", "job").await;
    let (owner, stranger) = (caller_of(gateway, "bakery"), caller_of(gateway, "hospital"));

    let cancelled = gateway
        .cancel(
            stranger.clone(),
            &route().policy.queue,
            "job".into(),
            DEADLINE,
        )
        .await;
    let seen = gateway
        .status(
            stranger.clone(),
            &route().policy.queue,
            "job".into(),
            DEADLINE,
        )
        .await;
    let submitted = gateway
        .submit(stranger, "job".into(), graph(1), &route(), DEADLINE)
        .await;
    cell.wait_until_completed_for(0, &owner, "job").await;

    assert_eq!(accepted, Answer::Accepted);
    assert_eq!(cancelled, Answer::Status(JobStatus::Unknown));
    assert_eq!(seen, Answer::Status(JobStatus::Unknown));
    assert_eq!(submitted, Answer::OtherTenant);
}

/// The tenant of a job is saved with it, also once it has ended.
#[tokio::test]
async fn a_new_leader_knows_the_tenant_of_an_ended_job() {
    let mut cell = cell_with(CellOptions {
        can_freeze: true,
        ..CellOptions::of_instances(2)
    })
    .await;
    let version = cell.routes.borrow().version + 1;
    configure(&cell, routes_of(version, &["bakery", "hospital"])).await;
    let leader = cell.leader().await;
    let gateway = cell.instances[1 - leader].handle.gateway.clone();
    cell.workers.register_job(&"job".into(), &graph(1));
    let accepted = submit(&gateway, "bakery", "job").await;
    let owner = caller_of(&gateway, "bakery");
    cell.wait_until_completed_for(1 - leader, &owner, "job")
        .await;

    cell.instances[leader].kill();
    wait_for_other_leader(&cell, leader).await;
    let stranger = caller_of(&gateway, "hospital");
    cell.wait_until_completed_for(1 - leader, &owner, "job")
        .await;
    let seen = gateway
        .status(stranger, &route().policy.queue, "job".into(), DEADLINE)
        .await;

    assert_eq!(accepted, Answer::Accepted);
    assert_eq!(seen, Answer::Status(JobStatus::Unknown));
}

/// A key may have been added since: the instance cannot tell, and says so.
#[tokio::test]
async fn an_instance_that_hears_neither_store_nor_leader_denies_no_key() {
    let cell = cell_of(2, &["bakery"]).await;
    let leader = cell.leader().await;
    let other = &cell.instances[1 - leader];

    other.directory.deny(true);
    other.store.deny(true);
    let refusing = ProxyFaults::refusing();
    let refused = cell.instances[leader].proxy.set_faults(refusing).await;
    refused.expect("the proxy runs");
    let mut answer = Ok(Caller::default());
    wait_for("the key is still denied for good", || {
        answer = other
            .handle
            .gateway
            .authorize(&route(), Some("hospital"), None);
        matches!(answer, Err(Answer::Unavailable { .. }))
    })
    .await;

    let retry_after = Duration::from_secs(1);
    assert_eq!(answer, Err(Answer::Unavailable { retry_after }));
}

/// The leader knows no better than the instance that asks it.
#[tokio::test]
async fn a_leader_that_cannot_read_the_configuration_confirms_none() {
    let cell = cell_of(2, &["bakery"]).await;
    let leader = cell.leader().await;
    let gateways = [leader, 1 - leader].map(|index| &cell.instances[index].handle.gateway);

    for instance in &cell.instances {
        instance.directory.deny(true);
    }

    wait_for("an unknown key is still denied for good", || {
        gateways.iter().all(|gateway| {
            let answer = gateway.authorize(&route(), Some("hospital"), None);
            matches!(answer, Err(Answer::Unavailable { .. }))
        })
    })
    .await;
}
