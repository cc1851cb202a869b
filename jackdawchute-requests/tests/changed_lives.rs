//! Grants whose life is made shorter in the settings while their requests run.

mod fixtures;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fixtures::*;
use jackdawchute_requests::{
    AbandonGrant, Call, Grant, GrantSettings, JournaledKey, JournaledState, Reply, Settings, State,
};

/// Less than the time after which a grant of the shorter life has ended, and a little more.
const SHORT: Duration = Duration::from_secs(10);

fn shorter_life() -> Settings {
    Settings {
        grants: GrantSettings {
            life: Duration::from_secs(1),
            ..settings().grants
        },
        ..settings()
    }
}

/// The time after which a grant of the longer life has ended.
fn ended_after() -> Duration {
    settings().grants.ended_after()
}

/// A grant of the first owner, with the longer life.
fn longer_grant(now: Instant) -> Grant {
    let mut first = owner_with_peer(settings(), &minions(1, SLOTS), now);
    granted_idempotent(&mut first, 1, PEER, now)
}

/// Returns an instance whose life of grants was made shorter just now.
fn instance_after_the_change(now: Instant) -> State {
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    set_listed(&mut state, &[OWNER, PEER], now);
    state.change_settings(Arc::new(settings()), now);
    state.change_settings(Arc::new(shorter_life()), now);
    state
}

/// Lets the time pass, and returns the slots of the minion that may not be granted.
fn unavailable_slots(state: &mut State, at: Instant) -> u32 {
    state.tick(at);
    let status = &state.status(at).groups[0];
    status.held_back_slots + status.minions["m0"].in_use_slots
}

#[test]
fn a_reported_grant_of_a_longer_life_uses_its_slot_until_it_has_ended() {
    let now = Instant::now();
    let grant = longer_grant(now);
    let mut state = non_owner(shorter_life(), &minions(1, SLOTS), now);
    set_listed(&mut state, &[OWNER, PEER], now);
    claim(&mut state, claimed(2, holder_entries(&[PEER]), None), now);
    state.holdings_reported(&group(), 2, &PEER.into(), &[grant], now);

    set_listed(&mut state, &[OWNER], now);
    let before = unavailable_slots(&mut state, now + SHORT);
    let after = unavailable_slots(&mut state, now + ended_after());

    assert_eq!((before, after), (1, 0));
}

#[test]
fn an_abandoned_grant_of_a_longer_life_is_reported_until_it_has_ended() {
    let now = Instant::now();
    let grant = longer_grant(now);
    let mut state = instance_after_the_change(now);
    state.register_grant(grant.clone(), Duration::ZERO);
    let abandon = AbandonGrant {
        grant: grant.id,
        group: group(),
        epoch: grant.epoch,
    };
    let holdings = Call::Holdings {
        group: group(),
        epoch: 2,
        holder: OWNER.into(),
    };

    state.abandon_grant(&abandon, now);
    state.tick(now + SHORT);
    let before = state.incoming(1, holdings.clone(), now + SHORT);
    state.tick(now + ended_after());
    let after = state.incoming(2, holdings, now + ended_after());

    let reported = |grants| Some(Ok(Reply::Holdings { grants }));
    assert_eq!(reply(&before, 1), reported(vec![grant]));
    assert_eq!(reply(&after, 2), reported(vec![]));
}

#[test]
fn slots_are_held_back_for_a_crashed_holder_until_its_grants_of_a_longer_life_have_ended() {
    let now = Instant::now();
    let mut state = instance_after_the_change(now);
    claim(&mut state, claimed(2, holder_entries(&["gone"]), None), now);

    let before = unavailable_slots(&mut state, now + SHORT);
    let after = unavailable_slots(&mut state, now + ended_after());

    assert_eq!((before, after), (SLOTS, 0));
}

#[test]
fn a_request_with_a_lost_answer_uses_its_slot_until_its_longer_life_has_ended() {
    let now = Instant::now();
    let lost = JournaledKey {
        digest: 1,
        epoch: 1,
        grant: 5,
        holder: PEER.into(),
        state: JournaledState::Unknown {
            minion: Some("m0".into()),
        },
    };
    let mut state = instance_after_the_change(now);
    claim(
        &mut state,
        claimed(2, journal_entries(&[("k", &lost)]), None),
        now,
    );

    let before = unavailable_slots(&mut state, now + SHORT);
    let after = unavailable_slots(&mut state, now + ended_after());

    assert_eq!((before, after), (1, 0));
}

#[test]
fn the_shorter_life_counts_once_the_longer_one_has_ended_everywhere() {
    let now = Instant::now();
    let claimed_at = now + ended_after();
    let mut state = instance_after_the_change(now);
    let event = claimed(2, holder_entries(&["gone"]), None);
    claim(&mut state, event, claimed_at);

    let later = unavailable_slots(&mut state, claimed_at + SHORT);

    assert_eq!(later, 0);
}

/// The settings that an instance has before it reads the configuration give no grants.
#[test]
fn the_first_settings_of_an_instance_replace_none() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    state.change_settings(Arc::new(shorter_life()), now);
    claim(&mut state, claimed(2, holder_entries(&["gone"]), None), now);

    let later = unavailable_slots(&mut state, now + SHORT);

    assert_eq!(later, 0);
}
