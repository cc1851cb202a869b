//! Until when a leader may act, and for how long its successor allows for that.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_cell::authority::{
    Acknowledged, Authority, AuthorityState, ClaimState, EarlierLeaders, Replaced,
    ACKNOWLEDGED_FOR, CONFIRMED_FOR, MEMBER_FOR, PROMISED_FOR, PROMISED_MAX,
};

/// When the leader's claim was sent, on the boot clock.
const CLAIMED_AT: Duration = Duration::from_secs(100);

fn member(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// The authority of a leader with two members.
fn authority_with_two_members() -> Authority {
    let mut authority = Authority::new(CLAIMED_AT);
    for number in [1, 2] {
        authority.acknowledge(member(number), &"first".into(), CLAIMED_AT);
    }
    authority
}

/// What a member knows that the leader of epoch 3 acknowledged just before a claim.
fn acknowledged_just_before(claimed_at: Instant) -> Acknowledged {
    Acknowledged {
        epoch: 3,
        sent_at: claimed_at,
        earlier_until: claimed_at,
        promised_until: claimed_at,
    }
}

/// The state of an instance that has read epoch 3 at the store.
fn state_of_member() -> ClaimState {
    let mut state = ClaimState::default();
    state.epoch_read(3);
    state
}

/// Returns the earlier leaders after a claim that replaced the leader of this epoch.
fn after_claim(epoch: u64, settled: bool, claimed_at: Instant) -> EarlierLeaders {
    EarlierLeaders::new(Some(Replaced { epoch, settled }), claimed_at)
}

#[test]
fn a_leader_that_nothing_confirms_has_no_authority_after_a_stated_time() {
    let authority = authority_with_two_members();

    let last = authority.state(CLAIMED_AT + CONFIRMED_FOR - Duration::from_millis(1));
    let after = authority.state(CLAIMED_AT + CONFIRMED_FOR);

    assert_eq!(last, AuthorityState::Confirmed);
    assert_eq!(after, AuthorityState::Ended);
}

/// The promise of one side of a partition must not extend the authority over the other side.
#[test]
fn authority_needs_the_promises_of_all_members() {
    let mut authority = authority_with_two_members();
    let asked_at = CLAIMED_AT + CONFIRMED_FOR;

    authority.promised(member(1), &"first".into(), asked_at, PROMISED_FOR);
    let with_one = authority.state(asked_at);
    authority.promised(member(2), &"first".into(), asked_at, PROMISED_FOR);
    let with_both = authority.state(asked_at);

    assert_eq!(with_one, AuthorityState::Ended);
    assert_eq!(with_both, AuthorityState::Promised);
    assert_eq!(authority.until(), asked_at + PROMISED_FOR);
}

#[test]
fn promises_extend_authority_only_up_to_a_time_after_the_last_confirmation() {
    let mut authority = authority_with_two_members();
    let asked_at = CLAIMED_AT + PROMISED_MAX - PROMISED_FOR / 2;

    for number in [1, 2] {
        authority.promised(member(number), &"first".into(), asked_at, PROMISED_FOR);
    }

    assert_eq!(authority.until(), CLAIMED_AT + PROMISED_MAX);
}

/// A leader without a confirmation can't tell a member that is gone from one beyond a partition.
#[test]
fn a_silent_member_is_dropped_only_by_a_later_confirmation() {
    let mut authority = authority_with_two_members();
    let much_later = CLAIMED_AT + MEMBER_FOR * 2;
    authority.acknowledge(member(1), &"first".into(), much_later);

    let until_before = authority.until();
    authority.confirm(much_later);
    let asked_at = much_later + CONFIRMED_FOR;
    authority.promised(member(1), &"first".into(), asked_at, PROMISED_FOR);

    assert_eq!(until_before, CLAIMED_AT + CONFIRMED_FOR);
    assert_eq!(authority.until(), asked_at + PROMISED_FOR);
}

#[test]
fn a_new_incarnation_replaces_the_promise_of_the_one_before() {
    let mut authority = authority_with_two_members();
    let asked_at = CLAIMED_AT + CONFIRMED_FOR;
    for number in [1, 2] {
        authority.promised(member(number), &"first".into(), asked_at, PROMISED_FOR);
    }

    authority.acknowledge(member(2), &"second".into(), asked_at);

    assert_eq!(authority.state(asked_at), AuthorityState::Ended);
}

#[test]
fn members_are_asked_for_promises_before_the_authority_ends() {
    let mut authority = authority_with_two_members();

    let early = authority.take_promises_due(CLAIMED_AT);
    let due = authority.take_promises_due(CLAIMED_AT + CONFIRMED_FOR / 2);
    let again = authority.take_promises_due(CLAIMED_AT + CONFIRMED_FOR / 2);

    assert_eq!(early, []);
    assert_eq!(due, [member(1), member(2)]);
    assert_eq!(again, []);
}

/// The constant of the leader and the wait of its successor are held to each other.
#[test]
fn a_successor_that_was_acknowledged_waits_for_all_authority_that_its_predecessor_may_have() {
    let claimed_at = Instant::now();
    let mut authority = Authority::new(CLAIMED_AT);
    authority.acknowledge(member(1), &"successor".into(), CLAIMED_AT);
    // The predecessor's last confirmation was sent when the claim took effect.
    let predecessor_until = authority.until() - CLAIMED_AT;

    let mut earlier = after_claim(3, true, claimed_at);
    earlier.testified(&acknowledged_just_before(claimed_at));

    assert!(earlier.remaining(claimed_at) >= predecessor_until);
    assert!(earlier.remaining(claimed_at) < PROMISED_MAX);
}

#[test]
fn a_successor_that_no_leader_has_acknowledged_waits_for_the_longest_promised_authority() {
    let claimed_at = Instant::now();

    let earlier = after_claim(3, true, claimed_at);

    assert!(earlier.remaining(claimed_at) >= PROMISED_MAX);
}

/// The predecessor may have dropped the member since, and asks it for no promise any more.
#[test]
fn an_acknowledgement_that_is_too_old_shortens_no_wait() {
    let claimed_at = Instant::now() + ACKNOWLEDGED_FOR * 2;
    let old = Acknowledged {
        sent_at: claimed_at - ACKNOWLEDGED_FOR - Duration::from_millis(1),
        ..acknowledged_just_before(claimed_at)
    };

    let mut earlier = after_claim(3, true, claimed_at);
    earlier.testified(&old);

    assert!(earlier.remaining(claimed_at) >= PROMISED_MAX);
    assert!(ACKNOWLEDGED_FOR < MEMBER_FOR);
}

/// The leader two epochs before may go on by promises of members that nobody has asked since.
#[test]
fn a_leader_that_stopped_leaves_the_wait_for_those_before_it() {
    let claimed_at = Instant::now();

    let mut unsettled = after_claim(3, false, claimed_at);
    unsettled.replaced_stopped(claimed_at);
    let mut settled = after_claim(3, true, claimed_at);
    settled.replaced_stopped(claimed_at);

    assert!(unsettled.remaining(claimed_at) >= PROMISED_MAX);
    assert_eq!(settled.remaining(claimed_at), Duration::ZERO);
}

/// A claim without an answer may take effect for as long as the leader row is unchanged.
#[test]
fn an_instance_with_an_unanswered_claim_promises_nothing_until_the_leader_row_changes() {
    let now = Instant::now();
    let mut state = state_of_member();
    state.begin_claim(now);
    state.end_claim(true, false);

    let before = state.promise(3, now);
    state.row_changed();
    let after = state.promise(3, now);

    assert_eq!(before, None);
    assert_eq!(after, Some(PROMISED_FOR));
}

/// Its earlier incarnation may have told a later leader that it promises nothing any more.
#[test]
fn an_instance_that_restarted_promises_nothing_to_a_leader_that_the_store_has_not_shown_it() {
    let now = Instant::now();
    let mut state = ClaimState::default();

    let before = state.promise(3, now);
    state.epoch_read(4);
    let after = state.promise(3, now);

    assert_eq!((before, after), (None, None));
}

/// The answer comes after another instance's claim, so that this one can take effect no more.
#[test]
fn a_claim_that_another_one_overtook_rules_out_no_promise() {
    let now = Instant::now();
    let mut state = state_of_member();
    state.begin_claim(now);
    state.row_changed();

    state.end_claim(true, false);

    assert_eq!(state.promise(3, now), Some(PROMISED_FOR));
}

/// A stop that was planned must not end the authority in an outage soon after it.
#[test]
fn a_member_that_has_withdrawn_is_asked_for_no_promise() {
    let mut authority = authority_with_two_members();
    let asked_at = CLAIMED_AT + CONFIRMED_FOR;

    authority.withdraw(member(2));
    authority.promised(member(1), &"first".into(), asked_at, PROMISED_FOR);

    assert_eq!(authority.state(asked_at), AuthorityState::Promised);
}

#[test]
fn an_instance_that_has_promised_waits_before_it_claims() {
    let now = Instant::now();
    let mut state = state_of_member();
    state.promise(3, now);

    let wait = state.begin_claim(now + PROMISED_FOR / 2);

    assert_eq!(wait, PROMISED_FOR / 2);
}
