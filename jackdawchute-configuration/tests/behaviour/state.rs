//! Which version one instance uses and when it is confirmed, by the answers of the table and peers.

use std::time::{Duration, Instant};

use jackdawchute_configuration::{
    Confirmation, KnownConfiguration, PeerAnswer, PeerAnswers, PeerFailure, Plan, Reply, State,
    TableRead,
};
use quickcheck::{Gen, QuickCheck};

use crate::fixtures::configuration;

const CONFIRM_TIME: Duration = Duration::from_secs(10);
const SECOND: Duration = Duration::from_secs(1);

/// Returns the result of a read at table version 1; `None` if the configuration did not change.
fn read_result(version: Option<u64>) -> TableRead {
    TableRead::Changes {
        configuration: version.map(|version| Box::new(configuration(version))),
        table_version: 1,
    }
}

fn peer_answer(name: &str, result: Result<KnownConfiguration, PeerFailure>) -> PeerAnswer {
    PeerAnswer {
        peer: name.into(),
        result: result.map(Reply::Known),
    }
}

/// Returns the configuration of a peer that the table does not answer, and that was never
/// confirmed.
fn known_without_table(version: u64) -> KnownConfiguration {
    KnownConfiguration {
        version,
        configuration: Some(Box::new(configuration(version))),
        ..KnownConfiguration::default()
    }
}

fn complete_answers(answers: Vec<PeerAnswer>) -> PeerAnswers {
    PeerAnswers {
        complete: true,
        answers,
    }
}

/// Returns the state of an instance that uses version 3, and whose last read of the table failed.
fn cut_off_state(start: Instant) -> State {
    let mut state = State::new(CONFIRM_TIME);
    state.on_table_read(start, read_result(Some(3)));
    state.on_table_read(start + SECOND, TableRead::Failed);
    state
}

#[test]
fn the_highest_version_stays_in_use_whatever_the_order_of_answers() {
    fn highest_stays_in_use(answers: Vec<(u8, bool)>) -> bool {
        let start = Instant::now();
        let mut state = State::new(CONFIRM_TIME);
        let mut highest = 0;
        answers.into_iter().all(|(version, from_peer)| {
            let version = u64::from(version % 16) + 1;
            if from_peer {
                let answer = peer_answer("entry-2", Ok(known_without_table(version)));
                state.on_peer_answers(start, complete_answers(vec![answer]));
            } else {
                state.on_table_read(start, read_result(Some(version)));
            }
            highest = highest.max(version);
            state.version() == highest
        })
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, 3));

    check.quickcheck(highest_stays_in_use as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn a_confirmation_is_valid_for_the_confirm_time_after_the_read_was_sent() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM_TIME);

    state.on_table_read(start, read_result(Some(3)));

    let until = start + CONFIRM_TIME;
    let before = until - Duration::from_millis(1);
    assert_eq!(
        state.confirmation(before),
        Confirmation::Confirmed { until }
    );
    assert_eq!(state.confirmation(until), Confirmation::Unconfirmed);
}

#[test]
fn an_instance_without_a_version_is_not_confirmed() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM_TIME);

    state.on_table_read(start, read_result(None));
    state.on_peer_answers(start, complete_answers(Vec::new()));

    assert_eq!(state.confirmation(start), Confirmation::Unconfirmed);
}

/// Otherwise two instances that reach neither the table nor the rest of the fleet would confirm
/// each other for ever, while a third may accept a higher version.
#[test]
fn instances_that_only_reach_each_other_do_not_confirm_each_other() {
    let start = Instant::now();
    let mut state = cut_off_state(start);
    let other = KnownConfiguration {
        confirmed_ago: Some(CONFIRM_TIME),
        ..known_without_table(3)
    };

    let answers = vec![
        peer_answer("entry-2", Ok(other)),
        peer_answer("entry-3", Err(PeerFailure::Unreachable)),
    ];
    state.on_peer_answers(start + CONFIRM_TIME, complete_answers(answers));

    assert_eq!(
        state.confirmation(start + CONFIRM_TIME),
        Confirmation::Unconfirmed
    );
}

