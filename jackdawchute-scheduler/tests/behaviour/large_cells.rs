//! The lease renewals of a leader with thousands of workers.

use std::{collections::BTreeMap, time::Instant};

use crate::fixtures::*;
use jackdawchute_scheduler::{RenewOrder, WorkerEntry};

/// How long an order to a silent worker waits for its answer.
const ORDER_TIMEOUT_MS: u64 = 700;
/// How long an accepted job may stand still beside room, by the users' rules.
const STANDSTILL_MAX_MS: u64 = 3_000;

fn entries(workers: usize) -> Vec<WorkerEntry> {
    let names = (0..workers).map(|index| format!("worker-{index:04}"));
    names.map(|name| entry(&name, 4)).collect()
}

/// Answers every renewal without delay for `for_ms` milliseconds; returns the number of renewals of
/// each worker.
fn answer_all_renewals(cell: &mut Cell, for_ms: u64) -> BTreeMap<String, usize> {
    let mut renewal_counts = BTreeMap::new();
    for _ in 0..for_ms / 50 {
        let renewals: Vec<RenewOrder> = std::mem::take(&mut cell.renewals);
        for renewal in renewals {
            *renewal_counts
                .entry(renewal.worker.to_string())
                .or_default() += 1;
            cell.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
        cell.tick(50);
    }
    renewal_counts
}

/// If a new leader sent first renewals to all workers at once, it could not complete them in time,
/// and would count workers as silent.
#[test]
fn a_new_leader_renews_a_few_hundred_workers_at_a_time() {
    let mut cell = cell(1, &entries(3_000));

    cell.tick(1);
    let first = cell.renewals.len();
    let renewal_counts = answer_all_renewals(&mut cell, 1_000);

    assert!(first <= FIRST_RENEWALS_MAX, "{first} renewals at once");
    assert_eq!(renewal_counts.len(), 3_000);
}

#[test]
fn idle_workers_of_a_large_cell_are_renewed_rarely() {
    let mut cell = cell(1, &entries(3_000));
    answer_all_renewals(&mut cell, 1_000);

    let renewal_counts = answer_all_renewals(&mut cell, 5_000);

    let all: usize = renewal_counts.values().sum();
    assert!(all <= 3_000, "{all} renewals in five seconds");
}

#[test]
fn a_worker_of_a_large_cell_is_renewed_as_soon_as_it_gets_a_task() {
    let mut cell = cell(1, &entries(3_000));
    answer_all_renewals(&mut cell, 1_000);
    cell.renewals.clear();

    cell.accept("job", vec![step(1, 1)], queue(0));
    cell.tick(50);

    let start = cell.take_starts().remove(0);
    let is_renewed = cell
        .renewals
        .iter()
        .any(|renewal| renewal.worker == start.worker);
    assert!(is_renewed);
}

#[test]
fn idle_workers_of_a_cell_of_usual_size_are_renewed_without_a_pause() {
    let mut cell = ready_cell(1, &entries(350));
    answer_all_renewals(&mut cell, 100);

    let renewal_counts = answer_all_renewals(&mut cell, 1_000);

    let fewest = renewal_counts.values().min().copied().unwrap_or_default();
    assert_eq!(renewal_counts.len(), 350);
    assert!(
        fewest >= 10,
        "a worker was renewed {fewest} times in a second"
    );
}

#[test]
fn a_new_leader_awaits_first_renewals_until_all_workers_have_reported() {
    let names: Vec<String> = (0..1_000)
        .map(|index| format!("worker-{index:04}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let first = ready_cell(1, &entries(1_000));
    let mut cell = successor(2, &first.saved, &names);

    let awaited_before = cell.scheduler.awaits_first_renewals(cell.now);
    answer_all_renewals(&mut cell, 500);

    assert!(awaited_before);
    assert!(!cell.scheduler.awaits_first_renewals(cell.now));
}

/// Each renewal to a silent worker takes one of the renewals that may be under way until it times out.
/// The workers behind more silent ones than that must be asked all the same.
#[test]
fn silent_workers_keep_none_from_its_first_renewal() {
    let mut cell = cell(1, &entries(1_000));
    let mut under_way: Vec<(Instant, RenewOrder)> = Vec::new();
    let mut asked = BTreeMap::new();

    for elapsed_ms in (0..STANDSTILL_MAX_MS).step_by(50) {
        cell.tick(50);
        for renewal in std::mem::take(&mut cell.renewals) {
            asked.entry(renewal.worker.clone()).or_insert(elapsed_ms);
            under_way.push((cell.now, renewal));
        }
        let (timed_out, waiting) = under_way
            .into_iter()
            .partition(|(sent_at, _)| cell.now >= *sent_at + ms(ORDER_TIMEOUT_MS));
        under_way = waiting;
        let timed_out: Vec<(Instant, RenewOrder)> = timed_out;
        for (sent_at, renewal) in timed_out {
            cell.scheduler.renew_failed(&renewal, sent_at, cell.now);
        }
    }

    assert_eq!(asked.len(), 1_000);
}
