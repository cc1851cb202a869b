//! Decisions of one instance about promises and fences, tested on the effects that its state
//! returns.

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

const MILLISECOND: Duration = Duration::from_millis(1);

fn timing() -> Timing {
    Timing::default()
}

/// Returns an instance with its row at version 2 and no known peers, and when it started.
fn instance_without_peers() -> (State, Instant) {
    let identity = Identity {
        incarnation: "b".into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        failure_domain: "ala-1".into(),
    };
    let mut state = State::new(identity, timing());
    let now = Instant::now();
    let effects = state.tick(now);
    answer_commit(&mut state, &effects, 2, now);
    (state, now)
}

/// Returns a challenger that has read the row of a peer once, and when it did.
fn challenger() -> (State, Instant) {
    let (mut state, now) = instance_without_peers();
    state.set_desired_groups(Arc::default(), now);
    state.scanned(Some(scan_with_peer_row(1)), now);
    (state, now)
}

/// Returns a scan with the row of a peer at `version`; the peer has read the challenger's row.
fn scan_with_peer_row(version: u64) -> ScannedRows {
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
fn answer_commit(state: &mut State, effects: &[Effect], version: u64, now: Instant) -> Vec<Effect> {
    let sent = effects.iter().find_map(|effect| match effect {
        Effect::Commit(commit) => Some(commit.write_id.clone()),
        _ => None,
    });
    let outcome = Ok(CommitOutcome::Committed { version });
    sent.map_or(Vec::new(), |write_id| {
        state.commit_finished(&write_id, outcome, now)
    })
}

fn is_fence(effect: &Effect) -> bool {
    matches!(effect, Effect::Commit(commit)
        if commit.writes.iter().any(|write| write.key == incarnation_key("a")))
}

/// Lets time pass in steps of a scan period, with every scan and commit answered, and returns how
/// long it takes until the challenger sends a fence; `None` if it sends none within `limit`.
fn time_until_fence(state: &mut State, begun: Instant, limit: Duration) -> Option<Duration> {
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
        let next_effects = answer_commit(state, &effects, version, now);
        if next_effects.iter().any(is_fence) {
            return Some(now - begun);
        }
    }
    None
}

#[test]
fn a_peer_with_an_unchanged_row_is_fenced_after_the_takeover_time() {
    let (mut state, begun) = challenger();

    let after = time_until_fence(&mut state, begun, timing().takeover * 3);

    assert_eq!(after, Some(timing().takeover));
}

#[test]
fn a_promise_delays_the_fence() {
    let (mut state, begun) = challenger();
    let asked_at = begun + timing().takeover - MILLISECOND;

    let hold_off = state.give_promise(&"a".into(), asked_at);
    let after = time_until_fence(&mut state, begun, timing().takeover * 3);

    assert_eq!(hold_off, timing().hold_off);
    assert!(after.unwrap() >= timing().takeover - MILLISECOND + hold_off);
}

/// A fence in flight can take effect at any moment, so that a promise given then could be broken.
#[test]
fn no_promise_is_given_while_a_fence_is_in_flight() {
    let (mut state, begun) = challenger();
    let after = time_until_fence(&mut state, begun, timing().takeover * 3).unwrap();

    let hold_off = state.give_promise(&"a".into(), begun + after);

    assert_eq!(hold_off, Duration::ZERO);
}

/// Guards against a fence after an outage of the table, during which no holder could renew its row.
#[test]
fn a_failed_scan_restarts_the_failure_detection() {
    let (mut state, begun) = challenger();
    let failed_at = begun + timing().takeover - MILLISECOND;

    let effects = state.scanned(None, failed_at);
    answer_commit(&mut state, &effects, 3, failed_at);
    let after = time_until_fence(&mut state, failed_at, timing().takeover * 3);

    assert!(after.unwrap() >= timing().takeover);
}

#[test]
fn without_a_promise_of_a_known_peer_an_expired_lease_is_cut_off() {
    let (state, begun) = challenger();

    let before = state.lease_state(begun + timing().lease - MILLISECOND);
    let after = state.lease_state(begun + timing().lease);

    assert_eq!(before, LeaseState::Confirmed);
    assert_eq!(after, LeaseState::CutOff);
}

/// Guards against a newcomer that fences a holder which cannot read its row and so never asked for
/// its promise.
#[test]
fn a_promise_is_needed_from_an_announced_incarnation_too() {
    let (mut state, begun) = instance_without_peers();
    let expired_at = begun + timing().lease;

    let before = state.lease_state(expired_at);
    state.announced("c".into(), ([127, 0, 0, 1], 3).into(), expired_at);
    let after = state.lease_state(expired_at);

    assert_eq!(before, LeaseState::StoreDown);
    assert_eq!(after, LeaseState::CutOff);
}
