//! Capacity that tasks use until they are stopped, and work that waits for it.

use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest, EndReason, StepSpec, WorkerEntry};

use crate::fixtures::*;

/// A step of tasks that run until their job is cancelled.
fn lasting_step(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(tasks, cores)
    }
}

/// Two workers of 32 cores, each with one task of this step, which uses 14 of them and goes on well
/// beyond its declared time.
fn cell_with_task_on_each_worker(step: StepSpec) -> Cell {
    let mut cell = ready_cell(1, &[entry("w1", 32), entry("w2", 32)]);
    let one_per_worker = StepSpec {
        per_worker_max: Some(1),
        ..step
    };
    cell.accept("service", vec![one_per_worker], queue(1));
    for start in cell.take_starts() {
        cell.confirm_start(&start);
    }
    cell.tick(4_000);
    cell
}

/// Returns the jobs of the tasks that were started since the starts were last taken.
fn started_jobs(cell: &mut Cell) -> Vec<String> {
    let starts = cell.take_starts().into_iter();
    starts
        .map(|start| start.task.step.job.to_string())
        .collect()
}

/// review/7: small jobs were accepted and never started, beside a gang that could not start either.
#[test]
fn a_gang_reserves_no_capacity_that_lasting_tasks_use() {
    let mut cell = cell_with_task_on_each_worker(lasting_step(2, 14));
    cell.accept("gang", vec![gang(2, 20)], queue(0));

    cell.accept("small", vec![step(2, 1)], queue(1));

    assert_eq!(started_jobs(&mut cell), ["small", "small"]);
}

/// The same with tasks that were expected to end long ago.
#[test]
fn a_gang_reserves_no_capacity_of_tasks_that_are_long_overdue() {
    let mut cell = cell_with_task_on_each_worker(step(2, 14));
    cell.accept("gang", vec![gang(2, 20)], queue(0));

    cell.accept("small", vec![step(2, 1)], queue(1));

    assert_eq!(started_jobs(&mut cell), ["small", "small"]);
}

/// A gang that can start beside the lasting tasks is not kept from it by a stream of small jobs.
#[test]
fn a_gang_that_fits_beside_lasting_tasks_starts_although_small_jobs_keep_coming() {
    let mut cell = cell_with_task_on_each_worker(lasting_step(2, 14));
    cell.accept("filler", vec![step(4, 5)], queue(1));
    let mut running = cell.take_starts();
    for start in &running {
        cell.confirm_start(start);
    }
    cell.accept("gang", vec![gang(2, 18)], queue(0));

    let mut gang_started = false;
    let mut ends = 0;
    for index in 0..30 {
        cell.accept(&format!("small-{index:02}"), vec![step(4, 4)], queue(1));
        cell.tick(500);
        // All that has started half a second ago or earlier has succeeded.
        let ended_now = std::mem::take(&mut running);
        for worker in ["w1", "w2"] {
            let of_worker = ended_now.iter().filter(|start| start.worker == worker);
            let ended_runs = of_worker.map(|start| {
                ends += 1;
                ended(ends, start, EndReason::Succeeded)
            });
            let ended_runs = ended_runs.collect();
            let renewal = cell.latest_renewal_of(worker);
            cell.answer_renewal(&renewal, Vec::new(), ended_runs);
        }
        cell.tick(10);
        cell.commit();
        running = cell.take_starts();
        gang_started |= running.iter().any(|start| start.task.step.job == "gang");
        for start in &running {
            cell.confirm_start(start);
        }
    }

    assert!(gang_started);
}

/// A gang asked no advisor about idle workers, since those allowed to it would do if their lasting
/// tasks ended.
#[test]
fn a_gang_requests_advice_about_other_workers_than_those_that_lasting_tasks_fill() {
    let mut cell = ready_cell(1, &[entry("w1", 96)]);
    cell.accept("service", vec![lasting_step(96, 1)], queue(1));
    for start in cell.take_starts() {
        cell.confirm_start(&start);
    }
    cell.accept("gang", vec![gang(2, 4)], advised_queue(0));
    let request = cell.advice.remove(0);
    allow_all(&mut cell, &request);
    cell.scheduler.worker_listed(entry("w2", 8), cell.now);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w2");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(1);
    cell.commit();

    cell.tick(50);

    assert_eq!(cell.advice.remove(0).workers, ["w2"]);
}

fn allow_all(cell: &mut Cell, request: &AdviceRequest) {
    let allowed = request.workers.iter();
    let answer = AdviceAnswer {
        allowed: allowed
            .map(|worker| (worker.clone(), "ticket".into()))
            .collect(),
    };
    cell.scheduler
        .advice_answered(request, Some(answer), cell.now);
    cell.run_round();
}

/// Lasting tasks were left on a worker until it went, and were missing until their ends were known.
#[test]
fn a_lasting_task_is_stopped_before_its_worker_leaves() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("service", vec![lasting_step(1, 1)], queue(1));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.tick(4_000);

    let leaving = WorkerEntry {
        leaving_in: Some(ms(1_000)),
        ..entry(&start.worker, 4)
    };
    cell.scheduler.worker_listed(leaving, cell.now);
    cell.tick(10);

    let stopped: Vec<_> = cell
        .take_stops()
        .into_iter()
        .map(|stop| stop.task)
        .collect();
    assert_eq!(stopped, [start.task]);
}
