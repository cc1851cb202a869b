//! Review of issue 58: accepted gangs that stand still beside room because no advice is requested
//! for them.

use std::time::{Duration, Instant};

use jackdawchute_scheduler::{
    AdviceAnswer, AdviceCost, AdviceRequest, EndReason, QueuePolicy, StartOrder, StepSpec,
    WorkerEntry,
};

use crate::fixtures::*;

/// How long an accepted job may stand still beside room, by the users' rules, in milliseconds.
const STANDSTILL_MAX_MS: u64 = 3_000;
const STEP_MS: u64 = 20;
/// How many gangs without room may know their workers in a cell of sixty workers, which has two
/// reservations.
const GANGS_AHEAD: usize = 4;

/// Workers of four cores with a label.
fn labelled(label: &str, count: usize) -> Vec<WorkerEntry> {
    let worker = |index| WorkerEntry {
        labels: vec![label.into(), "r1".into()],
        ..entry(&format!("{label}{index:02}"), 4)
    };
    (0..count).map(worker).collect()
}

/// A step with a label whose tasks run for longer than a test.
fn on(label: &str, step: StepSpec) -> StepSpec {
    StepSpec {
        required_label: Some(label.into()),
        estimate: ms(60_000),
        ..step
    }
}

/// A queue whose jobs can wait for this long.
fn patient(target_ms: u64) -> QueuePolicy {
    QueuePolicy {
        target: ms(target_ms),
        ..advised_queue(1)
    }
}

/// Answers an advice request: at most this many of the named workers may run the step.
fn allow_first(cell: &mut Cell, request: &AdviceRequest, allowed_max: usize) {
    let allowed = request.workers.iter().take(allowed_max);
    let answer = AdviceAnswer {
        allowed: allowed
            .map(|worker| (worker.clone(), "ticket".into()))
            .collect(),
    };
    cell.scheduler
        .advice_answered(request, Some(answer), cell.now);
    cell.run_round();
}

/// Lets the longest standstill that the users allow pass, with advisors that allow all workers at
/// once; returns how many tasks of a job start.
fn starts_within_standstill(cell: &mut Cell, job: &str) -> usize {
    for _ in 0..STANDSTILL_MAX_MS / STEP_MS {
        cell.tick(STEP_MS);
        for request in std::mem::take(&mut cell.advice) {
            allow_first(cell, &request, usize::MAX);
        }
    }
    let starts = cell.take_starts();
    starts
        .iter()
        .filter(|start| start.task.step.job == job)
        .count()
}

/// Fills all workers of a label with tasks that are declared to run for this long.
fn fill(cell: &mut Cell, label: &str, workers: u32, estimate_ms: u64) {
    let filler = StepSpec {
        estimate: ms(estimate_ms),
        ..on(label, step(workers, 4))
    };
    cell.accept("filler", vec![filler], queue(0));
    let starts = cell.take_starts();
    assert_eq!(starts.len(), workers as usize);
    for start in starts {
        cell.confirm_start(&start);
    }
}

/// Accepts gangs that know enough workers of a label, all of which are in use.
fn accept_gangs_ahead(cell: &mut Cell, label: &str) {
    for index in 0..GANGS_AHEAD {
        let job = format!("ahead-{index}");
        cell.accept(&job, vec![on(label, gang(4, 4))], patient(60_000));
        let mut allowed_max = 4;
        while let Some(request) = cell.advice.pop() {
            allow_first(cell, &request, allowed_max);
            allowed_max = 0;
        }
    }
    assert!(cell.take_starts().is_empty());
}

/// Gangs that wait for workers of another kind are all that may ask ahead, and the expected share of
/// allowed workers makes the gang's room look too small.
#[test]
fn a_gang_with_room_twice_over_requests_advice_behind_gangs_without_room() {
    let workers = [labelled("a", 20), labelled("b", 4), labelled("idle", 36)];
    let mut cell = ready_cell(1, &workers.concat());
    fill(&mut cell, "a", 20, 60_000);
    accept_gangs_ahead(&mut cell, "a");

    cell.accept("gang", vec![on("b", gang(2, 4))], patient(600_000));

    assert_eq!(starts_within_standstill(&mut cell, "gang"), 2);
}

/// Lists further workers, which report that they run nothing.
fn join(cell: &mut Cell, workers: &[WorkerEntry]) {
    for worker in workers {
        cell.scheduler.worker_listed(worker.clone(), cell.now);
    }
    cell.tick(1);
    for worker in workers {
        let renewal = cell.latest_renewal_of(&worker.worker);
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }
    cell.tick(1);
    cell.commit();
}

/// The gang has tickets for more workers than it needs, and they have lapsed.
#[test]
fn a_gang_with_room_on_allowed_workers_renews_its_tickets_behind_gangs_without_room() {
    let workers = [labelled("a", 20), labelled("b", 8), labelled("idle", 26)];
    let mut cell = ready_cell(1, &workers.concat());
    fill(&mut cell, "a", 20, 7_500);
    cell.accept("filler-b", vec![on("b", step(8, 4))], queue(0));
    let runs_on_b = cell.take_starts();
    for start in &runs_on_b {
        cell.confirm_start(start);
    }
    cell.accept("gang", vec![on("b", gang(7, 4))], patient(600_000));
    let request = cell.advice.remove(0);
    allow_first(&mut cell, &request, 8);
    accept_gangs_ahead(&mut cell, "a");
    cell.tick(3_000);
    join(&mut cell, &labelled("b", 14)[8..]);

    for start in &runs_on_b {
        let renewal = cell.latest_renewal_of(&start.worker);
        let end = ended(1, start, EndReason::Succeeded);
        cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    }

    assert_eq!(starts_within_standstill(&mut cell, "gang"), 7);
}

