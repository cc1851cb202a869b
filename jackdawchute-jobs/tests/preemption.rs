//! Batch tasks that make room for urgent work.

mod fixtures;

use std::time::Duration;

use fixtures::{
    home::{at, calls, journal, now, started, with_settings, HOME},
    job,
    rack::id,
    settings, CLASS,
};
use jackdawchute_admission::ClassLimits;
use jackdawchute_jobs::{
    effect::{Effect, Now},
    home::HomeGroups,
    AttemptEnd, AttemptState, Call, Settings, TaskAnswer, TaskAttempt,
};
use jackdawchute_types::{JobKind, JobSpec, Resources};

/// Both workers are full of batch tasks; one more of a class was submitted.
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
    let mut homes = with_settings(settings, 1, &[], now);
    // Two fit each worker; two cores of each stay free, four of the fleet.
    let large = Resources::new(3_000, 1_024, 0);
    let batch = JobSpec {
        resources: large,
        ..job(JobKind::Batch, 4)
    };
    let effects = homes.submit(1, &"b".into(), batch, now);
    journal(&mut homes, effects, true, now);
    for index in 0..4 {
        let id = id(&format!("b-{index}"), 1);
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
    journal(&mut homes, effects, true, now);
    homes
}

fn stops(effects: Vec<Effect>) -> Vec<TaskAttempt> {
    let calls = calls(effects).into_iter();
    let stops = calls.filter_map(|(call, _)| match call {
        Call::Stop { tasks, .. } => Some(tasks),
        _ => None,
    });
    stops.flatten().collect()
}

#[test]
fn urgent_work_gets_the_room_of_the_fewest_batch_tasks() {
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
    let sent = started(journal(&mut homes, effects, true, later));

    assert_eq!((stopped.len(), again.len()), (1, 0));
    assert!(sent.iter().any(|(_, task)| *task == id("u-0", 1)));
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
