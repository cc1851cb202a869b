//! Waits for places near a task's data, or for one rack for a gang.

use jackdawchute_scheduler::{EndReason, Settings, StartOrder, StepSpec, WorkerEntry};

use crate::fixtures::{
    cell_with_settings, ended, entry, gang, make_ready, ms, queue, running, step, Cell,
};

/// A worker on a rack.
fn on_rack(worker: &str, rack: &str) -> WorkerEntry {
    WorkerEntry {
        rack: Some(rack.into()),
        labels: vec!["a".into(), rack.into()],
        ..entry(worker, 4)
    }
}

/// A step of one task of so many milliseconds whose data are on rack r1.
fn near_step(estimate_ms: u64) -> StepSpec {
    StepSpec {
        estimate: ms(estimate_ms),
        data_rack: Some("r1".into()),
        ..step(1, 4)
    }
}

/// A cell whose units wait for near places for so long at most.
fn waiting_cell(workers: &[WorkerEntry], place_wait_max_ms: u64) -> Cell {
    let settings = Settings {
        place_wait_max: ms(place_wait_max_ms),
        ..Settings::default()
    };
    make_ready(cell_with_settings(settings, 1, workers), workers.len())
}

/// A cell with a worker near the data, whose run should end within `left_ms`, and a free one.
fn cell_with_busy_rack(left_ms: u64) -> (Cell, StartOrder) {
    let mut cell = waiting_cell(&[on_rack("near", "r1"), on_rack("far", "r2")], 2_000);
    cell.accept("first", vec![near_step(left_ms)], queue(1));
    let first = cell.take_starts().remove(0);
    cell.confirm_start(&first);
    (cell, first)
}

fn end(cell: &mut Cell, start: &StartOrder) {
    let renewal = cell.latest_renewal_of(&start.worker);
    let ends = vec![ended(1, start, EndReason::Succeeded)];
    cell.answer_renewal(&renewal, Vec::new(), ends);
    cell.tick(10);
}

/// Answers the latest renewal of a worker with its only run.
fn keep_running(cell: &mut Cell, start: &StartOrder) {
    let renewal = cell.latest_renewal_of(&start.worker);
    cell.answer_renewal(&renewal, vec![running(start)], Vec::new());
}

fn workers_of(starts: Vec<StartOrder>) -> Vec<String> {
    let workers = starts.into_iter().map(|start| start.worker.to_string());
    workers.collect()
}

#[test]
fn a_long_task_waits_for_the_end_of_a_run_near_its_data() {
    let (mut cell, first) = cell_with_busy_rack(500);

    cell.accept("second", vec![near_step(6_000)], queue(1));
    let before = workers_of(cell.take_starts());
    cell.tick(300);
    end(&mut cell, &first);

    assert_eq!(before, Vec::<String>::new());
    assert_eq!(workers_of(cell.take_starts()), ["near"]);
}

#[test]
fn a_task_starts_far_away_if_near_room_comes_late() {
    let (mut cell, _) = cell_with_busy_rack(30_000);

    cell.accept("second", vec![near_step(6_000)], queue(1));

    assert_eq!(workers_of(cell.take_starts()), ["far"]);
}

#[test]
fn a_short_task_starts_far_away_at_once() {
    let (mut cell, _) = cell_with_busy_rack(500);

    cell.accept("second", vec![near_step(100)], queue(1));

    assert_eq!(workers_of(cell.take_starts()), ["far"]);
}

#[test]
fn a_task_waits_once_and_for_less_than_two_seconds() {
    let (mut cell, first) = cell_with_busy_rack(500);

    cell.accept("second", vec![near_step(6_000)], queue(1));
    for _ in 0..4 {
        cell.tick(500);
        keep_running(&mut cell, &first);
    }

    assert_eq!(workers_of(cell.take_starts()), ["far"]);
}

#[test]
fn a_wait_ends_when_its_rack_is_gone() {
    let (mut cell, _) = cell_with_busy_rack(500);

    cell.accept("second", vec![near_step(6_000)], queue(1));
    let leaving = WorkerEntry {
        leaving_in: Some(ms(5_000)),
        ..on_rack("near", "r1")
    };
    cell.scheduler.worker_listed(leaving, cell.now);
    cell.tick(10);

    assert_eq!(workers_of(cell.take_starts()), ["far"]);
}

#[test]
fn a_gang_waits_for_one_rack_that_has_room_soon() {
    let racks = [("w1", "r1"), ("w2", "r1"), ("w3", "r2")];
    let workers = racks.map(|(worker, rack)| on_rack(worker, rack));
    let mut cell = waiting_cell(&workers, 2_000);
    cell.accept("first", vec![near_step(500)], queue(1));
    let first = cell.take_starts().remove(0);
    cell.confirm_start(&first);

    let whole_rack = StepSpec {
        estimate: ms(6_000),
        rack_local: true,
        ..gang(2, 4)
    };
    cell.accept("gang", vec![whole_rack], queue(1));
    let before = workers_of(cell.take_starts());
    cell.tick(300);
    end(&mut cell, &first);

    assert_eq!(before, Vec::<String>::new());
    assert_eq!(workers_of(cell.take_starts()), ["w1", "w2"]);
}

#[test]
fn nothing_waits_unless_the_settings_allow_it() {
    let mut cell = waiting_cell(&[on_rack("near", "r1"), on_rack("far", "r2")], 0);
    cell.accept("first", vec![near_step(500)], queue(1));
    let first = cell.take_starts().remove(0);
    cell.confirm_start(&first);

    cell.accept("second", vec![near_step(6_000)], queue(1));

    assert_eq!(workers_of(cell.take_starts()), ["far"]);
}

#[test]
fn tasks_without_data_do_not_wait() {
    let (mut cell, _) = cell_with_busy_rack(500);

    let anywhere = StepSpec {
        data_rack: None,
        ..near_step(6_000)
    };
    cell.accept("second", vec![anywhere], queue(1));

    assert_eq!(workers_of(cell.take_starts()), ["far"]);
}
