//! What a home owner keeps under failure, decision by decision.

mod fixtures;

use std::time::Duration;

use fixtures::{
    home::{
        answered, answers, at, calls, claimed, entries, held, homes, journal, now, started,
        with_settings, HOME,
    },
    job,
    rack::id,
    settings,
};
use jackdawchute_jobs::{
    home::TaskPhase, AttemptEnd, AttemptState, Call, NotStartedReason, RackView, Reply, TaskAnswer,
};
use jackdawchute_ownership::LeaseState;
use jackdawchute_types::{
    CallError, Execution, JobKind, JobSpec, JobState, RefusalReason, Resources,
};

const WAVE: usize = 10_000;

fn lost() -> CallError {
    CallError::Unknown("call", "rack owner".into(), "lost".into())
}

#[test]
fn a_caller_hears_of_its_job_only_once_the_journal_has_it() {
    let now = now();
    let mut homes = homes(now);

    let before = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    let early = answers(&before).len();
    let after = journal(&mut homes, before, true, now);

    assert_eq!(early, 0);
    assert!(matches!(answers(&after)[..], [Ok(Reply::Job(_))]));
}

#[test]
fn a_submission_that_was_not_journaled_is_refused_as_not_run_once_its_home_is_lost() {
    let now = now();
    let mut homes = homes(now);
    homes.set_lease_state(LeaseState::CutOff);
    homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);

    let effects = homes.lost(&HOME.into());

    let refusals: Vec<_> = answers(&effects)
        .into_iter()
        .map(|it| it.as_ref().unwrap_err())
        .map(|it| (it.reason, it.execution))
        .collect();
    assert_eq!(
        refusals,
        [(RefusalReason::OwnerUnavailable, Execution::NotRun)]
    );
}

#[test]
fn every_caller_that_waits_for_the_journal_is_answered_once_its_home_is_lost() {
    let now = now();
    let mut homes = homes(now);
    let accepted = homes.submit(1, &"kept".into(), job(JobKind::Batch, 1), now);
    journal(&mut homes, accepted, true, now);
    homes.submit(2, &"pending".into(), job(JobKind::Batch, 1), now);
    homes.submit(3, &"pending".into(), job(JobKind::Batch, 1), now);
    homes.cancel(4, &"kept".into());

    let effects = homes.lost(&HOME.into());

    let refusals = answers(&effects).into_iter();
    let outcomes: Vec<_> = refusals
        .map(|it| it.as_ref().unwrap_err().execution)
        .collect();
    assert_eq!(outcomes, [Execution::Unknown; 3]);
}

#[test]
fn no_rack_owner_hears_of_a_task_before_its_assignment_is_journaled() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    let mut accepted = effects;
    let jackdawchute_jobs::effect::Effect::Append { .. } = accepted.remove(0) else {
        panic!()
    };

    let effects = homes.accepted(&"j".into(), Ok(()), now);
    let asked_before = homes.tick(now);
    let written = entries(&effects);
    let sent = started(journal(&mut homes, effects, true, now));

    assert_eq!(
        written.iter().filter(|(key, _)| key == "task/j/0").count(),
        1
    );
    assert_eq!(started(asked_before), []);
    assert_eq!(sent, [("rack/r1".into(), id("j-0", 1))]);
}

#[test]
fn a_task_without_a_definite_answer_is_asked_of_the_same_rack_again() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    journal(&mut homes, effects, true, now);

    homes.rack_answered(&[id("j-0", 1)], Err(lost()), now);
    let later = at(now.instant, settings().resend);
    let again = homes.tick(later);
    let again = started(journal(&mut homes, again, true, later));

    assert_eq!(again, [("rack/r1".into(), id("j-0", 1))]);
}

#[test]
fn a_definite_no_frees_the_task_for_another_attempt() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    journal(&mut homes, effects, true, now);
    let no = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::NoRoom));

    homes.rack_answered(&[id("j-0", 1)], Ok(answered(id("j-0", 1), no)), now);
    let later = at(now.instant, Duration::from_secs(1));
    let effects = homes.tick(later);
    let again = started(journal(&mut homes, effects, true, later));

    assert_eq!(again, [("rack/r1".into(), id("j-0", 2))]);
}

#[test]
fn a_successor_asks_the_rack_that_a_task_was_assigned_to() {
    let now = now();
    let mut former = homes(now);
    let effects = former.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    let mut written = entries(&effects);
    let effects = former.accepted(&"j".into(), Ok(()), now);
    written.extend(entries(&effects));

    let mut homes = claimed(2, &written, now);
    let effects = homes.tick(now);
    let asked = started(journal(&mut homes, effects, true, now));

    assert_eq!(asked, [("rack/r1".into(), id("j-0", 1))]);
}

