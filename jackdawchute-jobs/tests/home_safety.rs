//! Safety of the home owner under failures, one decision at a time.

mod fixtures;

use std::time::Duration;

use fixtures::{
    home::{
        answers, at, attempt_reply, claimed, finish_appends, hold_reply, homes,
        homes_with_settings, journaled_values, now, owner_calls, requested_starts, HOME,
    },
    job,
    rack::attempt_id,
    settings,
};
use jackdawchute_jobs::{
    home::TaskPhase, AttemptEnd, AttemptState, Call, NotStartedReason, RackView, Reply, TaskAnswer,
};
use jackdawchute_ownership::LeaseState;
use jackdawchute_types::{
    CallError, Execution, JobKind, JobSpec, JobState, RefusalReason, Resources,
};

/// The number of jobs with one task that are cancelled.
const CANCELLATIONS: usize = 10_000;

/// The error of a call whose answer was lost.
fn lost_answer() -> CallError {
    CallError::Unknown("call", "rack owner".into(), "lost".into())
}

/// A caller that got the status of a job before the job is journaled would lose it if this instance
/// failed in between.
#[test]
fn a_submission_is_answered_only_once_the_job_is_journaled() {
    let now = now();
    let mut homes = homes(now);

    let before = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    let early = answers(&before).len();
    let after = finish_appends(&mut homes, before, true, now);

    assert_eq!(early, 0);
    assert!(matches!(answers(&after)[..], [Ok(Reply::Job(_))]));
}

/// The caller may safely submit to the successor, since no append for the job was made.
#[test]
fn a_submission_not_sent_to_the_journal_is_refused_as_not_run_once_its_home_group_is_lost() {
    let now = now();
    let mut homes = homes(now);
    homes.set_lease_state(LeaseState::CutOff);
    homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);

    let effects = homes.lost(&HOME.into());

    let refusals: Vec<_> = answers(&effects)
        .into_iter()
        .map(|answer| answer.as_ref().unwrap_err())
        .map(|refusal| (refusal.reason, refusal.execution))
        .collect();
    assert_eq!(
        refusals,
        [(RefusalReason::OwnerUnavailable, Execution::NotRun)]
    );
}

/// An append under way may still succeed, and the successor then recovers the job or the
/// cancellation.
#[test]
fn every_caller_that_waits_for_the_journal_gets_an_unknown_outcome_once_the_home_group_is_lost() {
    let now = now();
    let mut homes = homes(now);
    let accepted = homes.submit(1, &"accepted".into(), job(JobKind::Batch, 1), now);
    finish_appends(&mut homes, accepted, true, now);
    homes.submit(2, &"pending".into(), job(JobKind::Batch, 1), now);
    homes.submit(3, &"pending".into(), job(JobKind::Batch, 1), now);
    homes.cancel(4, &"accepted".into());

    let effects = homes.lost(&HOME.into());

    let refusals = answers(&effects).into_iter();
    let outcomes: Vec<_> = refusals
        .map(|answer| answer.as_ref().unwrap_err().execution)
        .collect();
    assert_eq!(outcomes, [Execution::Unknown; 3]);
}

/// A successor finds the rack of a task only in the journal: a task started before its assignment
/// is journaled would be assigned a second time.
#[test]
fn no_rack_owner_is_called_before_the_assignment_is_journaled() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    let mut accepted = effects;
    let jackdawchute_jobs::effect::Effect::Append { .. } = accepted.remove(0) else {
        panic!()
    };

    let effects = homes.accepted(&"j".into(), Ok(()), now);
    let asked_before = homes.tick(now);
    let written = journaled_values(&effects);
    let sent = requested_starts(finish_appends(&mut homes, effects, true, now));

    assert_eq!(
        written.iter().filter(|(key, _)| key == "task/j/0").count(),
        1
    );
    assert_eq!(requested_starts(asked_before), []);
    assert_eq!(sent, [("rack/r1".into(), attempt_id("j-0", 1))]);
}

/// The task may run after a lost answer, so the same attempt must go to the same rack owner, which
/// starts it at most once.
#[test]
fn a_start_whose_answer_is_lost_is_repeated_at_the_same_rack() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    finish_appends(&mut homes, effects, true, now);

    homes.rack_answered(1, &[attempt_id("j-0", 1)], Err(lost_answer()), now);
    let later = at(now.instant, settings().resend);
    let again = homes.tick(later);
    let again = requested_starts(finish_appends(&mut homes, again, true, later));

    assert_eq!(again, [("rack/r1".into(), attempt_id("j-0", 1))]);
}

