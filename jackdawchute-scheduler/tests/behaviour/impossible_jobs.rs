//! Jobs that no worker can run are refused at once.

use jackdawchute_scheduler::{StepSpec, Submission, WorkerEntry};

use crate::fixtures::*;

/// A worker with the label `label`.
fn labelled(worker: &str, label: &str) -> WorkerEntry {
    WorkerEntry {
        labels: vec![label.into(), "r1".into()],
        ..entry(worker, 4)
    }
}

/// A step of one task that needs a worker with `label`.
fn step_on(label: &str) -> StepSpec {
    StepSpec {
        required_label: Some(label.into()),
        ..step(1, 1)
    }
}

fn submit(cell: &mut Cell, job: &str, steps: Vec<StepSpec>) -> Submission {
    cell.scheduler
        .submit(&job.into(), graph(steps), queue(0), cell.now)
}

fn is_refused(submission: &Submission) -> bool {
    matches!(submission, Submission::Refused { .. })
}

#[test]
fn a_job_whose_label_no_worker_has_is_refused_until_one_joins() {
    let mut cell = ready_cell(1, &[labelled("w1", "b")]);

    let before = submit(&mut cell, "job", vec![step(1, 1), step_on("a")]);
    cell.scheduler.worker_listed(labelled("w2", "a"), cell.now);
    cell.tick(50);
    let after = submit(&mut cell, "job", vec![step(1, 1), step_on("a")]);

    assert!(is_refused(&before), "{before:?}");
    assert_eq!(after, Submission::Pending);
}

#[test]
fn a_job_whose_label_some_workers_have_runs_on_these() {
    let mut cell = ready_cell(1, &[labelled("w1", "a"), labelled("w2", "b")]);

    cell.accept("job", vec![step_on("b")], queue(0));

    let starts = cell.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, "w2");
}

#[test]
fn a_task_larger_than_every_worker_is_refused() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);

    let larger = submit(&mut cell, "larger", vec![step(1, 5)]);
    let as_large = submit(&mut cell, "as-large", vec![step(3, 4)]);

    assert!(is_refused(&larger), "{larger:?}");
    assert_eq!(as_large, Submission::Pending);
}

#[test]
fn a_gang_larger_than_the_cell_is_refused() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    let one_per_worker = StepSpec {
        per_worker_max: Some(1),
        ..gang(3, 1)
    };

    let larger = submit(&mut cell, "larger", vec![gang(5, 2)]);
    let as_large = submit(&mut cell, "as-large", vec![gang(4, 2)]);
    let one_per_worker = submit(&mut cell, "one-per-worker", vec![one_per_worker]);

    assert!(is_refused(&larger), "{larger:?}");
    assert_eq!(as_large, Submission::Pending);
    assert!(is_refused(&one_per_worker), "{one_per_worker:?}");
}

/// A new leader accepts jobs before it has read the platform's list.
#[test]
fn a_job_is_accepted_while_no_worker_of_its_service_is_known() {
    let mut cell = ready_cell(1, &[]);

    let submission = submit(&mut cell, "job", vec![step_on("a")]);

    assert_eq!(submission, Submission::Pending);
}

/// Work that no worker can do kept short jobs from being accepted, beside idle workers.
#[test]
fn work_that_no_worker_can_do_delays_no_admission() {
    for long_running in [true, false] {
        let mut cell = ready_cell(1, &[labelled("a1", "a"), labelled("b1", "b")]);
        let many_on_b = StepSpec {
            tasks: 200,
            long_running,
            ..step_on("b")
        };
        cell.accept("on-b", vec![many_on_b], queue(0));
        cell.scheduler
            .workers_listed(vec![labelled("a1", "a")], cell.now);
        cell.tick(50);

        let submission = submit(&mut cell, "job", vec![step(1, 1)]);

        assert_eq!(submission, Submission::Pending, "{long_running}");
    }
}

/// Lasting tasks that wait for room have no work that could be done first.
#[test]
fn lasting_tasks_that_wait_delay_no_admission() {
    let mut cell = ready_cell(1, &[labelled("a1", "a"), labelled("b1", "b")]);
    let many_on_b = StepSpec {
        tasks: 200,
        long_running: true,
        ..step_on("b")
    };
    cell.accept("on-b", vec![many_on_b], queue(0));
    cell.tick(50);

    let submission = submit(&mut cell, "job", vec![step(1, 1)]);

    assert_eq!(submission, Submission::Pending);
}
