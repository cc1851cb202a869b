//! Advice requests: which workers they name, and what follows from the answers.

use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest};
use jackdawchute_types::WorkerId;

use crate::fixtures::*;

/// Answers an advice request: of the named workers, these may run the step.
fn allow(cell: &mut Cell, request: &AdviceRequest, allowed: &[&str]) {
    let allowed = allowed
        .iter()
        .map(|worker| ((*worker).into(), "ticket".into()));
    let answer = AdviceAnswer {
        allowed: allowed.collect(),
    };
    cell.scheduler
        .advice_answered(request, Some(answer), cell.now);
    cell.run_round();
}

#[test]
fn tasks_start_only_on_allowed_workers_and_with_their_ticket() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
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

/// The commit and the advisor's answer both take time, so that the request does not wait for the
/// commit.
#[test]
fn advice_is_requested_before_the_acceptance_is_committed() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);

    let steps = graph(vec![step(1, 2)]);
    cell.scheduler
        .submit(&"job".into(), steps, advised_queue(0), cell.now);
    cell.run_round();

    assert_eq!(cell.advice.len(), 1);
    assert!(cell.take_starts().is_empty());
}

#[test]
fn a_gang_that_starts_after_the_first_answer_requests_no_further_advice() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![gang(2, 2)], advised_queue(0));
    let request = cell.advice.remove(0);
    cell.scheduler.worker_listed(entry("w3", 4), cell.now);

    allow(&mut cell, &request, &["w1", "w2"]);

    assert_eq!(cell.take_starts().len(), 2);
    assert!(cell.advice.is_empty(), "{:?}", cell.advice);
}

#[test]
fn a_gang_requests_advice_about_workers_that_its_first_request_did_not_name() {
    let mut cell = ready_cell(1, &[entry("w1", 8)]);
    cell.accept("job", vec![gang(2, 4)], advised_queue(0));
    let request = cell.advice.remove(0);
    for joined in ["w2", "w3"] {
        cell.scheduler.worker_listed(entry(joined, 4), cell.now);
        cell.tick(1);
        let renewal = cell.latest_renewal_of(joined);
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }
    cell.tick(1);
    cell.commit();

    allow(&mut cell, &request, &[]);
    cell.tick(50);

    let named: Vec<WorkerId> = cell.advice.remove(0).workers;
    assert_eq!(named, ["w2", "w3"]);
}

#[test]
fn a_lapsed_ticket_is_requested_again_once_the_task_fits() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("filler", vec![step(1, 4)], queue(0));
    let filler = cell.take_starts().remove(0);
    cell.confirm_start(&filler);
    cell.accept("job", vec![step(1, 4)], advised_queue(0));
    let request = cell.advice.remove(0);
    allow(&mut cell, &request, &["w1"]);

    cell.tick(3_000);
    let requests_before = cell.advice.len();
    let renewal = cell.latest_renewal_of("w1");
    let end = ended(1, &filler, jackdawchute_scheduler::EndReason::Succeeded);
    cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    cell.tick(1);

    assert_eq!(requests_before, 0, "requested without free capacity");
    assert_eq!(cell.advice.len(), 1);
    assert!(cell.take_starts().is_empty());
}

/// A cell with enough workers for several requests about one gang.
fn wide_cell() -> Cell {
    let workers: Vec<_> = (0..60)
        .map(|index| entry(&format!("w{index:02}"), 4))
        .collect();
    ready_cell(1, &workers)
}

#[test]
fn a_wide_gang_makes_several_requests_about_different_workers_at_once() {
    let mut cell = wide_cell();

    cell.accept("job", vec![gang(12, 4)], advised_queue(0));

    let named: Vec<&WorkerId> = cell
        .advice
        .iter()
        .flat_map(|request| &request.workers)
        .collect();
    let distinct: std::collections::BTreeSet<_> = named.iter().collect();
    assert!(
        (2..=5).contains(&cell.advice.len()),
        "{}",
        cell.advice.len()
    );
    assert_eq!(named.len(), distinct.len());
    assert!(
        named.len() > 12 * 2,
        "half of them may be denied: {}",
        named.len()
    );
}

#[test]
fn a_wide_gang_starts_with_the_answers_to_all_its_requests() {
    let mut cell = wide_cell();
    cell.accept("job", vec![gang(12, 4)], advised_queue(0));
    let requests = std::mem::take(&mut cell.advice);

    let mut allowed_workers = 0;
    for request in &requests {
        // Each advisor allows a third of the named workers.
        let allowed = request.workers.iter().step_by(3);
        let allowed: Vec<&str> = allowed.map(WorkerId::as_str).collect();
        allow(&mut cell, request, &allowed);
        allowed_workers += allowed.len();
        if !cell.starts.is_empty() {
            break;
        }
    }

    assert!(allowed_workers >= 12, "{allowed_workers}");
    assert_eq!(cell.take_starts().len(), 12);
}

#[test]
fn a_gang_reserves_no_capacity_on_workers_without_its_label() {
    let mut labelled = entry("w1", 4);
    labelled.labels.push("large".into());
    let mut cell = ready_cell(1, &[labelled, entry("w2", 4)]);
    let labelled_step = jackdawchute_scheduler::StepSpec {
        required_label: Some("large".into()),
        ..step(1, 4)
    };
    cell.accept("filler", vec![labelled_step.clone()], queue(0));
    let labelled_gang = jackdawchute_scheduler::StepSpec {
        gang: true,
        ..labelled_step
    };
    cell.accept("gang", vec![labelled_gang], queue(0));
    cell.take_starts();

    cell.accept("job", vec![step(1, 4)], queue(1));

    let starts = cell.take_starts();
    let started: Vec<_> = starts.iter().map(|start| start.worker.as_str()).collect();
    assert_eq!(started, ["w2"]);
}

#[test]
fn rounds_are_less_frequent_with_more_workers() {
    let small_cell = ready_cell(1, &[entry("w1", 4)]).scheduler;
    let workers: Vec<_> = (0..400)
        .map(|index| entry(&format!("w{index}"), 4))
        .collect();
    let large_cell = cell(1, &workers).scheduler;

    assert_eq!(small_cell.round_period(), ms(6));
    assert_eq!(large_cell.round_period(), ms(24));
}

#[test]
fn a_gang_with_one_task_per_worker_requests_advice_until_enough_workers_are_allowed() {
    let workers: Vec<_> = (0..60)
        .map(|index| entry(&format!("w{index:02}"), 40))
        .collect();
    let mut cell = ready_cell(1, &workers);
    let one_per_worker = jackdawchute_scheduler::StepSpec {
        per_worker_max: Some(1),
        ..gang(20, 1)
    };
    cell.accept("job", vec![one_per_worker], advised_queue(0));

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
    let mut cell = ready_cell(1, &[entry("w1", 100)]);

    cell.accept("job", vec![gang(100, 1)], queue(0));

    assert_eq!(cell.take_starts().len(), 100);
}