#[test]
fn a_task_that_was_not_started_gets_another_attempt() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    finish_appends(&mut homes, effects, true, now);
    let not_started = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::NoRoom));

    homes.rack_answered(
        1,
        &[attempt_id("j-0", 1)],
        Ok(attempt_reply(attempt_id("j-0", 1), not_started)),
        now,
    );
    let later = at(now.instant, Duration::from_secs(1));
    let effects = homes.tick(later);
    let again = requested_starts(finish_appends(&mut homes, effects, true, later));

    assert_eq!(again, [("rack/r1".into(), attempt_id("j-0", 2))]);
}

/// The predecessor may have called the rack owner before it failed, so the task must not be
/// assigned elsewhere.
#[test]
fn a_successor_calls_the_rack_that_a_task_was_assigned_to() {
    let now = now();
    let mut predecessor = homes(now);
    let effects = predecessor.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    let mut written = journaled_values(&effects);
    let effects = predecessor.accepted(&"j".into(), Ok(()), now);
    written.extend(journaled_values(&effects));

    let mut homes = claimed(2, &written, now);
    let effects = homes.tick(now);
    let asked = requested_starts(finish_appends(&mut homes, effects, true, now));

    assert_eq!(asked, [("rack/r1".into(), attempt_id("j-0", 1))]);
}

/// The predecessor's call may have started the attempt, so that a further one would run beside it.
#[test]
fn a_successors_first_call_that_is_not_delivered_starts_no_further_attempt() {
    let now = now();
    let mut predecessor = homes(now);
    let effects = predecessor.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    let mut written = journaled_values(&effects);
    let effects = predecessor.accepted(&"j".into(), Ok(()), now);
    written.extend(journaled_values(&effects));
    let mut homes = claimed(2, &written, now);
    let effects = homes.tick(now);
    finish_appends(&mut homes, effects, true, now);

    let not_delivered = CallError::NotDelivered("call", "rack owner".into(), "cut".into());
    homes.rack_answered(1, &[attempt_id("j-0", 1)], Err(not_delivered), now);
    let later = at(now.instant, settings().resend * 5);
    let effects = homes.tick(later);
    let asked = requested_starts(finish_appends(&mut homes, effects, true, later));

    assert_eq!(asked, [("rack/r1".into(), attempt_id("j-0", 1))]);
}

/// The rack owner forgets an acknowledged end; without a journal entry a successor would start the
/// task again.
#[test]
fn an_end_is_acknowledged_only_once_it_is_journaled() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    finish_appends(&mut homes, effects, true, now);
    let state = AttemptState::Ended(AttemptEnd::Succeeded);
    let event = [TaskAnswer {
        id: attempt_id("j-0", 1),
        state,
    }];

    let first = homes.report(2, &HOME.into(), &event, now);
    let first = finish_appends(&mut homes, first, false, now);
    let second = homes.report(3, &HOME.into(), &event, now);
    let written = journaled_values(&second);
    let second = finish_appends(&mut homes, second, true, now);

    assert!(matches!(answers(&first)[..], [Err(_)]));
    assert_eq!(written.len(), 1);
    assert!(matches!(answers(&second)[..], [Ok(Reply::Acknowledged)]));
}

/// A stop that was answered may be lost with the rack owner, whose successor finds only the intent.
#[test]
fn a_stop_is_repeated_until_the_task_ended() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Service, 1), now);
    finish_appends(&mut homes, effects, true, now);
    homes.rack_answered(
        1,
        &[attempt_id("j-0", 1)],
        Ok(attempt_reply(attempt_id("j-0", 1), AttemptState::Running)),
        now,
    );
    let effects = homes.cancel(2, &"j".into());
    finish_appends(&mut homes, effects, true, now);

    // The rack owner answers the stop, but its successor would not know of it.
    homes.rack_answered(
        1,
        &[attempt_id("j-0", 1)],
        Ok(attempt_reply(attempt_id("j-0", 1), AttemptState::Journaled)),
        now,
    );
    let effects = homes.tick(at(now.instant, settings().resend));
    let stops = owner_calls(effects)
        .into_iter()
        .filter(|(call, _)| matches!(call, Call::Stop { .. }));

    assert_eq!(stops.count(), 1);
}

#[test]
fn a_submission_waits_for_the_store_until_its_deadline_and_is_refused_as_not_run() {
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
    finish_appends(&mut homes, effects, true, now);

    homes.tick(at(now.instant, Duration::from_secs(6)));
    homes.set_lease_state(LeaseState::Confirmed);
    let later = at(now.instant, Duration::from_secs(7));
    let effects = homes.tick(later);
    let sent = requested_starts(finish_appends(&mut homes, effects, true, later));

    let status = homes.job(&"j".into()).unwrap().status();
    assert_eq!(status.state, JobState::Refused);
    assert_eq!(status.refused, Some(RefusalReason::StoreUnavailable));
    assert_eq!(sent, []);
}

