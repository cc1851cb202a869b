//! Which workers gangs request advice about, and when, while they wait beside others.

use std::collections::BTreeSet;

use jackdawchute_scheduler::{AdviceCost, QueuePolicy, StepSpec};
use jackdawchute_types::WorkerId;

use crate::{
    advice::{allow, answer_advice, wide_cell},
    fixtures::*,
};

/// A queue whose advice takes half a second and more, with requests of five workers, and whose
/// tickets are valid for two seconds.
fn slow_advice_queue() -> QueuePolicy {
    QueuePolicy {
        target: ms(60_000),
        advice: Some(AdviceCost {
            fixed_ms: 500.0,
            per_worker_ms: 60.0,
            valid: ms(2_000),
        }),
        ..queue(1)
    }
}

/// Issue 58: a gang requested what was missing, and lost the tickets that it had before the answer.
#[test]
fn tickets_that_lapse_before_the_answer_are_requested_with_the_missing_ones() {
    let workers: Vec<_> = (0..6).map(|index| entry(&format!("w{index}"), 4)).collect();
    let mut cell = ready_cell(1, &workers);
    cell.accept("gang", vec![gang(6, 4)], slow_advice_queue());
    let mut requests = std::mem::take(&mut cell.advice);
    let (answered, lost) = (requests.remove(0), requests.remove(0));
    cell.tick(800);
    let named: Vec<&str> = answered.workers.iter().map(WorkerId::as_str).collect();
    allow(&mut cell, &answered, &named);
    cell.tick(1_500);
    cell.scheduler.advice_answered(&lost, None, cell.now);
    cell.tick(10);

    let requests = std::mem::take(&mut cell.advice);
    let named: BTreeSet<_> = requests.iter().flat_map(|it| &it.workers).collect();
    assert_eq!(named.len(), 6, "{requests:?}");
    cell.tick(800);
    for request in &requests {
        let named: Vec<&str> = request.workers.iter().map(WorkerId::as_str).collect();
        allow(&mut cell, request, &named);
    }
    assert_eq!(cell.take_starts().len(), 6);
}

/// Issue 58: gangs that could not start for long took the advisors from those that could.
#[test]
fn gangs_without_room_ask_ahead_for_the_next_reservations_only() {
    let mut cell = wide_cell();
    let filler = StepSpec {
        estimate: ms(60_000),
        ..step(60, 4)
    };
    cell.accept("filler", vec![filler], queue(0));
    for start in cell.take_starts() {
        cell.confirm_start(&start);
    }
    let patient = QueuePolicy {
        target: ms(600_000),
        ..advised_queue(1)
    };
    for index in 0..12 {
        let job = format!("gang-{index:02}");
        cell.accept(&job, vec![gang(4, 4)], patient.clone());
    }

    let mut asked = BTreeSet::new();
    for _ in 0..20 {
        asked.extend(cell.advice.iter().map(|request| request.step.job.clone()));
        answer_advice(&mut cell);
        cell.tick(100);
    }

    // Sixty workers have two reservations.
    assert_eq!(asked.len(), 4, "{asked:?}");
}

/// Issue 58: room that waiting gangs had tickets for and could not use was kept from others.
#[test]
fn gangs_that_do_not_fit_keep_no_room_from_one_that_does() {
    let workers: Vec<_> = (0..4).map(|index| entry(&format!("w{index}"), 4)).collect();
    let mut cell = ready_cell(1, &workers);
    let filler = StepSpec {
        estimate: ms(60_000),
        per_worker_max: Some(1),
        ..step(4, 2)
    };
    cell.accept("filler", vec![filler], queue(0));
    for start in cell.take_starts() {
        cell.confirm_start(&start);
    }
    let patient = |queue| QueuePolicy {
        target: ms(600_000),
        ..queue
    };
    for index in 0..4 {
        let steps = vec![gang(4, 4)];
        cell.accept(&format!("large-{index}"), steps, patient(advised_queue(1)));
        answer_advice(&mut cell);
    }

    cell.accept("small", vec![gang(4, 2)], patient(advised_queue(2)));
    for _ in 0..4 {
        answer_advice(&mut cell);
        cell.tick(20);
    }

    let starts = cell.take_starts();
    let of_small = starts.iter().filter(|start| start.task.step.job == "small");
    assert_eq!(of_small.count(), 4, "{starts:?}");
}
