//! Workers of unlike speed: how they are told apart, and which work they get.

use std::time::Duration;

use jackdawchute_scheduler::{EndReason, QueuePolicy, StartOrder, StepSpec, WorkerEntry};

use crate::fixtures::*;

/// The slow one of the workers, which all have eight cores.
const SLOW: &str = "w3";
const WORKERS: [&str; 6] = ["w1", "w2", "w3", "w4", "w5", "w6"];

fn entries() -> Vec<WorkerEntry> {
    WORKERS.map(|worker| entry(worker, 8)).to_vec()
}

/// A queue whose jobs may take half as long again and the target.
fn tight_queue(priority: u32) -> QueuePolicy {
    QueuePolicy {
        stretch: 1.5,
        target: ms(200),
        ..queue(priority)
    }
}

/// A queue whose jobs may take ten times as long as they run.
fn patient_queue(priority: u32) -> QueuePolicy {
    QueuePolicy {
        stretch: 10.0,
        ..queue(priority)
    }
}

/// Runs a job with a task on each worker; all take `run_time`, on slow workers three times that.
fn run_job(
    cell: &mut Cell,
    job: &str,
    run_time: Duration,
    workers: u32,
    is_slow: fn(&str) -> bool,
) {
    let one_each = StepSpec {
        per_worker_max: Some(1),
        ..step(workers, 1)
    };
    cell.accept(job, vec![one_each], tight_queue(0));
    let starts = cell.take_starts();
    starts.iter().for_each(|start| cell.confirm_start(start));
    let (slow, fast): (Vec<_>, Vec<_>) = starts.into_iter().partition(|it| is_slow(&it.worker));
    for (after, ended_now) in [(run_time, fast), (run_time * 2, slow)] {
        cell.tick(after.as_millis() as u64);
        end_runs(cell, &ended_now);
    }
}

/// Reports that the runs of orders have succeeded, each the only one of its worker.
fn end_runs(cell: &mut Cell, starts: &[StartOrder]) {
    for start in starts {
        let renewal = cell.latest_renewal_of(&start.worker);
        let end = ended(renewal.ends_recorded + 1, start, EndReason::Succeeded);
        cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    }
    cell.commit();
    cell.tick(1_300);
    for start in starts {
        let renewal = cell.latest_renewal_of(&start.worker);
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }
}

/// A cell of these workers that has run enough tasks to know which are slow; each job is declared
/// wrong by a factor of its own.
fn cell_that_knows(workers: &[WorkerEntry], is_slow: fn(&str) -> bool) -> Cell {
    let mut cell = ready_cell(1, workers);
    let count = workers.len() as u32;
    let run_times_ms = [1_000, 400, 2_500, 700, 1_800, 1_200];
    for (index, run_time_ms) in run_times_ms.into_iter().enumerate() {
        let job = format!("job-{index}");
        run_job(&mut cell, &job, ms(run_time_ms), count, is_slow);
    }
    cell
}

fn cell_with_known_speeds() -> Cell {
    cell_that_knows(&entries(), |worker| worker == SLOW)
}

/// Submits a job and returns the workers that its tasks start on.
fn workers_of(cell: &mut Cell, job: &str, step: StepSpec, queue: QueuePolicy) -> Vec<String> {
    cell.take_starts();
    cell.accept(job, vec![step], queue);
    let starts = cell.take_starts().into_iter();
    starts.map(|start| start.worker.to_string()).collect()
}

#[test]
fn urgent_work_avoids_a_slow_worker_although_it_is_the_fullest() {
    let mut cell = cell_with_known_speeds();
    workers_of(&mut cell, "patient", step(4, 1), patient_queue(1));

    let workers = workers_of(&mut cell, "urgent", step(40, 1), tight_queue(0));

    assert_eq!(workers.len(), 40);
    assert!(!workers.iter().any(|worker| worker == SLOW));
}

#[test]
fn patient_work_goes_to_a_slow_worker_and_leaves_the_others_free() {
    let mut cell = cell_with_known_speeds();

    let workers = workers_of(&mut cell, "patient", step(8, 1), patient_queue(1));

    assert_eq!(workers, [SLOW; 8]);
}

#[test]
fn no_urgent_task_waits_while_only_a_slow_worker_is_free() {
    let mut cell = cell_with_known_speeds();
    workers_of(&mut cell, "filler", step(40, 1), tight_queue(0));

    let workers = workers_of(&mut cell, "urgent", step(2, 1), tight_queue(0));

    assert_eq!(workers, [SLOW; 2]);
}

