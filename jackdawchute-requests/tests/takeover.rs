//! Takeovers of a group: the new owner counts the grants of its predecessor against the slots, and
//! does not grant an open intent again.

mod fixtures;

use std::time::{Duration, Instant};

use fixtures::*;
use jackdawchute_requests::{
    AbandonGrant, AppendOutcome, Call, Effect, Grant, GrantSettings, JournaledKey, JournaledState,
    Reply, Settings, State,
};
use jackdawchute_types::{Epoch, Execution};

const PREDECESSOR: &str = "predecessor";
const HOLD_BACK: u32 = 3;

fn settings_with_hold_back() -> Settings {
    Settings {
        grants: GrantSettings {
            hold_back_slots: HOLD_BACK,
            ..settings().grants
        },
        ..settings()
    }
}

fn ended_after() -> Duration {
    settings().grants.ended_after()
}

fn record(epoch: Epoch, holder: &str, state: JournaledState) -> JournaledKey {
    JournaledKey {
        digest: 1,
        epoch,
        grant: 5,
        holder: holder.into(),
        state,
    }
}

fn intent(holder: &str) -> JournaledKey {
    let state = JournaledState::Intent {
        minion: "m0".into(),
        ended_after: ended_after(),
    };
    record(1, holder, state)
}

/// Returns the state of the second owner, with one journaled key and a live peer that has reported
/// that it holds no grants.
fn successor(settings: Settings, key: &JournaledKey, now: Instant) -> State {
    let mut state = non_owner(settings, &minions(1, SLOTS), now);
    set_listed(&mut state, &[OWNER, PEER], now);
    let entries = [journal_entries(&[("k", key)]), holder_entries(&[PEER])].concat();
    claim(&mut state, claimed(2, entries, None), now);
    state.holdings_reported(&group(), 2, &PEER.into(), &[], now);
    state
}

fn held_grant(id: u64) -> Grant {
    Grant {
        id,
        group: group(),
        epoch: 1,
        minion: "m0".into(),
        address: address(9_000),
        send_within: Duration::from_secs(1),
        life: Duration::from_secs(30),
        waited: Duration::ZERO,
        transit_max: Duration::from_secs(2),
        ended_after: Duration::from_secs(37),
    }
}

/// Returns how many more idempotent requests are granted now, 20 at most.
fn count_grantable(state: &mut State, now: Instant) -> usize {
    let calls = 1_000..1_020;
    let granted = calls.filter(|call| {
        let effects = state.incoming(*call, Call::Acquire(acquire(OWNER)), now);
        granted(&effects, *call).is_some()
    });
    granted.count()
}

#[test]
fn an_open_intent_uses_a_slot_and_is_not_granted_again() {
    let now = Instant::now();
    let mut state = successor(settings(), &intent(PEER), now);

    let again = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let others = count_grantable(&mut state, now);

    assert!(appends(&again).is_empty());
    assert_eq!(reply(&again, 1), None);
    assert_eq!(others, SLOTS as usize - 1);
}

#[test]
fn a_live_holder_reports_the_outcome_of_an_earlier_epochs_grant_to_the_new_owner() {
    let now = Instant::now();
    let mut state = successor(settings(), &intent(PEER), now);
    let grant = held_grant(5);
    state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);

    let effects = state.incoming(2, complete(&grant, PEER, answered("done")), now);
    let effects = answer_appends(&mut state, effects, AppendOutcome::Journaled, now);

    assert_eq!(
        reply(&effects, 1),
        Some(Ok(Reply::Answered(stored_answer("done"))))
    );
    assert_eq!(reply(&effects, 2), Some(Ok(Reply::Completed)));
    assert_eq!(count_grantable(&mut state, now), SLOTS as usize);
}

#[test]
fn a_stored_answer_survives_a_takeover() {
    let now = Instant::now();
    let stored = JournaledState::Answered {
        answer: Some(stored_answer("done")),
    };
    let mut state = successor(settings(), &record(1, PEER, stored), now);

    let effects = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);

    assert_eq!(
        reply(&effects, 1),
        Some(Ok(Reply::Answered(stored_answer("done"))))
    );
}

#[test]
fn the_intent_of_a_fenced_holder_becomes_unknown_and_uses_its_slot_until_the_request_has_ended() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    let entries = journal_entries(&[("k", &intent(PREDECESSOR))]);

    let claiming = state.group_event(claimed(2, entries, Some(PREDECESSOR)), now);
    answer_appends(&mut state, claiming.clone(), AppendOutcome::Journaled, now);
    let again = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let slots = state.status(now).groups[0].minions["m0"].in_use_slots;
    state.tick(now + ended_after());
    let later = state.status(now).groups[0].minions["m0"].in_use_slots;

    let journaled_state = appends(&claiming)[0].1[0].1.clone().map(|r| r.state);
    let minion = Some("m0".into());
    assert_eq!(journaled_state, Some(JournaledState::Unknown { minion }));
    let refusal = refused(&again, 1).expect("the outcome of the key is unknown");
    assert_eq!(refusal.execution, Execution::Unknown);
    assert_eq!((slots, later), (1, 0));
}

