//! Orders without an answer that a worker may carry out in a later incarnation, and leases that
//! stray orders may have extended there.

use std::time::Duration;

use jackdawchute_scheduler::{
    AdviceAnswer, JobStatus, RenewAnswer, RunningTask, StartAnswer, StartOrder, StepSpec,
    WorkerEntry,
};

use crate::fixtures::*;

/// The longest time after which a worker carries an order out.
pub const LATE_ORDER_MAX: Duration = Duration::from_secs(12);
/// The longest lease that a worker takes.
pub const HOLD_MAX: Duration = Duration::from_secs(10);
/// The longest time in which the tasks of a silent worker whose lease has lapsed start elsewhere.
pub const LAPSE_MAX: Duration = Duration::from_secs(7);
/// The longest time in which a new leader has recovered in spite of a silent worker.
pub const RECOVERY_MAX: Duration = Duration::from_secs(9);
/// How long a test waits for a start.
const WAIT_MAX: Duration = Duration::from_secs(40);

/// A step of one task that makes progress for as long as a test runs.
pub fn long_step() -> StepSpec {
    StepSpec {
        estimate: ms(60_000),
        ..step(1, 2)
    }
}

/// Workers of which one may be silent; the others answer at once and run what they were ordered.
pub struct Workers {
    silent: Option<&'static str>,
    running: Vec<StartOrder>,
    pub passed: Duration,
    /// The starts that were confirmed, with the time that had passed.
    started: Vec<(Duration, StartOrder)>,
}

impl Workers {
    pub fn new(silent: Option<&'static str>, running: &[StartOrder]) -> Self {
        Self {
            silent,
            running: running.to_vec(),
            passed: Duration::ZERO,
            started: Vec::new(),
        }
    }

    pub fn lists(&self, worker: &str) -> Vec<RunningTask> {
        let there = self.running.iter().filter(|start| start.worker == worker);
        let percent = self.passed.as_secs() as u32;
        let listed = there.map(|start| RunningTask {
            percent,
            ..running(start)
        });
        listed.collect()
    }

    /// Lets 100 ms pass.
    pub fn step(&mut self, cell: &mut Cell) {
        let silent = self.silent;
        let is_silent = |worker: &str| silent == Some(worker);
        for renewal in std::mem::take(&mut cell.renewals) {
            if is_silent(&renewal.worker) {
                cell.scheduler.renew_failed(&renewal, cell.now, cell.now);
            } else {
                let listed = self.lists(&renewal.worker);
                cell.answer_renewal(&renewal, listed, Vec::new());
            }
        }
        for stop in cell.take_stops() {
            let clock = Some(cell.clock()).filter(|_| !is_silent(&stop.worker));
            cell.scheduler
                .stop_answered(&stop.worker, &stop.task, stop.run, clock, cell.now);
        }
        for request in std::mem::take(&mut cell.advice) {
            let named = request.workers.iter();
            let answer = AdviceAnswer {
                allowed: named.map(|it| (it.clone(), "ticket".into())).collect(),
            };
            cell.scheduler
                .advice_answered(&request, Some(answer), cell.now);
        }
        cell.tick(100);
        cell.commit();
        self.passed += ms(100);
        let (unanswered, started): (Vec<_>, Vec<_>) = cell
            .take_starts()
            .into_iter()
            .partition(|start| is_silent(&start.worker));
        for start in &unanswered {
            cell.answer_start(start, StartAnswer::Unknown);
        }
        for start in &started {
            cell.confirm_start(start);
        }
        for start in started {
            self.running.push(start.clone());
            self.started.push((self.passed, start));
        }
    }

    /// The starts that were confirmed.
    pub fn starts(&self) -> Vec<StartOrder> {
        let started = self.started.iter();
        started.map(|(_, start)| start.clone()).collect()
    }

    /// Lets time pass until a task of the job has started; returns how long that took.
    pub fn wait_for_start(&mut self, cell: &mut Cell, job: &str) -> Duration {
        loop {
            let of_job = |(_, start): &&(Duration, StartOrder)| start.task.step.job == job;
            if let Some((passed, _)) = self.started.iter().find(of_job) {
                return *passed;
            }
            assert!(self.passed < WAIT_MAX, "{job} does not start");
            self.step(cell);
        }
    }
}

/// Lists another worker and makes it answer.
pub fn add_worker(cell: &mut Cell, worker: &str) {
    cell.scheduler.worker_listed(entry(worker, 4), cell.now);
    cell.tick(1);
    let renewal = cell.latest_renewal_of(worker);
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(1);
    cell.commit();
}

/// A cell whose only worker got this start, which has no answer.
pub fn cell_with_an_unanswered_start() -> (Cell, StartOrder) {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![long_step()], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Unknown);
    (cell, start)
}

/// The order may be carried out behind a cut, by an incarnation that knows nothing of its token and
/// whose clock starts anew.
#[test]
fn a_start_without_an_answer_is_not_given_up_while_a_new_incarnation_may_begin_it() {
    let (mut cell, _) = cell_with_an_unanswered_start();
    add_worker(&mut cell, "w2");

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}

