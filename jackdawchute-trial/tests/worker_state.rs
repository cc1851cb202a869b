//! Starts, refusals, renewals and ends of tasks in the state of a worker.

use std::time::Duration;

use jackdawchute_ports::{Lease, StartOutcome, StartTask, TaskEnd};
use jackdawchute_trial::worker::WorkerState;
use jackdawchute_types::Resources;

fn worker() -> WorkerState {
    WorkerState::new("boot-1".into())
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn start(task: &str, attempt: u32, epoch: u64, until: Duration, command: &str) -> StartTask {
    StartTask {
        task: task.into(),
        attempt,
        resources: Resources::new(1_000, 1_024, 0),
        lease: lease(epoch, until),
        command: command.into(),
    }
}

fn lease(epoch: u64, until: Duration) -> Lease {
    Lease {
        epoch,
        boot: "boot-1".into(),
        until,
    }
}

fn end_of(worker: &mut WorkerState, now: Duration, task: &str) -> Option<TaskEnd> {
    let report = worker.report(now);
    let listed = report.tasks.into_iter().find(|listed| listed.task == task);
    listed.and_then(|listed| listed.end)
}

#[test]
fn a_start_whose_lease_has_lapsed_is_refused() {
    let mut worker = worker();

    let outcome = worker.start(seconds(5), start("j-0", 1, 1, seconds(5), "forever"));

    assert_eq!(outcome, StartOutcome::LeaseLapsed);
    assert!(worker.report(seconds(6)).tasks.is_empty());
}

#[test]
fn a_start_of_a_lower_epoch_is_refused() {
    let mut worker = worker();
    worker.start(seconds(1), start("j-0", 1, 7, seconds(9), "forever"));

    let outcome = worker.start(seconds(2), start("j-1", 1, 6, seconds(9), "forever"));

    assert_eq!(outcome, StartOutcome::LeaseLapsed);
    assert_eq!(worker.report(seconds(3)).tasks.len(), 1);
}

#[test]
fn a_repeated_start_runs_once() {
    let mut worker = worker();
    let first = start("j-0", 1, 1, seconds(9), "run_ms=200");
    worker.start(seconds(1), first.clone());

    let outcome = worker.start(seconds(2), first);

    assert_eq!(outcome, StartOutcome::Started);
    assert_eq!(worker.report(seconds(3)).tasks.len(), 1);
}

#[test]
fn a_stopped_attempt_is_refused_when_its_start_arrives_later() {
    let mut worker = worker();
    worker.stop(seconds(1), &"j-0".into(), 2);

    let late = worker.start(seconds(2), start("j-0", 2, 1, seconds(9), "forever"));
    let next = worker.start(seconds(2), start("j-0", 3, 1, seconds(9), "forever"));

    assert_eq!(late, StartOutcome::LeaseLapsed);
    assert_eq!(next, StartOutcome::Started);
}

#[test]
fn a_task_ends_when_its_lease_lapses_unless_renewed() {
    let mut worker = worker();
    worker.start(seconds(1), start("j-0", 1, 1, seconds(4), "forever"));
    worker.start(seconds(1), start("j-1", 1, 1, seconds(4), "forever"));
    let renewed = lease(1, seconds(9));

    worker.renew(seconds(3), &["j-0".into()], renewed);

    assert_eq!(end_of(&mut worker, seconds(5), "j-0"), None);
    assert_eq!(
        end_of(&mut worker, seconds(5), "j-1"),
        Some(TaskEnd::LeaseLapsed)
    );
}

#[test]
fn a_late_renewal_does_not_revive_a_lapsed_lease() {
    let mut worker = worker();
    worker.start(seconds(1), start("j-0", 1, 1, seconds(4), "forever"));
    let late = lease(1, seconds(9));

    worker.renew(seconds(5), &["j-0".into()], late);

    assert_eq!(
        end_of(&mut worker, seconds(6), "j-0"),
        Some(TaskEnd::LeaseLapsed)
    );
}

#[test]
fn a_renewal_of_a_lower_epoch_is_ignored() {
    let mut worker = worker();
    worker.start(seconds(1), start("j-0", 1, 2, seconds(4), "forever"));
    let outdated = lease(1, seconds(9));

    worker.renew(seconds(3), &["j-0".into()], outdated);

    assert_eq!(
        end_of(&mut worker, seconds(5), "j-0"),
        Some(TaskEnd::LeaseLapsed)
    );
}

#[test]
fn a_start_for_an_earlier_incarnation_is_refused() {
    let mut worker = WorkerState::new("boot-2".into());

    let outcome = worker.start(seconds(1), start("j-0", 1, 7, seconds(115), "forever"));

    assert_eq!(outcome, StartOutcome::LeaseLapsed);
    assert!(worker.report(seconds(2)).tasks.is_empty());
}

#[test]
fn a_renewal_for_an_earlier_incarnation_is_ignored() {
    let mut worker = worker();
    worker.start(seconds(1), start("j-0", 2, 1, seconds(4), "forever"));
    let of_earlier = Lease {
        boot: "boot-0".into(),
        ..lease(1, seconds(115))
    };

    worker.renew(seconds(3), &["j-0".into()], of_earlier);

    assert_eq!(
        end_of(&mut worker, seconds(5), "j-0"),
        Some(TaskEnd::LeaseLapsed)
    );
}

#[test]
fn a_lease_of_an_instance_that_names_no_incarnation_is_accepted() {
    let mut worker = worker();
    let order = StartTask {
        lease: serde_json::from_str(r#"{"epoch":1,"until_ms":4000}"#).unwrap(),
        ..start("j-0", 1, 1, seconds(4), "forever")
    };

    let outcome = worker.start(seconds(1), order);

    assert_eq!(outcome, StartOutcome::Started);
}

#[test]
fn tasks_end_as_their_command_specifies() {
    let mut worker = worker();
    worker.start(seconds(1), start("ok-0", 1, 1, seconds(9), "run_ms=500"));
    worker.start(seconds(1), start("bad-0", 1, 1, seconds(9), "fail"));

    let early = end_of(&mut worker, Duration::from_millis(1_400), "ok-0");

    assert_eq!(early, None);
    assert_eq!(
        end_of(&mut worker, seconds(2), "ok-0"),
        Some(TaskEnd::Succeeded)
    );
    assert_eq!(
        end_of(&mut worker, seconds(2), "bad-0"),
        Some(TaskEnd::Failed)
    );
}

#[test]
fn a_task_reports_the_use_that_its_command_specifies() {
    let mut worker = worker();
    worker.start(
        seconds(1),
        start("j-0", 1, 1, seconds(9), "forever used_memory_mib=9000"),
    );

    let report = worker.report(seconds(2));

    assert_eq!(report.tasks[0].used, Resources::new(1_000, 9_000, 0));
}