#[test]
fn a_repeated_submission_gets_the_first_job_and_a_different_one_is_refused() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    finish_appends(&mut homes, effects, true, now);

    let same = homes.submit(2, &"j".into(), job(JobKind::Batch, 1), now);
    let other = homes.submit(3, &"j".into(), job(JobKind::Batch, 2), now);

    assert!(matches!(answers(&same)[..], [Ok(Reply::Job(_))]));
    let [Err(refusal)] = answers(&other)[..] else {
        panic!("{other:?}")
    };
    assert_eq!(refusal.reason, RefusalReason::KeyMismatch);
}

#[test]
fn a_job_that_never_fits_the_fleet_is_refused_at_once() {
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

/// An entry for each queued task would make a large cancellation flood the journal.
#[test]
fn many_cancellations_journal_one_entry_per_job_and_none_per_task() {
    let now = now();
    let mut homes = homes(now);
    let ids: Vec<_> = (0..CANCELLATIONS)
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
        written += journaled_values(&effects).len();
        finish_appends(&mut homes, effects, true, now);
    }
    let effects = homes.tick(at(now.instant, Duration::from_secs(1)));

    assert_eq!(written, CANCELLATIONS + 1);
    assert_eq!(journaled_values(&effects), []);
    assert_eq!(homes.queued().values().sum::<usize>(), 0);
}

#[test]
fn a_gang_that_is_refused_one_hold_releases_all_and_starts_nowhere() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"g".into(), job(JobKind::Gang, 12), now);
    let first = owner_calls(finish_appends(&mut homes, effects, true, now));

    let second = owner_calls(homes.hold_answered(&"g".into(), 1, Ok(hold_reply(true)), now));
    let released = owner_calls(homes.hold_answered(&"g".into(), 1, Ok(hold_reply(false)), now));

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

/// Tasks of two attempts of a gang must not run at the same time.
#[test]
fn a_gang_that_loses_a_task_stops_the_others_before_it_starts_again() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"g".into(), job(JobKind::Gang, 2), now);
    finish_appends(&mut homes, effects, true, now);
    let effects = homes.hold_answered(&"g".into(), 1, Ok(hold_reply(true)), now);
    let sent = requested_starts(finish_appends(&mut homes, effects, true, now));
    let not_started = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::NoRoom));

    homes.rack_answered(
        1,
        &[attempt_id("g-0", 1)],
        Ok(attempt_reply(attempt_id("g-0", 1), not_started)),
        now,
    );
    let later = at(now.instant, Duration::from_secs(60));
    let effects = homes.tick(later);
    let asked = owner_calls(finish_appends(&mut homes, effects, true, later));

    assert_eq!(sent.len(), 2);
    assert!(asked.iter().any(
        |(call, _)| matches!(call, Call::Stop { tasks, .. } if *tasks == [attempt_id("g-1", 1)])
    ));
    assert!(!asked
        .iter()
        .any(|(call, _)| matches!(call, Call::Hold { .. })));
}

#[test]
fn a_failing_task_is_retried_up_to_the_failure_limit() {
    let now = now();
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    finish_appends(&mut homes, effects, true, now);

    for attempt in 1..=settings().failures_max {
        let state = AttemptState::Ended(AttemptEnd::Failed);
        let event = [TaskAnswer {
            id: attempt_id("j-0", attempt),
            state,
        }];
        let effects = homes.report(2, &HOME.into(), &event, now);
        finish_appends(&mut homes, effects, true, now);
        let later = at(now.instant, Duration::from_secs(u64::from(attempt) * 60));
        let effects = homes.tick(later);
        finish_appends(&mut homes, effects, true, later);
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
    finish_appends(&mut homes, effects, true, now);
    let state = AttemptState::Ended(AttemptEnd::Succeeded);
    let effects = homes.report(
        2,
        &HOME.into(),
        &[TaskAnswer {
            id: attempt_id("j-0", 1),
            state,
        }],
        now,
    );
    finish_appends(&mut homes, effects, true, now);

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

/// Each home owner admits for itself, so without the rack views a team could use its quota once per
/// home owner.
#[test]
fn a_teams_quota_counts_what_other_home_owners_placed() {
    let now = now();
    let mut settings = settings();
    settings.limits.quotas.insert("ovens".into(), 40);
    let mut homes = homes_with_settings(settings, 1, &[], now);
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

    homes.rack_answered(1, &[], Ok(Ok(reply)), now);
    homes.tick(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 4), now);
    finish_appends(&mut homes, effects, true, now);

    // A task takes ten units of the quota of 40, and the jobs of other home owners use thirty.
    let tasks = &homes.job(&"j".into()).unwrap().tasks;
    assert_eq!(tasks.iter().filter(|task| task.attempt > 0).count(), 1);
}