#[test]
fn work_that_lasts_goes_to_a_slow_worker() {
    let mut cell = cell_with_known_speeds();
    let lasting = StepSpec {
        long_running: true,
        ..step(8, 1)
    };

    let workers = workers_of(&mut cell, "lasting", lasting, tight_queue(0));

    assert_eq!(workers, [SLOW; 8]);
}

#[test]
fn work_that_is_of_hardly_any_use_any_more_goes_to_a_slow_worker() {
    let mut cell = cell_with_known_speeds();
    let job = graph(vec![step(8, 1)]);
    cell.take_starts();
    cell.scheduler
        .submit(&"too late".into(), job, tight_queue(0), cell.now);
    cell.tick(8_000);
    for worker in WORKERS {
        let renewal = cell.latest_renewal_of(worker);
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }

    cell.commit();
    cell.run_round();

    let starts = cell.take_starts().into_iter();
    let workers: Vec<_> = starts.map(|start| start.worker).collect();
    assert_eq!(workers, [SLOW; 8]);
}

#[test]
fn a_gang_avoids_a_slow_worker_if_others_have_room() {
    let mut cell = cell_with_known_speeds();
    let one_each = StepSpec {
        per_worker_max: Some(1),
        ..gang(5, 2)
    };

    let workers = workers_of(&mut cell, "gang", one_each, patient_queue(0));

    assert_eq!(workers.len(), 5);
    assert!(!workers.iter().any(|worker| worker == SLOW));
}

#[test]
fn a_worker_that_has_restarted_counts_as_slow_no_longer() {
    let mut cell = cell_with_known_speeds();
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry(SLOW, 8)
    };
    cell.scheduler.worker_listed(restarted, cell.now);
    for _ in 0..3 {
        cell.tick(300);
        let renewal = cell.latest_renewal_of(SLOW);
        cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
    }
    cell.tick(10);
    cell.commit();

    let workers = workers_of(&mut cell, "urgent", step(48, 1), tight_queue(0));

    let on_restarted = workers.iter().filter(|worker| *worker == SLOW).count();
    assert_eq!((workers.len(), on_restarted), (48, 8));
    let last_started = workers.last().map(String::as_str);
    assert_ne!(last_started, Some(SLOW), "{workers:?}");
}

#[test]
fn equal_workers_are_filled_one_after_the_other_for_patient_and_urgent_work() {
    let mut cell = cell_that_knows(&entries(), |_| false);
    let patient = workers_of(&mut cell, "patient", step(4, 1), patient_queue(1));

    let urgent = workers_of(&mut cell, "urgent", step(4, 1), tight_queue(0));

    assert_eq!(patient, urgent);
}

#[test]
fn a_successor_learns_speeds_from_the_progress_of_the_runs_that_it_finds() {
    let mut former = ready_cell(1, &entries());
    let one_each = StepSpec {
        per_worker_max: Some(6),
        estimate: ms(10_000),
        ..step(36, 1)
    };
    former.accept("job", vec![one_each], tight_queue(0));
    let starts = former.take_starts();
    let rows = former.commit();
    let mut saved = former.saved.clone();
    saved.extend(rows);
    let mut cell = successor(2, &saved, &[]);
    cell.scheduler.workers_listed(entries(), cell.now);
    for second in 1..9 {
        cell.tick(1_000);
        for worker in WORKERS {
            let percent = if worker == SLOW {
                second * 6
            } else {
                second * 18
            };
            let of_worker = starts.iter().filter(|start| start.worker == worker);
            let reports = of_worker.map(|start| jackdawchute_scheduler::RunningTask {
                percent: percent.min(99),
                ..running(start)
            });
            let reports = reports.collect();
            let renewal = cell.latest_renewal_of(worker);
            cell.answer_renewal(&renewal, reports, Vec::new());
        }
        cell.commit();
    }

    let workers = workers_of(&mut cell, "urgent", step(10, 1), tight_queue(0));

    assert_eq!(workers.len(), 10);
    assert!(!workers.iter().any(|worker| worker == SLOW));
}

/// Workers of which every third is slow, more than a request names.
fn many_entries() -> Vec<WorkerEntry> {
    let name = |index| if index % 3 == 2 { "slow" } else { "fast" };
    (0..48)
        .map(|index| entry(&format!("{}-{index}", name(index)), 8))
        .collect()
}

/// A queue that needs advice and whose jobs may hardly take longer than they run.
fn tight_advised_queue() -> QueuePolicy {
    QueuePolicy {
        stretch: 1.2,
        target: ms(200),
        ..advised_queue(0)
    }
}

