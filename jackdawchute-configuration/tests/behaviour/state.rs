//! What one instance decides from what it hears.

use std::time::{Duration, Instant};

use jackdawchute_configuration::{
    Confirmation, KnownConfiguration, PeerAnswer, PeerAnswers, PeerFailure, Plan, Reply, State,
    TableRead,
};
use quickcheck::{Gen, QuickCheck};

use crate::fixtures::configuration;

const CONFIRM: Duration = Duration::from_secs(10);
const SECOND: Duration = Duration::from_secs(1);

fn read(version: Option<u64>) -> TableRead {
    TableRead::Changes {
        configuration: version.map(|version| Box::new(configuration(version))),
        table_version: 1,
    }
}

fn peer(name: &str, result: Result<KnownConfiguration, PeerFailure>) -> PeerAnswer {
    PeerAnswer {
        peer: name.into(),
        result: result.map(Reply::Known),
    }
}

fn cut_off_peer(version: u64) -> KnownConfiguration {
    KnownConfiguration {
        version,
        configuration: Some(Box::new(configuration(version))),
        ..KnownConfiguration::default()
    }
}

fn all(answers: Vec<PeerAnswer>) -> PeerAnswers {
    PeerAnswers {
        complete: true,
        answers,
    }
}

/// An instance that used version 3 when the table stopped answering it.
fn cut_off(start: Instant) -> State {
    let mut state = State::new(CONFIRM);
    state.on_table(start, read(Some(3)));
    state.on_table(start + SECOND, TableRead::Failed);
    state
}

#[test]
fn no_order_of_answers_brings_an_older_version_back() {
    fn holds(answers: Vec<(u8, bool)>) -> bool {
        let start = Instant::now();
        let mut state = State::new(CONFIRM);
        let mut highest = 0;
        answers.into_iter().all(|(version, from_peer)| {
            let version = u64::from(version % 16) + 1;
            if from_peer {
                let answer = peer("entry-2", Ok(cut_off_peer(version)));
                state.on_peers(start, all(vec![answer]));
            } else {
                state.on_table(start, read(Some(version)));
            }
            highest = highest.max(version);
            state.version() == highest
        })
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, 3));

    check.quickcheck(holds as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn a_confirmation_holds_from_the_sending_of_the_read_for_the_stated_time() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM);

    state.on_table(start, read(Some(3)));

    let until = start + CONFIRM;
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
    let mut state = State::new(CONFIRM);

    state.on_table(start, read(None));
    state.on_peers(start, all(Vec::new()));

    assert_eq!(state.confirmation(start), Confirmation::Unconfirmed);
}

#[test]
fn instances_that_only_reach_each_other_do_not_confirm_each_other() {
    let start = Instant::now();
    let mut state = cut_off(start);
    let other = KnownConfiguration {
        confirmed_ago: Some(CONFIRM),
        ..cut_off_peer(3)
    };

    let answers = vec![
        peer("entry-2", Ok(other)),
        peer("entry-3", Err(PeerFailure::Unreachable)),
    ];
    state.on_peers(start + CONFIRM, all(answers));

    assert_eq!(
        state.confirmation(start + CONFIRM),
        Confirmation::Unconfirmed
    );
}

#[test]
fn the_version_stays_while_the_table_is_down_for_all() {
    let start = Instant::now();
    let mut state = cut_off(start);

    let answers = vec![
        peer("entry-2", Ok(cut_off_peer(3))),
        peer("entry-3", Err(PeerFailure::Ended)),
    ];
    state.on_peers(start + CONFIRM, all(answers));

    let until = start + CONFIRM * 2;
    assert_eq!(
        state.confirmation(start + CONFIRM),
        Confirmation::Confirmed { until }
    );
}

#[test]
fn answers_of_only_some_peers_do_not_show_that_the_table_is_down_for_all() {
    let start = Instant::now();
    let mut state = cut_off(start);

    let answers = PeerAnswers {
        complete: false,
        answers: vec![peer("entry-2", Ok(cut_off_peer(3)))],
    };
    state.on_peers(start + CONFIRM, answers);

    assert_eq!(
        state.confirmation(start + CONFIRM),
        Confirmation::Unconfirmed
    );
}

#[test]
fn a_peer_that_reads_the_table_passes_its_version_and_the_age_of_its_reading() {
    let start = Instant::now();
    let mut state = cut_off(start);
    let reader = KnownConfiguration {
        confirmed_ago: Some(SECOND),
        table_answers: true,
        ..cut_off_peer(4)
    };

    let newer = state.on_peers(start + CONFIRM, all(vec![peer("entry-2", Ok(reader))]));

    assert!(newer);
    assert_eq!(state.version(), 4);
    let until = start + CONFIRM - SECOND + CONFIRM;
    assert_eq!(
        state.confirmation(start + CONFIRM),
        Confirmation::Confirmed { until }
    );
}

#[test]
fn a_peer_that_names_a_higher_version_without_giving_it_confirms_nothing() {
    let start = Instant::now();
    let mut state = cut_off(start);
    let reader = KnownConfiguration {
        version: 4,
        configuration: None,
        confirmed_ago: Some(Duration::ZERO),
        table_answers: true,
    };

    state.on_peers(start + CONFIRM, all(vec![peer("entry-2", Ok(reader))]));

    assert_eq!(state.version(), 3);
    assert_eq!(
        state.confirmation(start + CONFIRM),
        Confirmation::Unconfirmed
    );
}

#[test]
fn a_row_that_cannot_be_read_confirms_nothing_and_is_read_again() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM);
    state.on_table(start, read(Some(3)));

    state.on_table(start + CONFIRM, TableRead::Unreadable);

    assert_eq!(
        state.confirmation(start + CONFIRM),
        Confirmation::Unconfirmed
    );
    assert_eq!((state.version(), state.table_version()), (3, 1));
}

#[test]
fn a_table_that_went_back_is_read_whole_and_confirms_nothing_before() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM);
    state.update_committed(configuration(3), 9);

    let went_back = state.on_table(start, read(None));
    let confirmation = state.confirmation(start);
    let read_from = state.table_version();
    state.on_table(start, read(Some(2)));

    assert!(!went_back);
    assert_eq!(confirmation, Confirmation::Unconfirmed);
    assert_eq!(read_from, 0);
    assert_eq!((state.version(), state.table_version()), (3, 1));
}

#[test]
fn an_offer_older_than_the_version_in_use_does_not_skip_rows() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM);
    state.on_table(start, read(Some(3)));

    let newer = state.update_committed(configuration(2), 9);

    assert!(!newer);
    assert_eq!(state.table_version(), 1);
}

#[test]
fn peers_are_asked_only_while_the_table_keeps_silent() {
    let start = Instant::now();
    let mut state = State::new(CONFIRM);

    let first = state.plan();
    state.on_table(start, read(Some(3)));
    let after_answer = state.plan();
    let still_reading = state.plan();

    let plan = |read_table, ask_peers| Plan {
        read_table,
        ask_peers,
    };
    assert_eq!(first, plan(true, false));
    assert_eq!(after_answer, plan(true, false));
    assert_eq!(still_reading, plan(false, true));
}
