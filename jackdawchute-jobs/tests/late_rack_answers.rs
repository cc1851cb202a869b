//! Answers of rack owners that arrive after a successor was called.

mod fixtures;

use fixtures::{
    home::{
        at, attempt_reply, finish_appends, homes, now, owner_calls, racks_at, requested_starts,
    },
    job,
    rack::attempt_id,
    settings, WORKER,
};
use jackdawchute_jobs::{
    effect::{Effect, Now},
    home::{HomeGroups, TaskPhase},
    AttemptEnd, AttemptState, Call, NotStartedReason, RackView, Reply, TaskAnswer, WorkerView,
};
use jackdawchute_types::{Epoch, JobKind};

const NOT_STARTED: AttemptState =
    AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::StoreUnavailable));

/// Returns a home owner that called the rack owners of these epochs, one after the other and
/// without an answer, to start the first attempt of the task `j-0`, and the time of the last call.
fn homes_after_calls(epochs: &[Epoch]) -> (HomeGroups, Now) {
    let start = now();
    let mut time = start;
    let mut homes = homes(start);
    homes.set_directory(racks_at(epochs[0]));
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), start);
    let effects = finish_appends(&mut homes, effects, true, start);
    assert_eq!(called_epochs(effects), epochs[..1]);
    for (calls, epoch) in (1..).zip(&epochs[1..]) {
        homes.set_directory(racks_at(*epoch));
        time = at(start.instant, settings().resend * calls);
        assert_eq!(called_epochs(homes.tick(time)), [*epoch]);
    }
    (homes, time)
}

/// Returns the epochs in which rack owners are asked to start tasks.
fn called_epochs(effects: Vec<Effect>) -> Vec<Epoch> {
    let calls = owner_calls(effects).into_iter();
    let epoch = |(call, _)| match call {
        Call::Start { rack, .. } => Some(rack.epoch),
        _ => None,
    };
    calls.filter_map(epoch).collect()
}

/// Applies the answer of the rack owner of an epoch to the start of the first attempt of `j-0`.
fn answer(homes: &mut HomeGroups, epoch: Epoch, state: AttemptState, now: Now) {
    let id = attempt_id("j-0", 1);
    let reply = attempt_reply(id.clone(), state);
    let effects = homes.rack_answered(epoch, &[id], Ok(reply), now);
    assert_eq!(effects, []);
}

/// Returns the attempts that the home owner asks for within the time of a retry and a resend.
fn later_starts(homes: &mut HomeGroups, now: Now) -> Vec<u32> {
    let later = at(now.instant, settings().resend * 5);
    let effects = homes.tick(later);
    let starts = requested_starts(finish_appends(homes, effects, true, later));
    starts.into_iter().map(|(_, id)| id.attempt).collect()
}

/// A rack owner whose append fails because it was replaced answers that the task was not started.
/// The successor may have started the same attempt by then, so that a further one would run beside
/// it. The same holds if an outdated directory makes the home owner call the replaced owner last.
#[test]
fn a_late_not_started_of_a_replaced_rack_owner_starts_no_further_attempt() {
    for epochs in [[1, 2], [2, 1]] {
        let (mut homes, now) = homes_after_calls(&epochs);

        answer(&mut homes, 1, NOT_STARTED, now);
        let attempts = later_starts(&mut homes, now);

        assert_eq!(attempts, [1], "rack owners called: {epochs:?}");
    }
}

/// The attempt would wait for ever if the successor's answer did not count either.
#[test]
fn the_answer_of_the_successor_counts_after_that_of_a_replaced_rack_owner() {
    let (mut homes, now) = homes_after_calls(&[1, 2]);

    answer(&mut homes, 1, NOT_STARTED, now);
    answer(&mut homes, 2, NOT_STARTED, now);
    let attempts = later_starts(&mut homes, now);

    assert_eq!(attempts, [2]);
}

/// Epochs of different racks are not comparable: the second attempt would wait for ever.
#[test]
fn the_answer_for_an_attempt_counts_if_an_earlier_one_was_on_a_rack_of_a_higher_epoch() {
    let (mut homes, now) = homes_after_calls(&[2]);
    let mut directory = (*racks_at(2)).clone();
    directory.owners.get_mut("rack/r2").unwrap().epoch = 1;
    homes.set_directory(directory.into());
    let full = RackView {
        group: "rack/r1".into(),
        teams: Default::default(),
        workers: vec![WorkerView {
            worker: "r1-w0".into(),
            charged: WORKER,
            accepting: false,
        }],
    };
    let first = Reply::Rack {
        answers: vec![TaskAnswer {
            id: attempt_id("j-0", 1),
            state: NOT_STARTED,
        }],
        held: false,
        view: full,
    };
    homes.rack_answered(2, &[attempt_id("j-0", 1)], Ok(Ok(first)), now);
    let later = at(now.instant, settings().resend * 5);
    let effects = homes.tick(later);
    let effects = finish_appends(&mut homes, effects, true, later);
    assert_eq!(called_epochs(effects), [1]);

    let second = attempt_reply(attempt_id("j-0", 2), NOT_STARTED);
    homes.rack_answered(1, &[attempt_id("j-0", 2)], Ok(second), later);
    let attempts = later_starts(&mut homes, later);

    assert_eq!(attempts, [3]);
}

/// A journaled intent is recovered by the successor, so that the task may run there.
#[test]
fn a_late_answer_that_an_attempt_runs_counts_also_from_a_replaced_rack_owner() {
    let (mut homes, now) = homes_after_calls(&[1, 2]);

    answer(&mut homes, 1, AttemptState::Running, now);

    let phase = &homes.job(&"j".into()).unwrap().tasks[0].phase;
    assert!(matches!(phase, TaskPhase::Assigned { running: true, .. }));
}
