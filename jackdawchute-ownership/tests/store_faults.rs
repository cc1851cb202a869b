//! Outages of the table, for one instance or for all, and lost answers.

mod support;

use std::time::Duration;

use jackdawchute_ownership::{Error, LeaseState};
use jackdawchute_ports::MemoryTable;
use support::{eventually, start, within, Cell, Fault, Instance};

/// Starts one instance that owns the only group.
async fn only_instance(cell: &Cell) -> Instance {
    let instance = start(cell, 1, &["g1"]).await;
    instance.until_owns("g1").await;
    instance
}

/// Starts two instances that know each other and own one group each.
async fn confirmed_pair(cell: &Cell) -> (Instance, Instance) {
    let first = start(cell, 1, &["g1", "g2"]).await;
    let second = start(cell, 2, &["g1", "g2"]).await;
    eventually("each instance owns one group", || {
        first.owned_count() == 1 && second.owned_count() == 1
    })
    .await;
    let knows = |instance: &Instance| {
        instance
            .observed
            .lock()
            .unwrap()
            .directory
            .incarnations
            .len()
            == 2
    };
    eventually("the instances know each other", || {
        knows(&first) && knows(&second)
    })
    .await;
    (first, second)
}

/// Returns the group that an instance of a pair owns.
fn group_of(instance: &Instance) -> String {
    let group = if instance.owns("g1") { "g1" } else { "g2" };
    group.to_owned()
}

/// Counts how often a key is in any journal of the table.
fn times_journaled(table: &MemoryTable, key: &str) -> usize {
    let rows = table.changes("journal/", 0).rows;
    let values = rows.iter().filter_map(|row| row.value.as_deref());
    let quoted = format!("\"{key}\"");
    values.map(|value| value.matches(&quoted).count()).sum()
}

/// Guards against a retry that journals an entry twice.
#[tokio::test]
async fn an_append_whose_answer_is_lost_is_journaled_once() {
    let cell = Cell::new();
    let instance = only_instance(&cell).await;

    instance.table.set(Fault::AnswersLost);
    let result = instance.append("g1", "once", Some("v")).await;

    assert_eq!(result, Ok(()));
    assert_eq!(times_journaled(&cell.table, "once"), 1);
}

#[tokio::test]
async fn an_append_that_did_not_reach_the_table_is_sent_again() {
    let cell = Cell::new();
    let instance = only_instance(&cell).await;

    instance.table.set(Fault::CommitsLost);
    let append = instance.append("g1", "again", Some("v"));
    let heal = async {
        tokio::time::sleep(cell.timing.renewal_period).await;
        assert_eq!(times_journaled(&cell.table, "again"), 0);
        instance.table.set(Fault::None);
    };
    let (result, ()) = tokio::join!(append, heal);

    assert_eq!(result, Ok(()));
    assert_eq!(times_journaled(&cell.table, "again"), 1);
}

#[tokio::test]
async fn an_append_that_arrives_late_is_journaled_once() {
    let cell = Cell::new();
    let instance = only_instance(&cell).await;

    instance
        .table
        .set(Fault::CommitsLate(Duration::from_millis(40)));
    let result = instance.append("g1", "late", Some("v")).await;
    let next = instance.append("g1", "next", Some("v")).await;

    assert_eq!((result, next), (Ok(()), Ok(())));
    assert_eq!(times_journaled(&cell.table, "late"), 1);
}

#[tokio::test]
async fn a_peer_forwards_the_commits_of_an_owner_that_does_not_reach_the_table() {
    let cell = Cell::new();
    let (owner, _peer) = confirmed_pair(&cell).await;
    let group = group_of(&owner);
    let before = owner.observed_lease_states();

    owner.table.set(Fault::Down);
    tokio::time::sleep(cell.timing.takeover * 2).await;
    let result = owner.append(&group, "forwarded", Some("v")).await;

    assert_eq!(result, Ok(()));
    assert_eq!(times_journaled(&cell.table, "forwarded"), 1);
    assert_eq!(
        owner.observed_lease_states(),
        before,
        "the lease state did not change"
    );
}

/// Guards against a newcomer that takes over from an owner which cannot read its row: the owner is
/// confirmed through the newcomer, which announces itself.
#[tokio::test]
async fn a_newcomer_forwards_for_an_owner_that_cannot_read_its_row() {
    let cell = Cell::new();
    let owner = only_instance(&cell).await;

    owner.table.set(Fault::Down);
    eventually("the table is down for the only instance", || {
        owner.lease_state() == Some(LeaseState::StoreDown)
    })
    .await;
    let newcomer = start(&cell, 2, &["g1"]).await;
    eventually("confirmed through the newcomer", || {
        owner.lease_state() == Some(LeaseState::Confirmed)
    })
    .await;
    tokio::time::sleep(cell.timing.newcomer_takeover * 2).await;
    let result = owner.append("g1", "forwarded", Some("v")).await;

    assert_eq!(result, Ok(()));
    assert!(!newcomer.owns("g1"));
}

#[tokio::test]
async fn owners_stay_and_appends_are_refused_while_the_table_is_down_for_all() {
    let cell = Cell::new();
    let (first, second) = confirmed_pair(&cell).await;
    let instances = [&first, &second];
    let group = group_of(&first);

    instances
        .iter()
        .for_each(|instance| instance.table.set(Fault::Down));
    let is_store_down =
        |instance: &&Instance| instance.lease_state() == Some(LeaseState::StoreDown);
    eventually("both instances see the outage", || {
        instances.iter().all(is_store_down)
    })
    .await;
    let refused = first.append(&group, "refused", Some("v")).await;
    tokio::time::sleep(cell.timing.takeover * 2).await;
    let states_in_outage: Vec<_> = instances
        .iter()
        .flat_map(|instance| instance.observed_lease_states())
        .collect();
    instances
        .iter()
        .for_each(|instance| instance.table.set(Fault::None));
    let is_confirmed = |instance: &&Instance| instance.lease_state() == Some(LeaseState::Confirmed);
    eventually("both instances are confirmed again", || {
        instances.iter().all(is_confirmed)
    })
    .await;
    let accepted = first.append(&group, "accepted", Some("v")).await;

    assert!(matches!(refused, Err(Error::Unavailable(_))));
    assert_eq!(accepted, Ok(()));
    assert_eq!(times_journaled(&cell.table, "refused"), 0);
    assert!(!states_in_outage.contains(&LeaseState::Fenced));
    assert!(
        instances.iter().all(|instance| instance.owned_count() == 1),
        "no instance was fenced"
    );
}

/// Guards against an instance that gives every commit up at its timeout: the late answers must
/// count. An append may be refused in the meantime, but is then not in the journal.
#[tokio::test]
async fn a_table_slower_than_the_timeout_still_journals_appends() {
    let cell = Cell::new();
    let instance = only_instance(&cell).await;

    instance
        .table
        .set(Fault::Slow(cell.timing.call_timeout.mul_f32(1.5)));
    let first = instance.append("g1", "first", Some("v")).await;
    let mut refused = 0;
    let again = async {
        while instance
            .append("g1", &format!("again{refused}."), Some("v"))
            .await
            .is_err()
        {
            refused += 1;
            tokio::time::sleep(cell.timing.tick_period).await;
        }
    };
    within("a later append is journaled", again).await;

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
    let instances = [&first, &second];

    instances
        .iter()
        .for_each(|instance| instance.table.set(Fault::Hang));

    let is_store_down =
        |instance: &&Instance| instance.lease_state() == Some(LeaseState::StoreDown);
    eventually("both instances see the outage", || {
        instances.iter().all(is_store_down)
    })
    .await;
}
