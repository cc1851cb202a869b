//! Checks on the records of workers.

use std::collections::BTreeMap;

use jackdawchute_trial::worker::{TaskRun, WorkerRecord};
use jackdawchute_types::{TaskId, WorkerId};

use super::Violation;

/// Finds workers whose running tasks declared more resources than the worker has.
pub fn within_size(records: &[WorkerRecord]) -> Vec<Violation> {
    records
        .iter()
        .map(|record| (record, record.max_charge()))
        .filter(|(record, charge)| !charge.fits_in(&record.resources))
        .map(|(record, charge)| Violation::BeyondSize {
            worker: record.worker.clone(),
            size: record.resources,
            charge,
        })
        .collect()
}

/// Finds tasks of which two attempts overlapped, on two workers or on one.
///
/// ```
/// use jackdawchute_standins::checker::one_place_at_a_time;
///
/// assert_eq!(one_place_at_a_time(&[]), []);
/// ```
pub fn one_place_at_a_time(records: &[WorkerRecord]) -> Vec<Violation> {
    let mut runs_per_task: BTreeMap<&TaskId, Vec<(&WorkerId, &TaskRun)>> = BTreeMap::new();
    for record in records {
        for run in &record.runs {
            let runs = runs_per_task.entry(&run.task).or_default();
            runs.push((&record.worker, run));
        }
    }
    runs_per_task.into_values().flat_map(overlaps).collect()
}

fn overlaps(runs: Vec<(&WorkerId, &TaskRun)>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, first) in runs.iter().enumerate() {
        for second in &runs[index + 1..] {
            if first.1.overlaps(second.1) {
                violations.push(Violation::TwoPlaces {
                    task: first.1.task.clone(),
                    first: (first.0.clone(), first.1.attempt),
                    second: (second.0.clone(), second.1.attempt),
                });
            }
        }
    }
    violations
}
