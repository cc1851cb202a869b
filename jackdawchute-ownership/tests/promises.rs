//! Decisions of one instance about promises and fences, as values.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_ownership::{
    effect::Effect,
    rows::{encode, incarnation_key, IncarnationRow},
    state::{Identity, State},
    view::ScannedRows,
    LeaseState, Timing,
};
use jackdawchute_ports::{CommitOutcome, Row, Scan};

const MS: Duration = Duration::from_millis(1);

fn timing() -> Timing {
    Timing::default()
}

/// A holder at version 2 that knows of nobody else, and when it began.
fn lone_holder() -> (State, Instant) {
    let identity = Identity {
        incarnation: "b".into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        failure_domain: "ala-1".into(),
    };
    let mut state = State::new(identity, timing());
    let now = Instant::now();
    let effects = state.tick(now);
    commit(&mut state, &effects, 2, now);
    (state, now)
}

/// A challenger that has seen a silent peer, and when it began.
fn challenger() -> (State, Instant) {
    let (mut state, now) = lone_holder();
    state.set_desired_groups(Arc::default(), now);
    state.scanned(Some(silent_peer(1)), now);
    (state, now)
}

/// The rows of the challenger itself and of a peer that knows it and stands still at `version`.
fn silent_peer(version: u64) -> ScannedRows {
    let row = IncarnationRow {
        counter: 7,
        head: 0,
        write_id: "a/7".into(),
        configuration_version: 0,
        peer_address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "ala-2".into(),
        seen_version: 9,
        fenced_by: None,
        leaving: false,
    };
    let row = Row {
        key: incarnation_key("a"),
        version,
        value: Some(encode(&row)),
    };
    ScannedRows {
        incarnations: Scan {
            rows: vec![row],
            version: 2,
        },
        groups: Scan {
            rows: Vec::new(),
            version: 2,
        },
    }
}

/// Answers the commit among the effects, if there is one.
fn commit(state: &mut State, effects: &[Effect], version: u64, now: Instant) -> Vec<Effect> {
    let sent = effects.iter().find_map(|effect| match effect {
        Effect::Commit(commit) => Some(commit.write_id.clone()),
        _ => None,
    });
    let outcome = Ok(CommitOutcome::Committed { version });
    sent.map_or(Vec::new(), |write_id| {
        state.committed(&write_id, outcome, now)
    })
}

fn is_fence(effect: &Effect) -> bool {
    matches!(effect, Effect::Commit(commit)
        if commit.writes.iter().any(|write| write.key == incarnation_key("a")))
}

/// Lets time pass in steps of a second, with every read and commit answered, until the challenger
/// sends a fence; `None` if it does not within `limit`.
fn fenced_after(state: &mut State, begun: Instant, limit: Duration) -> Option<Duration> {
    let mut now = begun;
    let mut version = 10;
    while now < begun + limit {
        now += timing().scan_period;
        let mut effects = state.tick(now);
        effects.extend(state.scanned(Some(ScannedRows::default()), now));
        if effects.iter().any(is_fence) {
            return Some(now - begun);
        }
        version += 1;
        let more = commit(state, &effects, version, now);
        if more.iter().any(is_fence) {
            return Some(now - begun);
        }
    }
    None
}

#[test]
fn a_silent_peer_is_fenced_after_the_takeover_time() {
    let (mut state, begun) = challenger();

    let after = fenced_after(&mut state, begun, timing().takeover * 3);

    assert_eq!(after, Some(timing().takeover));
}

#[test]
fn a_promise_puts_the_fence_off() {
    let (mut state, begun) = challenger();
    let asked = begun + timing().takeover - MS;

    let hold_off = state.hold_off(&"a".into(), asked);
    let after = fenced_after(&mut state, begun, timing().takeover * 3);

    assert_eq!(hold_off, timing().hold_off);
    assert!(after.unwrap() >= timing().takeover - MS + hold_off);
}

#[test]
fn no_promise_is_given_while_the_fence_is_under_way() {
    let (mut state, begun) = challenger();
    let after = fenced_after(&mut state, begun, timing().takeover * 3).unwrap();

    let hold_off = state.hold_off(&"a".into(), begun + after);

    assert_eq!(hold_off, Duration::ZERO);
}

#[test]
fn a_failed_read_restarts_the_watch() {
    let (mut state, begun) = challenger();
    let failed = begun + timing().takeover - MS;

    let effects = state.scanned(None, failed);
    commit(&mut state, &effects, 3, failed);
    let after = fenced_after(&mut state, failed, timing().takeover * 3);

    assert!(after.unwrap() >= timing().takeover);
}

#[test]
fn without_a_promise_of_a_known_peer_a_lapsed_lease_is_cut_off() {
    let (state, begun) = challenger();

    let before = state.lease_state(begun + timing().lease - MS);
    let after = state.lease_state(begun + timing().lease);

    assert_eq!(before, LeaseState::Confirmed);
    assert_eq!(after, LeaseState::CutOff);
}

#[test]
fn an_announced_incarnation_has_to_promise_too() {
    let (mut state, begun) = lone_holder();
    let lapsed = begun + timing().lease;

    let before = state.lease_state(lapsed);
    state.announced("c".into(), ([127, 0, 0, 1], 3).into(), lapsed);
    let after = state.lease_state(lapsed);

    assert_eq!(before, LeaseState::StoreDown);
    assert_eq!(after, LeaseState::CutOff);
}