#[test]
fn a_start_that_was_answered_is_given_up_with_the_lease() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![long_step()], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    add_worker(&mut cell, "w2");

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took <= LAPSE_MAX, "{took:?}");
}

/// A cell whose start was confirmed when it was repeated; the first copy has no answer.
fn cell_with_a_confirmed_copy() -> (Cell, StartOrder) {
    let (mut cell, _) = cell_with_an_unanswered_start();
    cell.tick(200);
    let repeated = cell.take_starts().remove(0);
    cell.confirm_start(&repeated);
    add_worker(&mut cell, "w2");
    (cell, repeated)
}

#[test]
fn a_run_whose_start_was_confirmed_is_kept_while_an_unanswered_copy_may_begin_later() {
    let (mut cell, repeated) = cell_with_a_confirmed_copy();

    let took = Workers::new(Some("w1"), &[repeated]).wait_for_start(&mut cell, "job");

    assert!(took >= LATE_ORDER_MAX + HOLD_MAX - ms(300), "{took:?}");
}

#[test]
fn a_run_is_given_up_with_the_lease_once_no_copy_of_its_start_can_begin() {
    let (mut cell, repeated) = cell_with_a_confirmed_copy();
    let mut workers = Workers::new(None, &[repeated]);
    while workers.passed < LATE_ORDER_MAX + ms(1_000) {
        workers.step(&mut cell);
    }
    let started_before = workers.started.len();
    let silent_from = workers.passed;

    workers.silent = Some("w1");
    let took = workers.wait_for_start(&mut cell, "job") - silent_from;

    assert_eq!(started_before, 0);
    assert!(took <= LAPSE_MAX, "{took:?}");
}

/// The rows of a leader whose worker w1 may begin the task of `late` and runs that of `other`.
fn successor_of_an_unanswered_start() -> Cell {
    let mut earlier = ready_cell(1, &[entry("w1", 4)]);
    earlier.accept("late", vec![long_step()], queue(0));
    let late = earlier.take_starts().remove(0);
    earlier.accept("other", vec![long_step()], queue(0));
    let other = earlier.take_starts().remove(0);
    earlier.confirm_start(&other);
    earlier.answer_start(&late, StartAnswer::Unknown);
    earlier.commit();
    earlier.tick(50);
    earlier.commit();
    successor(2, &earlier.saved, &["w1", "w2"])
}

#[test]
fn a_task_that_an_earlier_leaders_unanswered_start_may_begin_waits_for_its_worker() {
    let mut cell = successor_of_an_unanswered_start();
    let mut workers = Workers::new(Some("w1"), &[]);

    let other_took = workers.wait_for_start(&mut cell, "other");
    let took = workers.wait_for_start(&mut cell, "late");

    assert!(other_took <= RECOVERY_MAX, "{other_took:?}");
    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}

#[test]
fn a_task_that_an_earlier_leaders_unanswered_start_may_begin_starts_once_its_worker_has_reported() {
    let mut cell = successor_of_an_unanswered_start();

    let took = Workers::new(None, &[]).wait_for_start(&mut cell, "late");

    assert!(took <= ms(500), "{took:?}");
}

/// Another writer's row names a task that the step lacks.
#[test]
fn a_saved_late_start_of_no_task_of_its_unit_holds_nothing_up() {
    let mut earlier = ready_cell(1, &[entry("w1", 4)]);
    earlier.accept("late", vec![long_step()], queue(0));
    let late = earlier.take_starts().remove(0);
    earlier.answer_start(&late, StartAnswer::Unknown);
    earlier.commit();
    let mut rows = earlier.saved.clone();
    for value in rows.iter_mut().filter_map(|row| row.value.as_mut()) {
        let text = String::from_utf8(std::mem::take(value)).expect("rows are JSON");
        *value = text.replace("[[0,\"w1\"", "[[7,\"w1\"").into_bytes();
    }
    let mut cell = successor(2, &rows, &["w1", "w2"]);

    let took = Workers::new(None, &[]).wait_for_start(&mut cell, "late");

    assert_ne!(rows, earlier.saved);
    assert!(took <= ms(500), "{took:?}");
}

/// The order can't be carried out any more, whatever becomes of the worker.
#[test]
fn a_copy_of_a_start_that_is_over_holds_up_no_successor() {
    let (mut earlier, repeated) = cell_with_a_confirmed_copy();
    let mut workers = Workers::new(None, &[repeated]);
    while workers.passed < LATE_ORDER_MAX + ms(2_000) {
        workers.step(&mut earlier);
    }
    let mut cell = successor(2, &earlier.saved, &["w1", "w2"]);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took <= RECOVERY_MAX, "{took:?}");
}

#[test]
fn a_job_whose_only_start_got_no_answer_is_queued_after_a_takeover() {
    let (mut earlier, _) = cell_with_an_unanswered_start();
    earlier.commit();
    let before = earlier.scheduler.status(&"job".into());

    let cell = successor(2, &earlier.saved, &["w1", "w2"]);

    assert_eq!(before, JobStatus::Queued);
    assert_eq!(cell.scheduler.status(&"job".into()), before);
}