#[test]
fn a_request_with_a_lost_answer_uses_its_slot_after_a_takeover() {
    let now = Instant::now();
    let lost = JournaledState::Unknown {
        minion: Some("m0".into()),
    };
    let mut state = successor(settings(), &record(1, PEER, lost), now);

    let initially = state.status(now).groups[0].minions["m0"].in_use_slots;
    let ending = state.tick(now + ended_after());

    let ended = appends(&ending)[0].1[0].1.clone().map(|r| r.state);
    assert_eq!(initially, 1);
    assert_eq!(ended, Some(JournaledState::Unknown { minion: None }));
    assert_eq!(state.status(now).groups[0].minions["m0"].in_use_slots, 0);
}

#[test]
fn an_abandoned_grant_is_reported_until_its_request_has_ended() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    state.register_grant(held_grant(5), Duration::ZERO);
    let abandon = AbandonGrant {
        grant: 5,
        group: group(),
        epoch: 1,
    };
    let holdings = Call::Holdings {
        group: group(),
        epoch: 2,
        holder: OWNER.into(),
    };

    state.abandon_grant(&abandon, now);
    let before = state.incoming(1, holdings.clone(), now);
    state.tick(now + ended_after());
    let after = state.incoming(2, holdings, now);

    let grants = vec![held_grant(5)];
    assert_eq!(reply(&before, 1), Some(Ok(Reply::Holdings { grants })));
    assert_eq!(
        reply(&after, 2),
        Some(Ok(Reply::Holdings { grants: vec![] }))
    );
}

#[test]
fn slots_are_held_back_for_an_incarnation_until_it_reports_its_grants() {
    let now = Instant::now();
    let mut state = non_owner(settings_with_hold_back(), &minions(1, SLOTS), now);
    set_listed(&mut state, &[OWNER, PEER], now);

    let effects = claim(&mut state, claimed(2, holder_entries(&[PEER]), None), now);
    let held_back = state.status(now).groups[0].held_back_slots;
    state.holdings_reported(
        &group(),
        2,
        &PEER.into(),
        &[held_grant(5), held_grant(6)],
        now,
    );
    let status = state.status(now).groups[0].clone();

    let holdings_asked = effects
        .iter()
        .any(|effect| matches!(effect, Effect::AskHoldings { .. }));
    assert!(holdings_asked);
    assert_eq!(held_back, HOLD_BACK);
    assert_eq!(
        (status.held_back_slots, status.minions["m0"].in_use_slots),
        (0, 2)
    );
}

#[test]
fn slots_are_held_back_for_a_fenced_owner_until_its_requests_have_ended() {
    let now = Instant::now();
    let mut state = non_owner(settings_with_hold_back(), &minions(1, 4), now);
    claim(
        &mut state,
        claimed(2, holder_entries(&[PREDECESSOR]), Some(PREDECESSOR)),
        now,
    );

    let initially = count_grantable(&mut state, now);
    let effects = state.tick(now + ended_after());

    let afterwards = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::CountGrant { .. }));
    assert_eq!(initially, 1);
    assert_eq!(
        afterwards.count(),
        0,
        "the calls expired before the slots were released"
    );
    assert_eq!(state.status(now).groups[0].held_back_slots, 0);
}

#[test]
fn the_first_owner_of_a_group_holds_nothing_back() {
    let now = Instant::now();
    let mut state = non_owner(settings_with_hold_back(), &minions(1, SLOTS), now);
    set_listed(&mut state, &[OWNER, PEER], now);

    claim(&mut state, claimed(1, Vec::new(), None), now);

    assert_eq!(state.status(now).groups[0].held_back_slots, 0);
}

#[test]
fn slots_are_held_back_for_a_holder_that_is_missing_from_the_directory() {
    let now = Instant::now();
    let mut state = non_owner(settings_with_hold_back(), &minions(1, SLOTS), now);

    claim(
        &mut state,
        claimed(2, holder_entries(&["unlisted"]), None),
        now,
    );
    let initially = state.status(now).groups[0].unaccounted.clone();
    state.tick(now + ended_after());

    assert_eq!(initially, ["unlisted"]);
    assert_eq!(state.status(now).groups[0].held_back_slots, 0);
}

