//! Advice requests: which workers they name, and what follows from the answers.

use jackdawchute_scheduler::{
    AdviceAnswer, AdviceRequest, QueuePolicy, Settings, StartOrder, StepSpec, WorkerEntry,
};
use jackdawchute_types::WorkerId;

use crate::fixtures::*;

/// Answers an advice request: of the named workers, these may run the step.
pub fn allow(cell: &mut Cell, request: &AdviceRequest, allowed: &[&str]) {
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
pub fn wide_cell() -> Cell {
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

/// The number of tasks of one step from which on steps with a worse rank requested no advice.
const MANY_TASKS: u32 = 200;

/// A worker of four cores with a label.
fn labelled(worker: &str, label: &str) -> WorkerEntry {
    WorkerEntry {
        labels: vec![label.into(), "r1".into()],
        ..entry(worker, 4)
    }
}

/// A cell with one worker of label `a` and one of label `b`, whose leader may have a few orders to
/// start under way.
fn cell_of_two_kinds() -> Cell {
    let settings = Settings {
        starts_under_way_max: 16,
        ..Settings::default()
    };
    let workers = [labelled("a1", "a"), labelled("b1", "b")];
    make_ready(cell_with_settings(settings, 1, &workers), workers.len())
}

/// A step of many tasks that only workers of label `b` run.
fn many_tasks_on_b(long_running: bool) -> StepSpec {
    StepSpec {
        required_label: Some("b".into()),
        long_running,
        // So little declared work delays the admission of no other job.
        estimate: ms(1),
        ..step(MANY_TASKS, 1)
    }
}

/// Accepts a job that fits on the worker of label `a`; returns whether advice is requested for it.
fn requests_advice_for_job_beside(cell: &mut Cell) -> bool {
    cell.tick(50);
    cell.advice.clear();
    cell.accept("job", vec![step(2, 1)], advised_queue(1));
    let is_of_job = |request: &AdviceRequest| request.step.job == "job";
    cell.advice.iter().any(is_of_job)
}

/// review/6: jobs were accepted and never started beside idle workers.
#[test]
fn tasks_whose_workers_are_gone_keep_no_advice_from_others() {
    let mut cell = cell_of_two_kinds();
    cell.accept("lasting", vec![many_tasks_on_b(true)], queue(0));
    cell.scheduler
        .workers_listed(vec![labelled("a1", "a")], cell.now);

    assert!(requests_advice_for_job_beside(&mut cell));
}

/// The same without an end in sight: the room that the tasks wait for is taken.
#[test]
fn tasks_without_room_keep_no_advice_from_others() {
    for long_running in [true, false] {
        let mut cell = cell_of_two_kinds();
        cell.accept("many", vec![many_tasks_on_b(long_running)], queue(0));
        let starts = cell.take_starts();
        assert_eq!(starts.len(), 4, "the worker has four cores");

        assert!(requests_advice_for_job_beside(&mut cell), "{long_running}");
    }
}

/// The same where the advisor allows the waiting tasks no worker.
#[test]
fn tasks_that_no_worker_is_allowed_to_run_keep_no_advice_from_others() {
    let mut cell = cell_of_two_kinds();
    let many = StepSpec {
        estimate: ms(1),
        ..step(MANY_TASKS, 1)
    };
    cell.accept("denied", vec![many], advised_queue(0));
    for request in std::mem::take(&mut cell.advice) {
        allow(&mut cell, &request, &[]);
    }

    assert!(requests_advice_for_job_beside(&mut cell));
}

/// Tickets of a step without room would lapse before it gets any.
#[test]
fn a_step_far_behind_requests_no_advice_while_nothing_has_room_for_it() {
    let mut cell = cell_of_two_kinds();
    cell.accept("lasting", vec![many_tasks_on_b(true)], queue(0));
    let filler = StepSpec {
        required_label: Some("a".into()),
        estimate: ms(1),
        ..step(4, 1)
    };
    cell.accept("filler", vec![filler], queue(0));

    assert!(!requests_advice_for_job_beside(&mut cell));
}

/// A cell of sixty workers of label `a` and two of label `b`, all busy, with a gang that has tickets
/// for all of the former, behind two gangs that only the latter can run.
fn cell_with_gang_behind_others(tasks: u32) -> (Cell, Vec<StartOrder>) {
    let mut workers: Vec<_> = (0..60)
        .map(|index| labelled(&format!("a{index:02}"), "a"))
        .collect();
    workers.extend([labelled("b1", "b"), labelled("b2", "b")]);
    let mut cell = ready_cell(1, &workers);
    let filler = |label: &str, tasks, estimate_ms| StepSpec {
        required_label: Some(label.into()),
        estimate: ms(estimate_ms),
        ..step(tasks, 4)
    };
    let filled = [filler("a", 60, 20_000), filler("b", 2, 5_000)];
    cell.accept("filler", filled.to_vec(), queue(0));
    let starts = cell.take_starts();
    for start in &starts {
        cell.confirm_start(start);
    }
    let labelled_gang = |label: &str, tasks| StepSpec {
        required_label: Some(label.into()),
        estimate: ms(10_000),
        ..gang(tasks, 4)
    };
    let patient = |queue| QueuePolicy {
        target: ms(60_000),
        ..queue
    };
    for job in ["first", "second"] {
        cell.accept(job, vec![labelled_gang("b", 1)], patient(queue(1)));
    }
    let gang = vec![labelled_gang("a", tasks)];
    cell.accept("gang", gang, patient(advised_queue(2)));
    answer_advice(&mut cell);
    (cell, starts)
}

/// Allows all workers that advice is requested about.
pub fn answer_advice(cell: &mut Cell) {
    for request in std::mem::take(&mut cell.advice) {
        let allowed: Vec<&str> = request.workers.iter().map(WorkerId::as_str).collect();
        allow(cell, &request, &allowed);
    }
}

/// Lets the tickets lapse, ends the runs on the workers of label `a`, and returns how many tasks of
/// the gang start.
fn starts_once_idle(cell: &mut Cell, runs: &[StartOrder]) -> usize {
    cell.tick(3_000);
    for start in runs.iter().filter(|start| start.worker.starts_with('a')) {
        let renewal = cell.latest_renewal_of(&start.worker);
        let end = ended(1, start, jackdawchute_scheduler::EndReason::Succeeded);
        cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    }
    for _ in 0..10 {
        cell.tick(10);
        answer_advice(cell);
    }
    cell.take_starts().len()
}

/// review/10: a gang never started beside idle workers.
#[test]
fn gangs_that_wait_for_lost_workers_use_no_reservation() {
    let (mut cell, runs) = cell_with_gang_behind_others(50);
    let listed = (0..60).map(|index| labelled(&format!("a{index:02}"), "a"));
    cell.scheduler.workers_listed(listed.collect(), cell.now);

    assert_eq!(starts_once_idle(&mut cell, &runs), 50);
}

/// The same while all reservations are in use.
#[test]
fn a_gang_without_a_reservation_requests_as_many_lapsed_tickets_as_it_needs() {
    let (mut cell, runs) = cell_with_gang_behind_others(30);

    assert_eq!(starts_once_idle(&mut cell, &runs), 30);
}