/// The workers that the advisor allowed were taken by others before its answer came.
#[test]
fn a_gang_with_a_late_reservation_requests_advice_about_other_workers_with_room() {
    let workers = [labelled("a", 4), labelled("b", 16)];
    let mut cell = ready_cell(1, &workers.concat());
    let unlabelled = StepSpec {
        estimate: ms(60_000),
        ..gang(4, 4)
    };
    cell.accept("gang", vec![unlabelled], patient(600_000));
    let request = cell.advice.remove(0);
    let filler = StepSpec {
        estimate: ms(7_000),
        ..on("a", step(4, 4))
    };
    cell.accept("filler", vec![filler], queue(0));
    for start in cell.take_starts() {
        cell.confirm_start(&start);
    }

    cell.now += ms(50);
    allow_first(&mut cell, &request, 4);

    let not_asked = 20 - request.workers.len();
    assert!(not_asked >= 8, "room twice over: {not_asked}");
    assert_eq!(starts_within_standstill(&mut cell, "gang"), 4);
}

/// A queue whose advice takes half a second and more, and whose jobs can wait for this long.
fn dear(target_ms: u64) -> QueuePolicy {
    QueuePolicy {
        advice: Some(AdviceCost {
            fixed_ms: 455.0,
            per_worker_ms: 6.5,
            valid: ms(2_000),
        }),
        ..patient(target_ms)
    }
}

/// Lets the longest standstill pass, with advisors that are never busy and take the expected time.
fn starts_with_slow_advice(cell: &mut Cell) -> Vec<StartOrder> {
    let mut answers = Vec::new();
    for _ in 0..STANDSTILL_MAX_MS / STEP_MS {
        let now = cell.now;
        let requests = std::mem::take(&mut cell.advice).into_iter();
        answers.extend(requests.map(|request| (now + request.expected, request)));
        cell.tick(STEP_MS);
        let (due, later) = answers.into_iter().partition(|(at, _)| *at <= cell.now);
        answers = later;
        let due: Vec<(Instant, AdviceRequest)> = due;
        for (_, request) in due {
            allow_first(cell, &request, usize::MAX);
        }
    }
    cell.take_starts()
}

/// Three of the four cores of each worker are free, which is too little for the tasks of the gangs
/// with a better rank.
#[test]
fn room_is_not_planned_for_tasks_that_do_not_fit_there() {
    let mut cell = ready_cell(1, &labelled("a", 84));
    let one_per_worker = StepSpec {
        per_worker_max: Some(1),
        ..on("a", step(84, 1))
    };
    cell.accept("filler", vec![one_per_worker], queue(0));
    for start in cell.take_starts() {
        cell.confirm_start(&start);
    }
    // Cells of 84 workers have three reservations.
    for index in 0..6 {
        let job = format!("ahead-{index}");
        cell.accept(&job, vec![on("a", gang(12, 4))], dear(60_000));
    }

    cell.accept("gang", vec![on("a", gang(8, 1))], dear(600_000));

    let starts = starts_with_slow_advice(&mut cell);

    let is_of_gang = |start: &&StartOrder| start.task.step.job == "gang";
    assert_eq!(starts.iter().filter(is_of_gang).count(), 8);
}

/// An advisor refuses a request that would wait for longer.
const BACKLOG_MAX: Duration = Duration::from_millis(1_200);

/// A refused request is as good as not sent, and its step counts it as under way.
#[test]
fn no_request_waits_for_longer_than_its_advisor_allows() {
    let mut cell = ready_cell(1, &labelled("a", 60));
    cell.advisors = Some(advisors([cell.now].into_iter()));
    let slow_advice = AdviceCost {
        fixed_ms: 500.0,
        per_worker_ms: 60.0,
        valid: ms(5_000),
    };
    let queue = QueuePolicy {
        advice: Some(slow_advice),
        ..patient(60_000)
    };

    cell.accept("gang", vec![on("a", gang(12, 4))], queue);

    let before_last = cell.advice.iter().rev().skip(1);
    let waits: Duration = before_last.map(|request| request.expected).sum();
    assert!(waits <= BACKLOG_MAX, "{waits:?}");
}

/// The gangs need 160 of 350 idle workers, all of them whole workers. What a gang is about to use is
/// planned in equal parts on all workers that it asks about, so that no whole worker seems free.
#[test]
fn small_gangs_that_use_whole_workers_all_request_advice_in_an_idle_cell() {
    let mut cell = ready_cell(1, &labelled("a", 350));
    for index in 0..80 {
        let job = format!("gang-{index:02}");
        cell.accept(&job, vec![on("a", gang(2, 4))], dear(60_000));
    }

    let starts = starts_with_slow_advice(&mut cell);

    assert_eq!(starts.len(), 160);
}

/// A request fails later than its step asks again, as one to a silent peer does.
#[test]
fn late_failures_do_not_end_the_requests_that_replaced_them() {
    let mut cell = ready_cell(1, &labelled("a", 60));
    cell.accept("gang", vec![on("a", gang(12, 4))], dear(60_000));
    let lost = std::mem::take(&mut cell.advice);
    cell.tick(2_500);
    let replaced_by = std::mem::take(&mut cell.advice);
    assert!(!replaced_by.is_empty());

    for request in &lost {
        cell.scheduler.advice_answered(request, None, cell.now);
    }
    cell.tick(100);

    assert!(cell.advice.is_empty(), "{} more", cell.advice.len());
}
