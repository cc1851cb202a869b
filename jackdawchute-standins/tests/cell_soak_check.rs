//! Which records and responses the soak of `cell` reports as violations.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{EndReason, JobGraph, StepName, StepSpec};
use jackdawchute_standins::{
    cell::{Overload, WorkerRecord},
    cell_soak::{find_overloads, find_violations, SentJob},
};
use jackdawchute_types::{JobId, Resources};

const WORKER_MILLICORES: u64 = 2_000;

fn step(after: Vec<u32>) -> StepSpec {
    StepSpec {
        tasks: 1,
        resources: Resources::new(1_000, 64, 0),
        after,
        ..StepSpec::default()
    }
}

/// An accepted job of two steps, one after the other.
fn accepted(now: Instant) -> SentJob {
    SentJob {
        graph: JobGraph {
            steps: vec![step(Vec::new()), step(vec![0])],
            ..JobGraph::default()
        },
        sent_at: Some(now),
        accepted_at: Some(now),
        ..SentJob::default()
    }
}

fn jobs(sent: SentJob) -> BTreeMap<JobId, SentJob> {
    BTreeMap::from([("job".into(), sent)])
}

/// A run of a step's only task that succeeded; times are in milliseconds since `now`.
fn succeeded(now: Instant, step: u32, worker: &str, (from, to): (u64, u64)) -> WorkerRecord {
    let at = |ms| now + Duration::from_millis(ms);
    let step = StepName {
        job: "job".into(),
        occurrence: 0,
        step,
    };
    WorkerRecord {
        worker: worker.into(),
        task: step.task(0),
        run: 1,
        began_at: at(from),
        ended_at: Some(at(to)),
        reason: Some(EndReason::Succeeded),
        saved: true,
        late: false,
    }
}

fn completed(now: Instant) -> SentJob {
    SentJob {
        completed_at: Some(now + Duration::from_millis(900)),
        ..accepted(now)
    }
}

#[test]
fn a_job_that_ran_in_order_is_no_violation() {
    let now = Instant::now();
    let records = [
        succeeded(now, 0, "w1", (0, 300)),
        succeeded(now, 1, "w2", (300, 600)),
    ];

    let violations = find_violations(&jobs(completed(now)), &records, WORKER_MILLICORES);

    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn a_task_in_two_places_is_a_violation() {
    let now = Instant::now();
    let records = [
        succeeded(now, 0, "w1", (0, 300)),
        succeeded(now, 0, "w2", (200, 500)),
        succeeded(now, 1, "w2", (500, 800)),
    ];

    let violations = find_violations(&jobs(completed(now)), &records, WORKER_MILLICORES);

    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].contains("while run 1 was running on w1"));
}

#[test]
fn a_start_after_a_success_that_was_saved_is_a_violation() {
    let now = Instant::now();
    let again = succeeded(now, 0, "w2", (400, 700));
    let saved = [succeeded(now, 0, "w1", (0, 300)), again.clone()];
    let unsaved = [
        WorkerRecord {
            saved: false,
            ..saved[0].clone()
        },
        again,
    ];
    let jobs = jobs(SentJob {
        cancel_sent: true,
        ..accepted(now)
    });

    assert_eq!(find_violations(&jobs, &saved, WORKER_MILLICORES).len(), 1);
    assert_eq!(find_violations(&jobs, &unsaved, WORKER_MILLICORES).len(), 0);
}

#[test]
fn a_late_order_that_repeats_a_saved_run_is_no_violation() {
    let now = Instant::now();
    let late = WorkerRecord {
        late: true,
        ..succeeded(now, 0, "w1", (400, 700))
    };
    let records = [
        succeeded(now, 0, "w1", (0, 300)),
        late,
        succeeded(now, 1, "w2", (300, 600)),
    ];

    let violations = find_violations(&jobs(completed(now)), &records, WORKER_MILLICORES);

    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn any_other_start_after_a_saved_run_is_a_violation() {
    let now = Instant::now();
    let first = succeeded(now, 0, "w1", (0, 300));
    let repeated = succeeded(now, 0, "w1", (400, 700));
    let elsewhere = WorkerRecord {
        late: true,
        ..succeeded(now, 0, "w2", (400, 700))
    };
    let of_another_run = WorkerRecord {
        late: true,
        run: 2,
        ..repeated.clone()
    };
    let jobs = jobs(SentJob {
        cancel_sent: true,
        ..accepted(now)
    });

    for later in [repeated, elsewhere, of_another_run] {
        let violations = find_violations(&jobs, &[first.clone(), later], WORKER_MILLICORES);
        assert_eq!(violations.len(), 1, "{violations:?}");
        assert!(violations[0].contains("began after run 1 had succeeded"));
    }
}

#[test]
fn a_late_start_beside_a_run_elsewhere_is_a_violation() {
    let now = Instant::now();
    let crashed = WorkerRecord {
        reason: None,
        saved: false,
        ..succeeded(now, 0, "w1", (0, 100))
    };
    let elsewhere = WorkerRecord {
        run: 2,
        ..succeeded(now, 0, "w2", (300, 700))
    };
    let late = WorkerRecord {
        late: true,
        saved: false,
        ..succeeded(now, 0, "w1", (600, 900))
    };
    let jobs = jobs(SentJob {
        cancel_sent: true,
        ..accepted(now)
    });

    let violations = find_violations(&jobs, &[crashed, elsewhere, late], WORKER_MILLICORES);

    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].contains("run 1 late on w1 began while run 2 was running on w2"));
}

