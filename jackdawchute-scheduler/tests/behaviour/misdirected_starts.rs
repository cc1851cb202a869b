//! Orders to start that reach another worker, which has begun at the address of one that is gone.

use jackdawchute_scheduler::{StartAnswer, StartOrder};

use crate::fixtures::*;

/// How long an accepted job may stand still beside room, by the users' rules.
const STANDSTILL_MAX_MS: u64 = 3_000;

/// A task that is ordered to start on `w1`, which has room for it as the first, and `w2`, which is idle.
fn task_ordered_beside_an_idle_worker() -> (Cell, StartOrder) {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.scheduler.worker_listed(entry("w2", 4), cell.now);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w2");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(1);
    cell.commit();
    (cell, start)
}

/// Lets time pass, in which only `w2` answers and another worker answers orders to `w1`; returns after
/// how many milliseconds the task is ordered to start on `w2`.
fn started_on_the_idle_worker_after_ms(cell: &mut Cell, for_ms: u64) -> Option<u64> {
    (0..for_ms).step_by(50).find(|_| {
        for renewal in std::mem::take(&mut cell.renewals) {
            if renewal.worker == "w1" {
                cell.scheduler.renew_failed(&renewal, cell.now, cell.now);
            } else {
                cell.answer_renewal(&renewal, Vec::new(), Vec::new());
            }
        }
        cell.tick(50);
        let (to_first, to_idle): (Vec<_>, Vec<_>) = cell
            .take_starts()
            .into_iter()
            .partition(|start| start.worker == "w1");
        for start in to_first {
            cell.answer_start(&start, StartAnswer::OtherIncarnation);
        }
        for stop in cell.take_stops() {
            let (worker, task) = (&stop.worker, &stop.task);
            cell.scheduler
                .stop_answered(worker, task, stop.run, None, cell.now);
        }
        !to_idle.is_empty()
    })
}

#[test]
fn a_task_whose_start_another_worker_refused_starts_elsewhere_at_once() {
    let (mut cell, start) = task_ordered_beside_an_idle_worker();

    cell.answer_start(&start, StartAnswer::OtherIncarnation);
    let after_ms = started_on_the_idle_worker_after_ms(&mut cell, 12_000);

    let after_ms = after_ms.expect("the task starts on the idle worker");
    assert!(after_ms < STANDSTILL_MAX_MS, "{after_ms} ms");
}

/// The first copy of the order may have begun the task before its worker ended, or may begin it late.
#[test]
fn a_task_whose_first_start_got_no_answer_waits_for_its_lease() {
    let (mut cell, start) = task_ordered_beside_an_idle_worker();

    cell.answer_start(&start, StartAnswer::Unknown);
    let after_ms = started_on_the_idle_worker_after_ms(&mut cell, STANDSTILL_MAX_MS);

    assert_eq!(after_ms, None);
}
