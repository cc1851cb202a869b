//! Which workers advisors are asked about, and what follows from their answers.

use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest};
use jackdawchute_types::WorkerId;

use crate::fixtures::*;

fn allow(cell: &mut Cell, request: &AdviceRequest, allowed: &[&str]) {
    let allowed = allowed.iter().map(|it| ((*it).into(), "ticket".into()));
    let answer = AdviceAnswer {
        allowed: allowed.collect(),
    };
    cell.scheduler
        .advice_answered(request, Some(answer), cell.now);
    cell.run_round();
}

#[test]
fn tasks_start_only_on_allowed_workers_and_carry_their_ticket() {
    let mut cell = settled_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(2, 2)], advised_queue(0));
    let request = cell.advice.remove(0);

    allow(&mut cell, &request, &["w2"]);

    let starts = cell.take_starts();
    assert_eq!(starts.len(), 2);
    for start in starts {
        assert_eq!(start.worker, "w2");
        assert_eq!(start.ticket.as_deref(), Some("ticket"));
    }
}

#[test]
fn advice_is_asked_while_the_acceptance_is_being_committed() {
    let mut cell = settled_cell(1, &[entry("w1", 4)]);

    let steps = graph(vec![step(1, 2)]);
    cell.scheduler
        .submit(&"job".into(), steps, advised_queue(0), cell.now);
    cell.run_round();

    assert_eq!(cell.advice.len(), 1);
    assert!(cell.take_starts().is_empty());
}

#[test]
fn what_the_first_answer_lets_start_asks_no_further_question() {
    let mut cell = settled_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![gang(2, 2)], advised_queue(0));
    let request = cell.advice.remove(0);
    cell.scheduler.worker_listed(entry("w3", 4), cell.now);

    allow(&mut cell, &request, &["w1", "w2"]);

    assert_eq!(cell.take_starts().len(), 2);
    assert!(cell.advice.is_empty(), "{:?}", cell.advice);
}

#[test]
fn a_gang_asks_about_workers_that_its_first_question_did_not_name() {
    let mut cell = settled_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![gang(2, 4)], advised_queue(0));
    let request = cell.advice.remove(0);
    for late in ["w2", "w3"] {
        cell.scheduler.worker_listed(entry(late, 4), cell.now);
        cell.tick(1);
        let renewal = cell.renewal_of(late);
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }

    allow(&mut cell, &request, &[]);
    cell.tick(50);

    let asked: Vec<WorkerId> = cell.advice.remove(0).workers;
    assert_eq!(asked, ["w2", "w3"]);
}

#[test]
fn a_ticket_that_lapsed_is_asked_for_again_where_there_is_room() {
    let mut cell = settled_cell(1, &[entry("w1", 4)]);
    cell.accept("filler", vec![step(1, 4)], queue(0));
    let filler = cell.take_starts().remove(0);
    cell.confirm(&filler);
    cell.accept("job", vec![step(1, 4)], advised_queue(0));
    let request = cell.advice.remove(0);
    allow(&mut cell, &request, &["w1"]);

    cell.tick(3_000);
    let before = cell.advice.len();
    let renewal = cell.renewal_of("w1");
    let end = ended(1, &filler, jackdawchute_scheduler::EndReason::Succeeded);
    cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    cell.tick(1);

    assert_eq!(before, 0, "asked without room");
    assert_eq!(cell.advice.len(), 1);
    assert!(cell.take_starts().is_empty());
}

/// Enough workers for several questions about one gang.
fn wide_cell() -> Cell {
    let workers: Vec<_> = (0..60)
        .map(|index| entry(&format!("w{index:02}"), 4))
        .collect();
    settled_cell(1, &workers)
}

#[test]
fn a_wide_gang_asks_several_questions_about_different_workers_at_once() {
    let mut cell = wide_cell();

    cell.accept("job", vec![gang(12, 4)], advised_queue(0));

    let asked: Vec<&WorkerId> = cell.advice.iter().flat_map(|it| &it.workers).collect();
    let different: std::collections::BTreeSet<_> = asked.iter().collect();
    assert!(
        (2..=5).contains(&cell.advice.len()),
        "{}",
        cell.advice.len()
    );
    assert_eq!(asked.len(), different.len());
    assert!(
        asked.len() > 12 * 2,
        "half of them may be denied: {}",
        asked.len()
    );
}

#[test]
fn a_wide_gang_starts_with_the_answers_to_all_its_questions() {
    let mut cell = wide_cell();
    cell.accept("job", vec![gang(12, 4)], advised_queue(0));
    let requests = std::mem::take(&mut cell.advice);

    let mut started_with = 0;
    for request in &requests {
        // Each advisor allows a third of the workers that it is asked about.
        let allowed = request.workers.iter().step_by(3);
        let allowed: Vec<&str> = allowed.map(WorkerId::as_str).collect();
        allow(&mut cell, request, &allowed);
        started_with += allowed.len();
        if !cell.starts.is_empty() {
            break;
        }
    }

    assert!(started_with >= 12, "{started_with}");
    assert_eq!(cell.take_starts().len(), 12);
}

#[test]
fn a_gang_keeps_no_room_on_workers_that_lack_its_label() {
    let mut labelled = entry("w1", 4);
    labelled.labels.push("large".into());
    let mut cell = settled_cell(1, &[labelled, entry("w2", 4)]);
    let on_labelled = jackdawchute_scheduler::StepSpec {
        required_label: Some("large".into()),
        ..step(1, 4)
    };
    cell.accept("filler", vec![on_labelled.clone()], queue(0));
    let wanting = jackdawchute_scheduler::StepSpec {
        gang: true,
        ..on_labelled
    };
    cell.accept("gang", vec![wanting], queue(0));
    cell.take_starts();

    cell.accept("job", vec![step(1, 4)], queue(1));

    let starts = cell.take_starts();
    let started: Vec<_> = starts.iter().map(|it| it.worker.as_str()).collect();
    assert_eq!(started, ["w2"]);
}

#[test]
fn rounds_come_less_often_the_more_workers_there_are() {
    let few = settled_cell(1, &[entry("w1", 4)]).scheduler;
    let workers: Vec<_> = (0..400)
        .map(|index| entry(&format!("w{index}"), 4))
        .collect();
    let many = cell(1, &workers).scheduler;

    assert_eq!(few.round_period(), ms(6));
    assert_eq!(many.round_period(), ms(24));
}

#[test]
fn a_gang_with_one_task_a_worker_asks_until_it_knows_enough_workers() {
    let workers: Vec<_> = (0..60)
        .map(|index| entry(&format!("w{index:02}"), 40))
        .collect();
    let mut cell = settled_cell(1, &workers);
    let apart = jackdawchute_scheduler::StepSpec {
        per_worker_max: Some(1),
        ..gang(20, 1)
    };
    cell.accept("job", vec![apart], advised_queue(0));

    for _ in 0..10 {
        for request in std::mem::take(&mut cell.advice) {
            let allowed = request.workers.iter().step_by(2);
            let allowed: Vec<&str> = allowed.map(WorkerId::as_str).collect();
            allow(&mut cell, &request, &allowed);
        }
        cell.tick(10);
    }

    assert_eq!(cell.take_starts().len(), 20);
}

#[test]
fn a_gang_of_many_small_tasks_starts_on_one_large_worker() {
    let mut cell = settled_cell(1, &[entry("w1", 100)]);

    cell.accept("job", vec![gang(100, 1)], queue(0));

    assert_eq!(cell.take_starts().len(), 100);
}