#[test]
fn a_holder_is_granted_a_slot_only_after_its_registration_is_journaled() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    let registering = state.group_event(claimed(1, Vec::new(), None), now);

    let before = state.incoming(1, Call::Acquire(acquire(OWNER)), now);
    let after = answer_appends(&mut state, registering, AppendOutcome::Journaled, now);

    assert_eq!(reply(&before, 1), None);
    assert!(granted(&after, 1).is_some());
}

#[test]
fn a_holder_that_has_not_reported_its_grants_is_granted_nothing() {
    let now = Instant::now();
    let mut state = non_owner(settings_with_hold_back(), &minions(1, SLOTS), now);
    set_listed(&mut state, &[OWNER, PEER], now);
    claim(&mut state, claimed(2, holder_entries(&[PEER]), None), now);

    let before = state.incoming(1, Call::Acquire(acquire(PEER)), now);
    let after = state.holdings_reported(&group(), 2, &PEER.into(), &[], now);

    assert_eq!(reply(&before, 1), None);
    assert!(granted(&after, 1).is_some());
}

#[test]
fn a_grant_abandoned_during_a_takeover_still_uses_its_slot() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    set_listed(&mut state, &[OWNER, PEER], now);
    claim(&mut state, claimed(2, holder_entries(&[PEER]), None), now);

    let lost = jackdawchute_requests::GrantOutcome::AnswerLost;
    state.incoming(1, complete(&held_grant(5), PEER, lost), now);
    state.holdings_reported(&group(), 2, &PEER.into(), &[held_grant(5)], now);

    assert_eq!(state.status(now).groups[0].minions["m0"].in_use_slots, 1);
}

#[test]
fn an_unlisted_holder_is_unregistered_once_its_requests_have_ended() {
    let now = Instant::now();
    let mut state = owner_with_peer(settings(), &minions(1, SLOTS), now);
    granted_idempotent(&mut state, 1, PEER, now);
    set_listed(&mut state, &[OWNER], now);
    let unregisters = |effects: &[Effect]| {
        let mut effects = effects.iter();
        effects.any(|effect| matches!(effect, Effect::UnregisterHolders { .. }))
    };

    let before = state.tick(now + ended_after() - Duration::from_millis(1));
    let after = state.tick(now + ended_after());

    assert_eq!((unregisters(&before), unregisters(&after)), (false, true));
}

#[test]
fn a_holder_is_granted_at_most_the_slots_that_a_successor_holds_back_for_it() {
    let now = Instant::now();
    let mut state = owner_with_peer(settings_with_hold_back(), &minions(1, SLOTS), now);

    let granted_to_one = count_grantable(&mut state, now);
    let effects = state.incoming(1, Call::Acquire(acquire(PEER)), now);

    assert_eq!(granted_to_one, HOLD_BACK as usize);
    assert!(granted(&effects, 1).is_some());
}

#[test]
fn a_grant_released_before_its_holder_reports_it_is_not_counted() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    set_listed(&mut state, &[OWNER, PEER], now);
    claim(&mut state, claimed(2, holder_entries(&[PEER]), None), now);

    state.incoming(1, complete(&held_grant(5), PEER, answered("done")), now);
    state.holdings_reported(&group(), 2, &PEER.into(), &[held_grant(5)], now);

    assert_eq!(state.status(now).groups[0].minions["m0"].in_use_slots, 0);
}

#[test]
fn a_holder_that_reported_to_a_new_owner_accepts_no_grant_of_its_predecessor() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    let before = state.register_grant(held_grant(5), Duration::ZERO);

    let call = Call::Holdings {
        group: group(),
        epoch: 2,
        holder: OWNER.into(),
    };
    let effects = state.incoming(1, call, now);
    let after = state.register_grant(held_grant(6), Duration::ZERO);

    let grants = vec![held_grant(5)];
    assert_eq!(reply(&effects, 1), Some(Ok(Reply::Holdings { grants })));
    assert_eq!((before, after), (true, false));
}

#[test]
fn a_grant_that_was_too_long_in_transit_is_not_used() {
    let mut state = non_owner(settings(), &minions(1, SLOTS), Instant::now());
    let mut waited = held_grant(5);
    waited.waited = Duration::from_secs(10);

    let in_time = state.register_grant(waited.clone(), Duration::from_secs(12));
    let late = state.register_grant(waited, Duration::from_millis(12_001));

    assert_eq!((in_time, late), (true, false));
}

