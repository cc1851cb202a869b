//! Calls to owners that were replaced or have ended: their successors, or other racks, are called
//! without a wait for the time of a resend.

mod fixtures;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fixtures::{
    home::{at, finish_appends, homes, now, racks_at, requested_starts, HOME},
    job,
    rack::{attempt_id, racks_with_task, report, running_task, WORKER_ID},
    settings,
};
use jackdawchute_jobs::{
    effect::{Effect, Now},
    home::HomeGroups,
    Call, TaskEvent,
};
use jackdawchute_ownership::{Directory, Owner};
use jackdawchute_types::{Epoch, JobKind, Refusal, RefusalReason};

/// Less than the time of a resend.
const SOON: Duration = Duration::from_millis(100);

/// Returns a home owner that has called the owner of a rack to start the only task of a job.
fn homes_with_start(now: Now) -> HomeGroups {
    let mut homes = homes(now);
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    let effects = finish_appends(&mut homes, effects, true, now);
    assert_eq!(requested_starts(effects).len(), 1);
    homes
}

fn another_owner() -> Refusal {
    Refusal::not_run(RefusalReason::OwnerUnavailable, "another owner")
}

#[test]
fn the_successor_of_a_rack_owner_is_called_at_once() {
    let now = now();
    let mut homes = homes_with_start(now);
    let id = attempt_id("j-0", 1);
    homes.rack_answered(1, std::slice::from_ref(&id), Ok(Err(another_owner())), now);

    homes.set_directory(racks_at(2));
    let starts = requested_starts(homes.tick(at(now.instant, SOON)));

    assert!(SOON < settings().resend);
    let started: Vec<_> = starts.into_iter().map(|(_, id)| id).collect();
    assert_eq!(started, [id]);
}

#[test]
fn a_rack_owner_that_is_not_replaced_is_called_again_after_the_time_of_a_resend() {
    let now = now();
    let mut homes = homes_with_start(now);

    homes.set_directory(racks_at(1));
    let soon = requested_starts(homes.tick(at(now.instant, SOON)));
    let later = requested_starts(homes.tick(at(now.instant, settings().resend)));

    assert_eq!(soon, []);
    assert_eq!(later.len(), 1);
}

/// Returns a directory in which an instance owns the home group at `epoch`.
fn home_at(epoch: Epoch) -> Arc<Directory> {
    let owner = Owner {
        incarnation: "h".into(),
        epoch,
        peer_address: "127.0.0.1:1".parse().unwrap(),
    };
    Arc::new(Directory {
        owners: [(HOME.into(), owner)].into(),
        ..Directory::default()
    })
}

/// Returns the events that are reported to home owners.
fn reported(effects: &[Effect]) -> Vec<TaskEvent> {
    let reports = effects.iter().filter_map(|effect| match effect {
        Effect::Call {
            call: Call::Report { events, .. },
            ..
        } => Some(events.clone()),
        _ => None,
    });
    reports.flatten().collect()
}

#[test]
fn the_successor_of_a_home_owner_is_told_at_once_what_was_not_acknowledged() {
    let now = Instant::now();
    let mut racks = racks_with_task("j-0", now);
    let running = report(101, "b1", vec![running_task("j-0", 1, 1_000)]);
    racks.reported(&WORKER_ID.into(), Some(running), now);
    let before = reported(&racks.report_events(now));

    racks.set_directory(Arc::default());
    racks.set_directory(home_at(2));
    let after = reported(&racks.report_events(now + SOON));

    assert_eq!(before.len(), 1);
    assert_eq!(after, before);
}

#[test]
fn a_home_owner_that_is_not_replaced_is_told_again_after_the_time_of_a_resend() {
    let now = Instant::now();
    let mut racks = racks_with_task("j-0", now);
    let running = report(101, "b1", vec![running_task("j-0", 1, 1_000)]);
    racks.reported(&WORKER_ID.into(), Some(running), now);
    racks.report_events(now);

    racks.set_directory(home_at(1));
    let soon = reported(&racks.report_events(now + SOON));
    let later = reported(&racks.report_events(now + settings().resend));

    assert_eq!(soon, []);
    assert_eq!(later.len(), 1);
}
