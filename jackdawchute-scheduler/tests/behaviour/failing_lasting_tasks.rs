//! Lasting tasks that end soon after each start, beside other jobs.

use std::{collections::BTreeMap, time::Duration};

use jackdawchute_scheduler::{
    EndReason, EndedRun, RenewOrder, Settings, StartOrder, StepSpec, WorkerEntry,
};
use jackdawchute_types::{Resources, WorkerId};

use crate::fixtures::*;

/// For how long an accepted job may have nothing running beside room.
const WITHOUT_RUN_MAX: Duration = Duration::from_secs(3);
/// How long after its last run a lasting task may not run, beside room.
const RESTART_MAX: Duration = Duration::from_secs(6);
/// How long a failing task runs.
const TICK_MS: u64 = 10;

/// Workers that end each run of the job `lasting` a tick after its start.
struct FailingService {
    cell: Cell,
    renewals: BTreeMap<WorkerId, RenewOrder>,
    ends: BTreeMap<WorkerId, Vec<EndedRun>>,
    /// The starts of other jobs.
    others: Vec<StartOrder>,
    /// When each run of its tasks began.
    began: Vec<(u32, Duration)>,
}

fn lasting_step(tasks: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        resources: Resources::new(50, 10, 0),
        ..step(tasks, 1)
    }
}

fn failing_service(workers: &[&str], tasks: u32) -> FailingService {
    let settings = Settings {
        starts_under_way_max: 62,
        ..Settings::default()
    };
    let entries: Vec<WorkerEntry> = workers.iter().map(|worker| entry(worker, 32)).collect();
    let cell = make_ready(cell_with_settings(settings, 1, &entries), workers.len());
    let mut service = FailingService {
        cell,
        renewals: BTreeMap::new(),
        ends: BTreeMap::new(),
        others: Vec::new(),
        began: Vec::new(),
    };
    let cell = &mut service.cell;
    cell.accept("lasting", vec![lasting_step(tasks)], queue(1));
    service
}

impl FailingService {
    /// Lets the workers run for a time, with a round of the scheduler each tick.
    fn run(&mut self, time: Duration) {
        let end = self.cell.now + time;
        while self.cell.now < end {
            self.cell.tick(TICK_MS);
            self.report_ends();
            for start in self.cell.take_starts() {
                self.cell.confirm_start(&start);
                if start.task.step.job == "lasting" {
                    self.began.push((start.task.index, self.elapsed()));
                    let ends = self.ends.entry(start.worker.clone()).or_default();
                    ends.push(ended(0, &start, EndReason::Failed));
                } else {
                    self.others.push(start);
                }
            }
        }
    }

    fn report_ends(&mut self) {
        for renewal in std::mem::take(&mut self.cell.renewals) {
            self.renewals.insert(renewal.worker.clone(), renewal);
        }
        for (worker, renewal) in std::mem::take(&mut self.renewals) {
            let mut ends = self.ends.remove(&worker).unwrap_or_default();
            for (number, end) in (renewal.ends_recorded + 1..).zip(&mut ends) {
                end.number = number;
            }
            let others = self.others.iter().filter(|start| start.worker == worker);
            let others = others.map(running).collect();
            self.cell.answer_renewal(&renewal, others, ends);
        }
        self.cell.commit();
    }

    fn elapsed(&self) -> Duration {
        self.cell.now - self.cell.began_at
    }

    /// Returns how long ago the task began that has not begun for the longest time.
    fn longest_without_start(&self) -> Duration {
        let last_began: BTreeMap<u32, Duration> = self.began.iter().copied().collect();
        let earliest = last_began.into_values().min();
        self.elapsed() - earliest.expect("a task has begun")
    }

    /// The times between the starts of a task.
    fn pauses(&self, index: u32) -> Vec<Duration> {
        let began = self.began.iter().filter(|(of_task, _)| *of_task == index);
        let began: Vec<Duration> = began.map(|(_, at)| *at).collect();
        began.windows(2).map(|pair| pair[1] - pair[0]).collect()
    }
}

/// review/11: the failing tasks took all starts of each round, for good.
#[test]
fn a_job_starts_beside_many_lasting_tasks_that_fail_at_once() {
    let mut service = failing_service(&["w1", "w2", "w3", "w4"], 800);
    service.run(Duration::from_secs(5));

    service.cell.accept("later", vec![step(2, 1)], queue(1));
    service.run(WITHOUT_RUN_MAX);

    assert_eq!(service.others.len(), 2);
}

#[test]
fn all_tasks_of_the_largest_job_that_fail_again_and_again_are_restarted_in_time() {
    let mut service = failing_service(&["w1", "w2", "w3", "w4"], 10_000);

    service.run(Duration::from_secs(20));

    assert!(service.longest_without_start() < RESTART_MAX);
}

/// With as many tasks as a job may have, also while they begin to fail.
#[test]
fn a_job_starts_beside_the_largest_job_of_lasting_tasks_that_begin_to_fail() {
    let mut service = failing_service(&["w1", "w2", "w3", "w4"], 10_000);
    service.run(Duration::from_millis(100));

    service.cell.accept("later", vec![step(2, 1)], queue(1));
    service.run(WITHOUT_RUN_MAX);

    assert_eq!(service.others.len(), 2);
}

#[test]
fn a_lasting_task_that_fails_again_and_again_is_restarted_in_time() {
    let mut service = failing_service(&["w1", "w2"], 1);

    service.run(Duration::from_secs(60));

    let pauses = service.pauses(0);
    let longest = pauses.iter().max().expect("the task starts again");
    assert!(*longest < RESTART_MAX, "{pauses:?}");
    assert!(pauses.len() < 30, "{pauses:?}");
}

/// Most lasting tasks that fail are sound, and earn only while they run.
#[test]
fn a_lasting_task_that_fails_once_is_restarted_at_once() {
    let mut service = failing_service(&["w1", "w2"], 1);

    service.run(Duration::from_millis(200));

    assert!(service.pauses(0)[0] <= Duration::from_millis(50));
}