#[test]
fn a_late_start_after_a_cancellation_is_no_violation() {
    let now = Instant::now();
    let late = WorkerRecord {
        late: true,
        ..succeeded(now, 0, "w1", (5_000, 5_300))
    };
    let cancelled = SentJob {
        cancel_sent: true,
        cancelled_at: Some(now),
        ..accepted(now)
    };

    let violations = find_violations(&jobs(cancelled), &[late], WORKER_MILLICORES);

    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn a_start_above_the_capacity_by_the_workers_own_count_is_a_violation() {
    let now = Instant::now();
    let overload = Overload {
        worker: "w1".into(),
        task: succeeded(now, 0, "w1", (0, 300)).task,
        began_at: now,
        used_millicores: 2_500,
        capacity_millicores: WORKER_MILLICORES,
        late: true,
    };

    let violations = find_overloads(&[overload]);

    let expected =
        "job job step 0 task 0 began on w1 late, which then counted 2500 millicores of 2000";
    assert_eq!(violations, [expected]);
}

#[test]
fn a_start_before_the_preceding_step_succeeded_is_a_violation() {
    let now = Instant::now();
    let records = [
        succeeded(now, 0, "w1", (0, 300)),
        succeeded(now, 1, "w2", (299, 600)),
    ];

    let violations = find_violations(&jobs(completed(now)), &records, WORKER_MILLICORES);

    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].contains("before step 0 had succeeded"));
}

#[test]
fn a_start_of_an_unsubmitted_refused_or_cancelled_job_is_a_violation() {
    let now = Instant::now();
    let late = succeeded(now, 0, "w1", (5_000, 5_300));
    let refused = SentJob {
        refused: true,
        accepted_at: None,
        ..accepted(now)
    };
    let cancelled = SentJob {
        cancel_sent: true,
        cancelled_at: Some(now),
        ..accepted(now)
    };

    for sent in [BTreeMap::new(), jobs(refused), jobs(cancelled)] {
        let violations = find_violations(&sent, std::slice::from_ref(&late), WORKER_MILLICORES);
        assert_eq!(violations.len(), 1, "{violations:?}");
    }
}

#[test]
fn an_accepted_job_that_never_completes_is_a_violation() {
    let now = Instant::now();

    let violations = find_violations(&jobs(accepted(now)), &[], WORKER_MILLICORES);

    assert_eq!(violations, ["job job was accepted and is not completed"]);
}

#[test]
fn a_job_that_is_reported_as_completed_too_early_is_a_violation() {
    let now = Instant::now();
    let records = [
        succeeded(now, 0, "w1", (0, 300)),
        succeeded(now, 1, "w2", (800, 1_100)),
    ];

    let violations = find_violations(&jobs(completed(now)), &records, WORKER_MILLICORES);

    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].contains("0 of 1 tasks of step 1"));
}

#[test]
fn tasks_beyond_the_capacity_of_a_worker_are_a_violation() {
    let now = Instant::now();
    let mut sent = completed(now);
    sent.graph.steps[0].resources = Resources::new(1_500, 64, 0);
    sent.graph.steps[1].resources = Resources::new(1_500, 64, 0);
    sent.graph.steps[1].after.clear();
    let records = [
        succeeded(now, 0, "w1", (0, 300)),
        succeeded(now, 1, "w1", (100, 400)),
    ];

    let violations = find_violations(&jobs(sent), &records, WORKER_MILLICORES);

    assert_eq!(violations, ["w1 ran 3000 millicores of 2000"]);
}
