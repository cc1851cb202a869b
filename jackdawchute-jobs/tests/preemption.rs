//! Preemption of batch tasks for urgent work.

mod fixtures;

use std::time::Duration;

use fixtures::{
    home::{at, finish_appends, homes_with_settings, now, owner_calls, requested_starts, HOME},
    job,
    rack::attempt_id,
    settings, CLASS,
};
use jackdawchute_admission::ClassLimits;
use jackdawchute_jobs::{
    effect::{Effect, Now},
    home::HomeGroups,
    AttemptEnd, AttemptState, Call, Settings, TaskAnswer, TaskAttempt,
};
use jackdawchute_types::{JobKind, JobSpec, Resources};

/// Fills both workers with running batch tasks, then submits one more task, of `class`.
fn full_fleet(budget: u32, class: &str, now: Now) -> HomeGroups {
    let mut settings = Settings {
        preemptions_per_minute_max: budget,
        ..settings()
    };
    let overnight = settings.limits.classes[CLASS].clone();
    let urgent = ClassLimits {
        priority: 0,
        ..overnight
    };
    settings.limits.classes.insert("counter".into(), urgent);
    let mut homes = homes_with_settings(settings, 1, &[], now);
    // Two such tasks fit a worker. Two cores of each worker stay free, four of the fleet: enough
    // for admission, but not for a worker.
    let large = Resources::new(3_000, 1_024, 0);
    let batch = JobSpec {
        resources: large,
        ..job(JobKind::Batch, 4)
    };
    let effects = homes.submit(1, &"b".into(), batch, now);
    finish_appends(&mut homes, effects, true, now);
    for index in 0..4 {
        let id = attempt_id(&format!("b-{index}"), 1);
        let running = TaskAnswer {
            id,
            state: AttemptState::Running,
        };
        homes.report(3, &HOME.into(), &[running], now);
    }
    let urgent = JobSpec {
        class: class.into(),
        resources: large,
        ..job(JobKind::Batch, 1)
    };
    let effects = homes.submit(2, &"u".into(), urgent, now);
    finish_appends(&mut homes, effects, true, now);
    homes
}

/// Returns the attempts that rack owners are asked to stop.
fn stops(effects: Vec<Effect>) -> Vec<TaskAttempt> {
    let calls = owner_calls(effects).into_iter();
    let stops = calls.filter_map(|(call, _)| match call {
        Call::Stop { tasks, .. } => Some(tasks),
        _ => None,
    });
    stops.flatten().collect()
}

#[test]
fn urgent_work_starts_in_place_of_the_fewest_batch_tasks() {
    let now = now();
    let mut homes = full_fleet(10, "counter", now);
    let later = at(now.instant, Duration::from_secs(1));

    let stopped = stops(homes.tick(later));
    let again = stops(homes.tick(at(now.instant, Duration::from_millis(1_001))));
    let state = AttemptState::Ended(AttemptEnd::Stopped);
    let event = [TaskAnswer {
        id: stopped[0].clone(),
        state,
    }];
    let effects = homes.report(3, &HOME.into(), &event, later);
    let sent = requested_starts(finish_appends(&mut homes, effects, true, later));

    assert_eq!((stopped.len(), again.len()), (1, 0));
    assert!(sent.iter().any(|(_, task)| *task == attempt_id("u-0", 1)));
}

#[test]
fn nothing_is_stopped_beyond_the_budget() {
    let now = now();
    let mut homes = full_fleet(0, "counter", now);

    let effects = homes.tick(at(now.instant, Duration::from_secs(1)));

    assert_eq!(stops(effects), []);
}

#[test]
fn nothing_is_stopped_for_work_of_the_same_class() {
    let now = now();
    let mut homes = full_fleet(10, CLASS, now);

    let effects = homes.tick(at(now.instant, Duration::from_secs(1)));

    assert_eq!(stops(effects), []);
}