/// Answers as the second incarnation of w1 until it has acknowledged its token, and lists it.
pub fn restart(cell: &mut Cell) {
    for _ in 0..2 {
        let renewal = cell.latest_renewal_of("w1");
        cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
        cell.tick(10);
    }
    let entry = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };
    cell.scheduler.worker_listed(entry, cell.now);
    cell.tick(10);
}

/// A cell whose worker w1 was restarted, and then runs a task.
fn cell_with_a_run_after_a_restart() -> Cell {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(10);
    restart(&mut cell);
    cell.accept("job", vec![long_step()], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    add_worker(&mut cell, "w2");
    cell
}

/// Until it acknowledged the raised token, the new incarnation may have taken an order to the former
/// one, whose lease end lies far ahead of its clock.
#[test]
fn the_lease_of_a_restarted_worker_counts_for_the_longest_hold() {
    let mut cell = cell_with_a_run_after_a_restart();

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= HOLD_MAX - ms(100), "{took:?}");
}

/// Answers the latest renewal of w1, if there is one, as its incarnation that started at
/// `started_unix_ms`.
fn answer_latest(cell: &mut Cell, started_unix_ms: u64) {
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&renewal, started_unix_ms, Vec::new(), Vec::new());
    cell.tick(10);
}

/// The time of day was set back between two incarnations. The renewal was sent after the former one
/// had been heard, so that its answer can't be an overtaken one.
#[test]
fn a_new_incarnation_with_an_earlier_start_time_is_noticed() {
    let listed = |started_unix_ms| WorkerEntry {
        started_unix_ms,
        ..entry("w1", 4)
    };
    let mut cell = cell(1, &[listed(5)]);
    cell.tick(1);
    answer_latest(&mut cell, 5);
    cell.commit();
    let renewal = cell.latest_renewal_of("w1");

    cell.tick(100);
    for _ in 0..2 {
        answer_latest(&mut cell, 3);
    }
    cell.scheduler.worker_listed(listed(3), cell.now);
    cell.accept("job", vec![step(1, 2)], queue(0));
    cell.tick(10);

    let raised = cell.latest_renewal_of("w1");
    assert!(raised.token > renewal.token);
    let starts = cell.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].token, raised.token);
}

#[test]
fn an_overtaken_answer_of_the_former_incarnation_changes_nothing() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(10);
    let (overtaken, sent_at) = (cell.latest_renewal_of("w1"), cell.now);
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };
    cell.scheduler.worker_listed(restarted, cell.now);
    cell.tick(10);
    for _ in 0..2 {
        answer_latest(&mut cell, 2);
    }
    let token = cell.latest_renewal_of("w1").token;

    let answer = RenewAnswer {
        started_unix_ms: 1,
        clock: cell.clock(),
        running: Vec::new(),
        ended: Vec::new(),
        ends_left_out: 0,
        ended_complete: true,
    };
    cell.scheduler
        .renew_answered(&overtaken, sent_at, answer, cell.now);
    cell.accept("job", vec![step(1, 2)], queue(0));
    cell.tick(10);

    assert_eq!(cell.latest_renewal_of("w1").token, token);
    assert_eq!(cell.take_starts().len(), 1);
}

/// The row of a worker that is not listed goes before the last order to it can't be carried out any
/// more, and its next incarnation may carry that out before it has heard the new leader.
#[test]
fn a_new_leader_counts_the_longest_hold_on_a_worker_without_a_row_that_a_start_is_under_way_to() {
    let (mut predecessor, _) = cell_with_an_unanswered_start();
    predecessor
        .scheduler
        .worker_unlisted(&"w1".into(), predecessor.now);
    let mut silent = Workers::new(Some("w1"), &[]);
    while silent.passed < LAPSE_MAX {
        silent.step(&mut predecessor);
    }
    let mut cell = successor(2, &predecessor.saved, &[]);
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };
    cell.scheduler.worker_listed(restarted, cell.now);
    cell.started_unix_ms = 2;
    let mut cell = make_ready(cell, 1);
    cell.tick(1);
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.started_unix_ms = 1;
    add_worker(&mut cell, "w2");

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= HOLD_MAX, "{took:?}");
}

#[test]
fn a_start_of_an_earlier_leader_waits_for_the_authority_of_that_leader() {
    const EARLIER_AUTHORITY_MAX: Duration = Duration::from_secs(20);
    let (mut predecessor, _) = cell_with_an_unanswered_start();
    predecessor.commit();
    let mut cell = successor(2, &predecessor.saved, &["w1", "w2"]);
    cell.earlier_until = cell.now + EARLIER_AUTHORITY_MAX;

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= EARLIER_AUTHORITY_MAX + HOLD_MAX, "{took:?}");
}

/// An earlier copy has begun the run, and the later one may begin it again after a restart.
#[test]
fn a_repeated_start_without_an_answer_keeps_its_task_although_the_run_was_listed() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![long_step()], queue(0));
    let start = cell.take_starts().remove(0);
    cell.tick(100);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, vec![running(&start)], Vec::new());
    cell.answer_start(&start, StartAnswer::Unknown);
    add_worker(&mut cell, "w2");

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}
