//! Each check finds the violations of its kind and reports no others.

use std::time::{Duration, SystemTime};

use jackdawchute_ports::TaskEnd;
use jackdawchute_standins::{
    checker::{
        each_key_at_most_once, never_ran, one_place_at_a_time, ran_once, within_connections,
        within_size, within_slots, Violation,
    },
    proxy::ProxyCounts,
};
use jackdawchute_trial::{
    minion::{MinionRecord, RequestRun},
    worker::{TaskRun, WorkerRecord},
};
use jackdawchute_types::Resources;

fn at(second: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(second)
}

fn task_run(task: &str, attempt: u32, from: u64, to: Option<u64>) -> TaskRun {
    TaskRun {
        task: task.into(),
        attempt,
        resources: Resources::new(3_000, 1_024, 0),
        used: Resources::new(3_000, 1_024, 0),
        started: at(from),
        ended: to.map(|second| (at(second), TaskEnd::Succeeded)),
    }
}

fn worker(id: &str, runs: Vec<TaskRun>) -> WorkerRecord {
    WorkerRecord {
        worker: id.into(),
        resources: Resources::new(4_000, 4_096, 0),
        runs,
    }
}

fn minion(id: &str, keys: &[&str], max_concurrent: u32) -> MinionRecord {
    let run = |key: &&str| RequestRun {
        method: "POST".into(),
        path: "/orders".into(),
        tag: format!("tag-{key}").into(),
        key: Some((*key).into()),
        started: at(1),
        ended: Some(at(2)),
    };
    MinionRecord {
        minion: id.into(),
        slots: 8,
        runs: keys.iter().map(run).collect(),
        max_concurrent,
    }
}

#[test]
fn consecutive_runs_of_a_task_are_no_violation() {
    let first = worker("w1", vec![task_run("j-0", 1, 1, Some(5))]);
    let second = worker("w2", vec![task_run("j-0", 2, 5, None)]);

    let violations = one_place_at_a_time(&[first, second]);

    assert_eq!(violations, []);
}

#[test]
fn a_task_that_runs_in_two_places_is_found() {
    let first = worker("w1", vec![task_run("j-0", 1, 1, Some(5))]);
    let second = worker("w2", vec![task_run("j-0", 2, 4, None)]);

    let violations = one_place_at_a_time(&[first, second]);

    let expected = Violation::TwoPlaces {
        task: "j-0".into(),
        first: ("w1".into(), 1),
        second: ("w2".into(), 2),
    };
    assert_eq!(violations, [expected]);
}

#[test]
fn a_worker_charged_beyond_its_resources_is_found() {
    let within = worker(
        "w1",
        vec![task_run("a-0", 1, 1, Some(3)), task_run("b-0", 1, 3, None)],
    );
    let beyond = worker(
        "w2",
        vec![task_run("c-0", 1, 1, Some(3)), task_run("d-0", 1, 2, None)],
    );

    let violations = within_size(&[within, beyond]);

    let expected = Violation::BeyondSize {
        worker: "w2".into(),
        size: Resources::new(4_000, 4_096, 0),
        charge: Resources::new(6_000, 2_048, 0),
    };
    assert_eq!(violations, [expected]);
}

#[test]
fn a_run_of_zero_length_adds_no_charge() {
    let record = worker(
        "w1",
        vec![task_run("a-0", 1, 1, Some(1)), task_run("b-0", 1, 2, None)],
    );

    assert_eq!(record.max_charge(), Resources::new(3_000, 1_024, 0));
}

#[test]
fn a_minion_beyond_its_slots_is_found() {
    let records = [minion("m1", &[], 8), minion("m2", &[], 9)];

    let violations = within_slots(&records);

    let expected = Violation::BeyondSlots {
        minion: "m2".into(),
        slots: 8,
        concurrent: 9,
    };
    assert_eq!(violations, [expected]);
}

#[test]
fn a_minion_beyond_its_connections_is_found() {
    let counts = |max_open| ProxyCounts {
        max_open,
        ..ProxyCounts::default()
    };

    let violations =
        within_connections(&[("m1".into(), counts(64)), ("m2".into(), counts(65))], 64);

    let expected = Violation::BeyondConnections {
        minion: "m2".into(),
        limit: 64,
        open: 65,
    };
    assert_eq!(violations, [expected]);
}

#[test]
fn a_key_that_ran_on_two_minions_is_found() {
    let records = [minion("m1", &["k1", "k2"], 1), minion("m2", &["k2"], 1)];

    let violations = each_key_at_most_once(&records);

    let expected = Violation::KeyRepeated {
        key: "k2".into(),
        runs: 2,
    };
    assert_eq!(violations, [expected]);
}

#[test]
fn refusals_and_answers_are_compared_with_the_record() {
    let records = [minion("m1", &["k1"], 1)];
    let tags = ["tag-k1".into(), "tag-k2".into()];

    let refused_but_ran = never_ran(&records, &tags);
    let answered_but_never_ran = ran_once(&records, &tags);

    let ran = Violation::RanThoughRefused {
        tag: "tag-k1".into(),
    };
    let not_once = Violation::NotOnce {
        tag: "tag-k2".into(),
        runs: 0,
    };
    assert_eq!(refused_but_ran, [ran]);
    assert_eq!(answered_but_never_ran, [not_once]);
}