#[test]
fn an_end_is_acknowledged_only_once_the_journal_has_it() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    journal(&mut homes, effects, true, now);
    let state = AttemptState::Ended(AttemptEnd::Succeeded);
    let event = [TaskAnswer {
        id: id("j-0", 1),
        state,
    }];

    let first = homes.report(2, &HOME.into(), &event, now);
    let first = journal(&mut homes, first, false, now);
    let second = homes.report(3, &HOME.into(), &event, now);
    let written = entries(&second);
    let second = journal(&mut homes, second, true, now);

    assert!(matches!(answers(&first)[..], [Err(_)]));
    assert_eq!(written.len(), 1);
    assert!(matches!(answers(&second)[..], [Ok(Reply::Acknowledged)]));
}

#[test]
fn a_stop_is_repeated_until_the_task_ended() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Service, 1), now);
    journal(&mut homes, effects, true, now);
    homes.rack_answered(
        &[id("j-0", 1)],
        Ok(answered(id("j-0", 1), AttemptState::Running)),
        now,
    );
    let effects = homes.cancel(2, &"j".into());
    journal(&mut homes, effects, true, now);

    // The rack owner took the stop, but a successor of it may not know.
    homes.rack_answered(
        &[id("j-0", 1)],
        Ok(answered(id("j-0", 1), AttemptState::Journaled)),
        now,
    );
    let effects = homes.tick(at(now.instant, settings().resend));
    let stops = calls(effects)
        .into_iter()
        .filter(|(call, _)| matches!(call, Call::Stop { .. }));

    assert_eq!(stops.count(), 1);
}

#[test]
fn a_submission_waits_for_the_store_and_is_refused_as_not_run() {
    let now = now();
    let mut homes = homes(now);
    homes.set_lease_state(LeaseState::StoreDown);
    let spec = JobSpec {
        deadline: Duration::from_secs(5),
        ..job(JobKind::Batch, 1)
    };

    let mut effects = homes.submit(1, &"j".into(), spec, now);
    effects.extend(homes.tick(at(now.instant, Duration::from_secs(4))));
    let early = answers(&effects).len();
    let late = homes.tick(at(now.instant, Duration::from_secs(5)));

    let [Err(refusal)] = answers(&late)[..] else {
        panic!("{late:?}")
    };
    assert_eq!(early, 0);
    assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
    assert!(homes.job(&"j".into()).is_none());
}

#[test]
fn an_accepted_job_that_waits_too_long_is_refused_and_never_starts() {
    let now = now();
    let mut homes = homes(now);
    let spec = JobSpec {
        deadline: Duration::from_secs(5),
        ..job(JobKind::Batch, 1)
    };
    let effects = homes.submit(1, &"j".into(), spec, now);
    homes.set_lease_state(LeaseState::StoreDown);
    journal(&mut homes, effects, true, now);

    homes.tick(at(now.instant, Duration::from_secs(6)));
    homes.set_lease_state(LeaseState::Confirmed);
    let later = at(now.instant, Duration::from_secs(7));
    let effects = homes.tick(later);
    let sent = started(journal(&mut homes, effects, true, later));

    let status = homes.job(&"j".into()).unwrap().status();
    assert_eq!(status.state, JobState::Refused);
    assert_eq!(status.refused, Some(RefusalReason::StoreUnavailable));
    assert_eq!(sent, []);
}

#[test]
fn a_key_gives_the_first_job_and_no_other() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    journal(&mut homes, effects, true, now);

    let same = homes.submit(2, &"j".into(), job(JobKind::Batch, 1), now);
    let other = homes.submit(3, &"j".into(), job(JobKind::Batch, 2), now);

    assert!(matches!(answers(&same)[..], [Ok(Reply::Job(_))]));
    let [Err(refusal)] = answers(&other)[..] else {
        panic!("{other:?}")
    };
    assert_eq!(refusal.reason, RefusalReason::KeyMismatch);
}

#[test]
fn what_fits_no_worker_is_refused_at_once() {
    let now = now();
    let mut homes = homes(now);
    let large = JobSpec {
        resources: Resources::new(9_000, 1, 0),
        ..job(JobKind::Batch, 1)
    };

    for spec in [large, job(JobKind::Gang, 17)] {
        let effects = homes.submit(1, &"j".into(), spec, now);

        let [Err(refusal)] = answers(&effects)[..] else {
            panic!("{effects:?}")
        };
        assert_eq!(refusal.reason, RefusalReason::NeverFits);
    }
}

#[test]
fn a_wave_of_cancellations_writes_one_entry_a_job_and_none_a_task() {
    let now = now();
    let mut homes = homes(now);
    let ids: Vec<_> = (0..WAVE)
        .map(|n| jackdawchute_types::JobId::new(format!("j{n}")))
        .collect();
    homes.set_lease_state(LeaseState::Confirmed);
    for id in &ids {
        homes.submit(1, id, job(JobKind::Batch, 1), now);
    }
    homes.submit(1, &"large".into(), job(JobKind::Batch, 10_000), now);
    homes.set_lease_state(LeaseState::StoreDown);
    for id in ids.iter().chain([&"large".into()]) {
        homes.accepted(id, Ok(()), now);
    }
    homes.set_lease_state(LeaseState::Confirmed);

    let mut written = 0;
    for id in ids.iter().chain([&"large".into()]) {
        let effects = homes.cancel(2, id);
        written += entries(&effects).len();
        journal(&mut homes, effects, true, now);
    }
    let effects = homes.tick(at(now.instant, Duration::from_secs(1)));

    assert_eq!(written, WAVE + 1);
    assert_eq!(entries(&effects), []);
    assert_eq!(homes.queued().values().sum::<usize>(), 0);
}