#[test]
fn the_keyed_requests_of_a_holder_that_is_no_longer_listed_become_unknown() {
    let now = Instant::now();
    let mut state = owner_with_peer(settings(), &minions(1, SLOTS), now);
    granted_keyed(&mut state, 1, PEER, "k", now);
    granted_idempotent(&mut state, 2, PEER, now);

    let effects = state.set_directory(directory(&[OWNER]), now);
    answer_appends(&mut state, effects, AppendOutcome::Journaled, now);
    let again = state.incoming(3, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let slots = state.status(now).groups[0].minions["m0"].in_use_slots;
    state.tick(now + ended_after());

    assert_eq!(
        refused(&again, 3).map(|r| r.execution),
        Some(Execution::Unknown)
    );
    assert_eq!(slots, 2);
    assert_eq!(state.status(now).groups[0].minions["m0"].in_use_slots, 0);
}

#[test]
fn a_late_answer_replaces_an_unknown_outcome() {
    let now = Instant::now();
    let mut state = owner_with_peer(settings(), &minions(1, SLOTS), now);
    let grant = granted_keyed(&mut state, 1, PEER, "k", now);
    let effects = state.set_directory(directory(&[OWNER]), now);
    answer_appends(&mut state, effects, AppendOutcome::Journaled, now);

    let effects = state.incoming(2, complete(&grant, PEER, answered("done")), now);
    answer_appends(&mut state, effects, AppendOutcome::Journaled, now);
    let again = state.incoming(3, Call::Acquire(acquire_keyed(OWNER, "k")), now);

    assert_eq!(
        reply(&again, 3),
        Some(Ok(Reply::Answered(stored_answer("done"))))
    );
}

#[test]
fn only_its_holder_may_report_the_outcome_of_a_grant() {
    let now = Instant::now();
    let mut state = owner_with_peer(settings(), &minions(1, SLOTS), now);
    let grant = granted_keyed(&mut state, 1, PEER, "k", now);

    let effects = state.incoming(2, complete(&grant, OWNER, answered("forged")), now);

    assert!(refused(&effects, 2).is_some());
    assert_eq!(state.status(now).groups[0].minions["m0"].in_use_slots, 1);
}

#[test]
fn a_request_with_a_lost_answer_uses_its_slot_until_it_has_ended() {
    let start = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), start);
    let grant = granted_idempotent(&mut state, 1, OWNER, start);

    let lost = complete(
        &grant,
        OWNER,
        jackdawchute_requests::GrantOutcome::AnswerLost,
    );
    state.incoming(2, lost, start);
    let initially = state.status(start).groups[0].minions["m0"].in_use_slots;
    state.tick(start + ended_after());
    let later = state.status(start).groups[0].minions["m0"].in_use_slots;

    assert_eq!((initially, later), (1, 0));
}

#[test]
fn a_call_of_an_unlisted_holder_is_refused() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);

    let effects = state.incoming(1, Call::Acquire(acquire(PEER)), now);

    assert_eq!(
        refused(&effects, 1).map(|r| r.execution),
        Some(Execution::NotRun)
    );
}

#[test]
fn an_overdue_grant_is_abandoned_when_it_is_missing_from_two_reports_of_its_holder() {
    let start = Instant::now();
    let mut state = owner_with_peer(settings(), &minions(1, SLOTS), start);
    granted_idempotent(&mut state, 1, PEER, start);
    let overdue = start + ended_after();

    let asking = state.tick(overdue);
    state.holdings_reported(&group(), 1, &PEER.into(), &[], overdue);
    state.tick(overdue);
    let once = state.status(overdue).groups[0].minions["m0"].in_use_slots;
    state.holdings_reported(&group(), 1, &PEER.into(), &[], overdue);
    state.tick(overdue);
    let twice = state.status(overdue).groups[0].minions["m0"].in_use_slots;

    assert!(asking
        .iter()
        .any(|effect| matches!(effect, Effect::AskHoldings { .. })));
    assert_eq!((once, twice), (1, 0));
}

#[test]
fn the_key_of_an_undecodable_journal_entry_is_not_run_again() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    let entries = vec![("key/k".into(), "{".to_owned())];
    state.group_event(claimed(2, entries, None), now);

    let effects = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);

    assert_eq!(
        refused(&effects, 1).map(|r| r.execution),
        Some(Execution::Unknown)
    );
}

#[test]
fn a_lost_group_refuses_waiting_calls_and_still_grants_a_journaled_intent() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, 1), now);
    let journaling = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    state.incoming(2, Call::Acquire(acquire(OWNER)), now);

    let lost = jackdawchute_ownership::GroupEvent::Lost { group: group() };
    let losing = state.group_event(lost, now);
    let after = answer_appends(&mut state, journaling, AppendOutcome::Journaled, now);

    assert_eq!(
        refused(&losing, 2).map(|r| r.execution),
        Some(Execution::NotRun)
    );
    assert!(granted(&after, 1).is_some());
}