#[test]
fn the_version_stays_confirmed_while_the_table_is_down_for_all() {
    let start = Instant::now();
    let mut state = cut_off_state(start);

    let answers = vec![
        peer_answer("entry-2", Ok(known_without_table(3))),
        peer_answer("entry-3", Err(PeerFailure::Ended)),
    ];
    state.on_peer_answers(start + CONFIRM_TIME, complete_answers(answers));

    let until = start + CONFIRM_TIME * 2;
    assert_eq!(
        state.confirmation(start + CONFIRM_TIME),
        Confirmation::Confirmed { until }
    );
}

#[test]
fn answers_of_only_some_peers_do_not_show_that_the_table_is_down_for_all() {
    let start = Instant::now();
    let mut state = cut_off_state(start);

    let answers = PeerAnswers {
        complete: false,
        answers: vec![peer_answer("entry-2", Ok(known_without_table(3)))],
    };
    state.on_peer_answers(start + CONFIRM_TIME, answers);

    assert_eq!(
        state.confirmation(start + CONFIRM_TIME),
        Confirmation::Unconfirmed
    );
}

#[test]
fn a_peer_that_reads_the_table_provides_its_version_and_the_age_of_its_confirmation() {
    let start = Instant::now();
    let mut state = cut_off_state(start);
    let reader = KnownConfiguration {
        confirmed_ago: Some(SECOND),
        table_answers: true,
        ..known_without_table(4)
    };

    let updated = state.on_peer_answers(
        start + CONFIRM_TIME,
        complete_answers(vec![peer_answer("entry-2", Ok(reader))]),
    );

    assert!(updated);
    assert_eq!(state.version(), 4);
    let until = start + CONFIRM_TIME - SECOND + CONFIRM_TIME;
    assert_eq!(
        state.confirmation(start + CONFIRM_TIME),
        Confirmation::Confirmed { until }
    );
}

#[test]
fn a_peer_that_names_a_higher_version_without_its_content_confirms_nothing() {
    let start = Instant::now();
    let mut state = cut_off_state(start);
    let reader = KnownConfiguration {
        version: 4,
        configuration: None,
        confirmed_ago: Some(Duration::ZERO),
        table_answers: true,
    };

    state.on_peer_answers(
        start + CONFIRM_TIME,
        complete_answers(vec![peer_answer("entry-2", Ok(reader))]),
    );

    assert_eq!(state.version(), 3);
    assert_eq!(
        state.confirmation(start + CONFIRM_TIME),
        Confirmation::Unconfirmed
    );
}

#[test]
fn a_row_that_cannot_be_decoded_confirms_nothing_and_is_read_again() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM_TIME);
    state.on_table_read(start, read_result(Some(3)));

    state.on_table_read(start + CONFIRM_TIME, TableRead::Unreadable);

    assert_eq!(
        state.confirmation(start + CONFIRM_TIME),
        Confirmation::Unconfirmed
    );
    assert_eq!((state.version(), state.table_version()), (3, 1));
}

#[test]
fn a_read_at_a_lower_table_version_confirms_nothing_and_the_next_read_covers_every_row() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM_TIME);
    state.update_committed(configuration(3), 9);

    let updated = state.on_table_read(start, read_result(None));
    let confirmation = state.confirmation(start);
    let next_read_after = state.table_version();
    state.on_table_read(start, read_result(Some(2)));

    assert!(!updated);
    assert_eq!(confirmation, Confirmation::Unconfirmed);
    assert_eq!(next_read_after, 0);
    assert_eq!((state.version(), state.table_version()), (3, 1));
}

/// If the next read started after the offer's table version, it would skip rows that this instance
/// has never read.
#[test]
fn an_offer_older_than_the_version_in_use_does_not_skip_rows() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM_TIME);
    state.on_table_read(start, read_result(Some(3)));

    let updated = state.update_committed(configuration(2), 9);

    assert!(!updated);
    assert_eq!(state.table_version(), 1);
}

#[test]
fn peers_are_asked_only_while_the_table_does_not_answer() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM_TIME);

    let first = state.plan_poll();
    state.on_table_read(start, read_result(Some(3)));
    let after_answer = state.plan_poll();
    let while_reading = state.plan_poll();

    let plan = |read_table, ask_peers| Plan {
        read_table,
        ask_peers,
    };
    assert_eq!(first, plan(true, false));
    assert_eq!(after_answer, plan(true, false));
    assert_eq!(while_reading, plan(false, true));
}
