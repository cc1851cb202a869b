//! The number of orders to start that wait for their answers is bounded.

use jackdawchute_scheduler::Settings;

use crate::fixtures::*;

/// How many orders to start may be under way.
const STARTS_MAX: usize = 50;

/// A cell with one worker, whose leader may have a few orders to start under way.
fn bounded_cell(cores: u64) -> Cell {
    let settings = Settings {
        starts_under_way_max: STARTS_MAX,
        ..Settings::default()
    };
    let workers = [entry("w1", cores)];
    make_ready(cell_with_settings(settings, 1, &workers), 1)
}

/// Orders beyond what the leader's processor handles wait for each other, the urgent ones behind all
/// others, and the leader answers nothing in time.
#[test]
fn tasks_wait_in_the_order_of_their_urgency_while_many_starts_are_under_way() {
    let mut cell = bounded_cell(2_000);
    cell.accept("large", vec![step(STARTS_MAX as u32 * 2, 1)], queue(2));

    let first = cell.take_starts();
    cell.accept("urgent", vec![step(1, 1)], queue(0));
    let while_full = cell.take_starts();
    for start in &first {
        cell.confirm_start(start);
    }
    cell.tick(10);
    let after_answers = cell.take_starts();

    assert_eq!(first.len(), STARTS_MAX);
    assert_eq!(while_full, []);
    assert_eq!(after_answers.len(), STARTS_MAX);
    assert_eq!(after_answers[0].task.step.job, "urgent");
}

/// A worker that does not answer must not keep tasks from all others.
#[test]
fn orders_without_an_answer_do_not_hold_up_others_for_long() {
    let mut cell = bounded_cell(2_000);
    cell.accept("silent", vec![step(STARTS_MAX as u32, 1)], queue(2));
    cell.accept("other", vec![step(1, 1)], queue(2));
    let first = cell.take_starts();

    cell.tick(200);

    assert_eq!(first.len(), STARTS_MAX);
    assert_eq!(cell.take_starts().len(), 1);
}

/// Steps far behind asked the advisors again and again, since their tickets lapsed before their
/// turn.
#[test]
fn steps_whose_turn_does_not_come_soon_request_no_advice() {
    let mut cell = bounded_cell(2_000);

    for job in 0..20 {
        let steps = vec![step(STARTS_MAX as u32, 1)];
        cell.accept(&format!("job-{job:02}"), steps, advised_queue(1));
    }

    // Eight times as many starts as may be under way.
    assert_eq!(cell.advice.len(), 8);
}