#[test]
fn a_gang_that_lacks_one_hold_starts_nowhere_and_gives_all_back() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"g".into(), job(JobKind::Gang, 12), now);
    let first = calls(journal(&mut homes, effects, true, now));

    let second = calls(homes.hold_answered(&"g".into(), 1, Ok(held(true)), now));
    let released = calls(homes.hold_answered(&"g".into(), 1, Ok(held(false)), now));

    let hold =
        |call: &Call, name: &str| matches!(call, Call::Hold { rack, .. } if rack.group == name);
    assert!(hold(&first[0].0, "rack/r1") && hold(&second[0].0, "rack/r2"));
    assert_eq!(released.len(), 2);
    assert!(released
        .iter()
        .all(|(call, _)| matches!(call, Call::Release { .. })));
    let job = homes.job(&"g".into()).unwrap();
    assert!(job
        .tasks
        .iter()
        .all(|task| task.phase == TaskPhase::Waiting));
}

#[test]
fn a_gang_that_loses_a_task_ends_the_others_before_it_starts_again() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"g".into(), job(JobKind::Gang, 2), now);
    journal(&mut homes, effects, true, now);
    let effects = homes.hold_answered(&"g".into(), 1, Ok(held(true)), now);
    let sent = started(journal(&mut homes, effects, true, now));
    let no = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::NoRoom));

    homes.rack_answered(&[id("g-0", 1)], Ok(answered(id("g-0", 1), no)), now);
    let later = at(now.instant, Duration::from_secs(60));
    let effects = homes.tick(later);
    let asked = calls(journal(&mut homes, effects, true, later));

    assert_eq!(sent.len(), 2);
    assert!(asked
        .iter()
        .any(|(call, _)| matches!(call, Call::Stop { tasks, .. } if *tasks == [id("g-1", 1)])));
    assert!(!asked
        .iter()
        .any(|(call, _)| matches!(call, Call::Hold { .. })));
}

#[test]
fn a_failing_task_is_retried_within_its_bound() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    journal(&mut homes, effects, true, now);

    for attempt in 1..=settings().failures_max {
        let state = AttemptState::Ended(AttemptEnd::Failed);
        let event = [TaskAnswer {
            id: id("j-0", attempt),
            state,
        }];
        let effects = homes.report(2, &HOME.into(), &event, now);
        journal(&mut homes, effects, true, now);
        let later = at(now.instant, Duration::from_secs(u64::from(attempt) * 60));
        let effects = homes.tick(later);
        journal(&mut homes, effects, true, later);
    }

    let job = homes.job(&"j".into()).unwrap();
    assert_eq!(job.status().state, JobState::Failed);
    assert_eq!(job.tasks[0].attempt, settings().failures_max);
}

#[test]
fn finished_jobs_are_forgotten_after_the_retention() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    journal(&mut homes, effects, true, now);
    let state = AttemptState::Ended(AttemptEnd::Succeeded);
    let effects = homes.report(
        2,
        &HOME.into(),
        &[TaskAnswer {
            id: id("j-0", 1),
            state,
        }],
        now,
    );
    journal(&mut homes, effects, true, now);

    let later = at(now.instant, settings().retention);
    let effects = homes.tick(later);
    let forgets = effects.iter().filter_map(|effect| match effect {
        jackdawchute_jobs::effect::Effect::Append { entries, .. } => Some(entries),
        _ => None,
    });
    let keys: Vec<_> = forgets.flatten().map(|entry| entry.key.clone()).collect();

    assert!(homes.job(&"j".into()).is_none());
    assert_eq!(keys, ["job/j", "task/j/0"]);
}

#[test]
fn a_teams_quota_counts_what_other_home_owners_placed() {
    let now = now();
    let mut quota = settings();
    quota.limits.quotas.insert("ovens".into(), 40);
    let mut homes = with_settings(quota, 1, &[], now);
    let view = RackView {
        group: "rack/r1".into(),
        teams: [("ovens".into(), Resources::new(3_000, 3_072, 0))].into(),
        workers: Vec::new(),
    };
    let reply = Reply::Rack {
        answers: Vec::new(),
        held: false,
        view,
    };

    homes.rack_answered(&[], Ok(Ok(reply)), now);
    homes.tick(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 4), now);
    journal(&mut homes, effects, true, now);

    // A task takes ten units; the other owners' thirty leave room for one.
    let tasks = &homes.job(&"j".into()).unwrap().tasks;
    assert_eq!(tasks.iter().filter(|task| task.attempt > 0).count(), 1);
}
