//! What a cell of thousands of workers asks of its scheduling instance.

use std::collections::BTreeMap;

use crate::fixtures::*;
use jackdawchute_scheduler::{RenewOrder, WorkerEntry};

/// The most first looks at a time: what an instance with a quarter of a core gets done in time.
const FIRST_RENEWALS_MAX: usize = 400;

fn entries(workers: usize) -> Vec<WorkerEntry> {
    let names = (0..workers).map(|index| format!("worker-{index:04}"));
    names.map(|name| entry(&name, 4)).collect()
}

/// Answers all looks at once, for some time; returns how many there were for each worker.
fn answer_all(cell: &mut Cell, for_ms: u64) -> BTreeMap<String, usize> {
    let mut looks = BTreeMap::new();
    for _ in 0..for_ms / 50 {
        let renewals: Vec<RenewOrder> = std::mem::take(&mut cell.renewals);
        for renewal in renewals {
            *looks.entry(renewal.worker.to_string()).or_default() += 1;
            cell.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
        cell.tick(50);
    }
    looks
}

#[test]
fn a_new_owner_looks_at_a_few_hundred_workers_at_a_time() {
    let mut cell = cell(1, &entries(3_000));

    cell.tick(1);
    let first = cell.renewals.len();
    let looks = answer_all(&mut cell, 1_000);

    assert!(first <= FIRST_RENEWALS_MAX, "{first} looks at once");
    assert_eq!(looks.len(), 3_000);
}

#[test]
fn idle_workers_of_a_large_cell_are_looked_at_rarely() {
    let mut cell = cell(1, &entries(3_000));
    answer_all(&mut cell, 1_000);

    let looks = answer_all(&mut cell, 5_000);

    let all: usize = looks.values().sum();
    assert!(all <= 3_000, "{all} looks in five seconds");
}

#[test]
fn a_worker_of_a_large_cell_is_looked_at_once_it_gets_a_task() {
    let mut cell = cell(1, &entries(3_000));
    answer_all(&mut cell, 1_000);
    cell.renewals.clear();

    cell.accept("job", vec![step(1, 1)], queue(0));
    cell.tick(50);

    let start = cell.take_starts().remove(0);
    let looked_at = cell
        .renewals
        .iter()
        .any(|renewal| renewal.worker == start.worker);
    assert!(looked_at);
}

#[test]
fn idle_workers_of_a_usual_cell_are_watched_all_the_time() {
    let mut cell = settled_cell(1, &entries(350));
    answer_all(&mut cell, 100);

    let looks = answer_all(&mut cell, 1_000);

    let fewest = looks.values().min().copied().unwrap_or_default();
    assert_eq!(looks.len(), 350);
    assert!(
        fewest >= 10,
        "a worker was looked at {fewest} times in a second"
    );
}

#[test]
fn an_owner_meets_its_workers_until_all_have_told_what_they_run() {
    let mut cell = cell(1, &entries(1_000));
    cell.tick(1);

    let at_first = cell.scheduler.awaits_first_renewals(cell.now);
    answer_all(&mut cell, 500);

    assert!(at_first);
    assert!(!cell.scheduler.awaits_first_renewals(cell.now));
}