#[test]
fn advice_for_urgent_work_is_requested_about_fast_workers() {
    let mut cell = cell_that_knows(&many_entries(), |worker| worker.starts_with("slow"));

    cell.accept("urgent", vec![step(2, 1)], tight_advised_queue());

    let named = &cell.advice[0].workers;
    assert!(!named.is_empty());
    assert!(
        named.iter().all(|worker| worker.starts_with("fast")),
        "{named:?}"
    );
}

#[test]
fn advice_is_requested_about_free_slow_workers_while_the_fast_ones_are_full() {
    let mut cell = cell_that_knows(&many_entries(), |worker| worker.starts_with("slow"));
    workers_of(&mut cell, "filler", step(32 * 8, 1), tight_queue(0));

    cell.accept("urgent", vec![step(2, 1)], tight_advised_queue());

    let named = cell.advice[0].workers.iter();
    let slow = named.filter(|worker| worker.starts_with("slow")).count();
    assert_eq!(slow, 16, "{:?}", cell.advice[0].workers);
}

#[test]
fn advice_is_requested_about_free_far_workers_while_the_near_ones_are_full() {
    let mut workers = many_entries();
    for far in &mut workers[..24] {
        far.rack = Some("r2".into());
        far.labels = vec!["r2".into()];
    }
    let mut cell = ready_cell(1, &workers);
    let near_only = StepSpec {
        required_label: Some("r1".into()),
        ..step(24 * 8, 1)
    };
    workers_of(&mut cell, "filler", near_only, tight_queue(0));
    let near_data = StepSpec {
        data_rack: Some("r1".into()),
        ..step(2, 1)
    };

    cell.accept("urgent", vec![near_data], tight_advised_queue());

    let named = &cell.advice[0].workers;
    let is_far = |named: &_| workers[..24].iter().any(|far| far.worker == *named);
    assert!(!named.is_empty() && named.iter().all(is_far), "{named:?}");
}

/// A worker of eight cores in rack r1, of which a task uses four for another 1.25 s, and for which
/// an urgent gang waits that needs all of them.
fn cell_with_reservation(others: &[WorkerEntry]) -> Cell {
    let workers: Vec<_> = [entry("w1", 8)].iter().chain(others).cloned().collect();
    let mut cell = ready_cell(1, &workers);
    let filler = StepSpec {
        estimate: ms(1_250),
        ..step(1, 4)
    };
    assert_eq!(workers_of(&mut cell, "filler", filler, queue(0)), ["w1"]);
    let waiting = workers_of(&mut cell, "reserving", gang(2, 4), queue(0));
    assert!(waiting.is_empty());
    cell
}

/// A worker that is too small for the gang that waits, on a rack.
fn small(rack: &str) -> WorkerEntry {
    WorkerEntry {
        rack: Some(rack.into()),
        ..entry("w2", 2)
    }
}

#[test]
fn a_ticket_for_a_place_that_is_reserved_before_a_task_ends_there_keeps_no_advice_back() {
    let mut cell = cell_with_reservation(&[]);
    let far_from_data = StepSpec {
        data_rack: Some("r2".into()),
        ..step(1, 1)
    };
    cell.accept("advised", vec![far_from_data], advised_queue(1));
    let request = cell.advice.remove(0);
    let allowed = request.workers.iter().cloned();
    let answer = jackdawchute_scheduler::AdviceAnswer {
        allowed: allowed.map(|worker| (worker, "ticket".into())).collect(),
    };
    cell.scheduler
        .advice_answered(&request, Some(answer), cell.now);
    cell.run_round();

    cell.scheduler.worker_listed(small("r1"), cell.now);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w2");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(1);
    cell.commit();
    cell.tick(1);

    assert_eq!(request.workers, ["w1"]);
    assert!(cell.take_starts().is_empty());
    let named: Vec<_> = cell.advice.iter().flat_map(|it| &it.workers).collect();
    assert_eq!(named, ["w2"]);
}

#[test]
fn a_gang_holds_no_place_beyond_a_reservation_until_its_slowest_task_ends() {
    let mut cell = cell_with_reservation(&[small("r2")]);
    let near_data = StepSpec {
        data_rack: Some("r1".into()),
        per_worker_max: Some(1),
        ..gang(2, 1)
    };

    let workers = workers_of(&mut cell, "gang", near_data, queue(1));

    assert!(workers.is_empty(), "{workers:?}");
}
