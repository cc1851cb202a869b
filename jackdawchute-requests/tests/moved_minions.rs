//! Minions that are listed at another place under their id while their requests run.

mod fixtures;

use std::time::Instant;

use fixtures::*;
use jackdawchute_ports::MembershipList;
use jackdawchute_requests::{Call, Effect, State};
use jackdawchute_types::GroupId;

const OTHER_GROUP: &str = "service/repair-desk/ala-2";

fn listed_in_another_domain() -> MembershipList {
    let mut list = minions(1, SLOTS);
    list.members[0].failure_domain = "ala-2".into();
    list
}

fn claim_other_group(state: &mut State, now: Instant) {
    let event = jackdawchute_ownership::GroupEvent::Claimed {
        group: OTHER_GROUP.into(),
        epoch: 1,
        entries: Default::default(),
        fenced_owner: None,
    };
    claim(state, event, now);
}

/// Returns how many idempotent requests the group grants now, 20 at most.
fn count_granted(state: &mut State, group: &str, now: Instant) -> usize {
    let calls = 1_000..1_020;
    let is_granted = |call| {
        let mut acquire = acquire(OWNER);
        acquire.group = GroupId::new(group);
        let effects: Vec<Effect> = state.incoming(call, Call::Acquire(acquire), now);
        granted(&effects, call).is_some()
    };
    calls.map(is_granted).filter(|granted| *granted).count()
}

#[test]
fn a_minion_at_another_address_still_has_the_requests_of_its_former_one() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    granted_idempotent(&mut state, 1, OWNER, now);
    let mut list = minions(1, SLOTS);
    list.members[0].address = address(9_900);

    state.set_membership(&list, now);

    assert_eq!(count_granted(&mut state, GROUP, now), SLOTS as usize - 1);
}

#[test]
fn a_minion_listed_in_another_failure_domain_gets_nothing_until_its_requests_have_ended() {
    let now = Instant::now();
    let ended = now + settings().grants.ended_after();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    claim_other_group(&mut state, now);
    granted_idempotent(&mut state, 1, OWNER, now);

    state.set_membership(&listed_in_another_domain(), now);
    let before = count_granted(&mut state, OTHER_GROUP, now);
    state.tick(ended);
    state.tick(ended + std::time::Duration::from_millis(500));
    let after = ended + std::time::Duration::from_millis(500);

    assert_eq!(before, 0);
    assert_eq!(
        count_granted(&mut state, OTHER_GROUP, after),
        SLOTS as usize
    );
}

#[test]
fn an_owner_that_claims_the_other_failure_domain_later_knows_of_the_move() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);

    state.set_membership(&listed_in_another_domain(), now);
    claim_other_group(&mut state, now);

    assert_eq!(count_granted(&mut state, OTHER_GROUP, now), 0);
}

#[test]
fn a_minion_of_another_process_in_another_failure_domain_gets_requests_at_once() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let mut list = listed_in_another_domain();
    list.members[0].address = address(9_900);

    state.set_membership(&list, now);
    claim_other_group(&mut state, now);

    assert_eq!(count_granted(&mut state, OTHER_GROUP, now), SLOTS as usize);
}
