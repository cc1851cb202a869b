//! The saved rows: accepted jobs, their progress, ended jobs and workers.

use jackdawchute_types::{Checkpoint, JobId, Occurrence, RunNumber, StepIndex, WorkerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use spdlog::error;

use crate::{
    job::Job,
    row_size::{numbered_key, RowNumber, ROW_BYTES_MAX},
    JobGraph, JobOutcome, QueuePolicy, RowChange, RowTable, WorkerEntry,
};

/// The row of an accepted job.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// The job as submitted.
    pub(crate) graph: JobGraph,
    /// The policy of the job's queue at its acceptance.
    pub(crate) queue: QueuePolicy,
    /// When the row was written, in Unix milliseconds; a later leader derives the job's age from
    /// it.
    pub(crate) accepted_unix_ms: u64,
}

/// The row of a job's progress.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ProgressRecord {
    /// The number of occurrences that are complete.
    pub(crate) occurrences_done: u32,
    /// The occurrences that are due and not complete.
    pub(crate) occurrences: Vec<Occurrence>,
    /// The units with progress; those that are missing have none.
    pub(crate) units: Vec<UnitRecord>,
}

/// The progress of one unit: a gang, or a single task.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct UnitRecord {
    #[serde(rename = "o")]
    pub(crate) occurrence: Occurrence,
    #[serde(rename = "s")]
    pub(crate) step: StepIndex,
    /// The index of the unit in its step.
    #[serde(rename = "u")]
    pub(crate) unit: u32,
    /// Whether the unit has succeeded.
    #[serde(rename = "d")]
    pub(crate) done: bool,
    /// The highest run number that may have been ordered when the row was written.
    #[serde(rename = "r")]
    pub(crate) last_run: RunNumber,
    /// The numbers of the runs that failed.
    #[serde(rename = "f")]
    pub(crate) failed_runs: Vec<RunNumber>,
    /// The checkpoint that the next run resumes from; empty if there is none.
    #[serde(rename = "c")]
    pub(crate) checkpoint: Checkpoint,
}

/// The outcome of an ended job; a row holds those of one commit.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EndedRecord {
    pub(crate) job: JobId,
    pub(crate) outcome: JobOutcome,
}

/// A worker that may run tasks; a row holds several.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WorkerRecord {
    pub(crate) worker: WorkerId,
    pub(crate) address: std::net::SocketAddr,
    /// Present in rows of versions that gave tasks to workers before their rows were saved.
    #[serde(default, rename = "service", skip_serializing)]
    earlier_service: Option<SmolStr>,
}

impl WorkerRecord {
    pub(crate) fn new(entry: &WorkerEntry) -> Self {
        Self {
            worker: entry.worker.clone(),
            address: entry.address,
            earlier_service: None,
        }
    }

    /// Returns whether workers that no row names may run tasks of the leader that wrote the row.
    pub(crate) fn allows_unsaved_workers(&self) -> bool {
        self.earlier_service.is_some()
    }

    /// Returns the most bytes that the record of a worker takes in its row, whatever address it
    /// has.
    pub(crate) fn bytes_max(worker: &WorkerId) -> usize {
        encoded("worker", worker).len() + WORKER_RECORD_BYTES_MAX
    }
}

/// The most bytes of a worker's record without its id: the names of the fields, and the longest
/// address.
const WORKER_RECORD_BYTES_MAX: usize = 96;

/// Returns the removal of a row.
pub(crate) fn removal(table: RowTable, key: SmolStr) -> RowChange {
    RowChange {
        table,
        key,
        value: None,
    }
}

/// Returns the write of a row.
pub(crate) fn saved_row<T: Serialize>(table: RowTable, key: SmolStr, record: &T) -> RowChange {
    let value = encoded(&key, record);
    RowChange {
        table,
        key,
        value: Some(value),
    }
}

/// Returns the writes of a record that is divided over as many rows as it needs.
pub(crate) fn divided_rows<T: Serialize>(table: RowTable, key: &str, record: &T) -> Vec<RowChange> {
    let value = encoded(key, record);
    let parts = (0 as RowNumber..).zip(value.chunks(ROW_BYTES_MAX));
    let row = |(number, part): (RowNumber, &[u8])| RowChange {
        table,
        key: numbered_key(key, number),
        value: Some(part.to_vec()),
    };
    parts.map(row).collect()
}

fn encoded<T: Serialize>(key: &str, record: &T) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_else(|cause| {
        error!("cannot encode saved row", kv: { key = key, cause: = cause });
        Vec::new()
    })
}

/// Returns the progress row of a job, with the units that have any progress.
pub(crate) fn progress_record(job: &Job) -> ProgressRecord {
    let mut record = ProgressRecord {
        occurrences_done: job.occurrences_done,
        ..ProgressRecord::default()
    };
    for occurrence_run in &job.occurrences {
        record.occurrences.push(occurrence_run.occurrence);
        for (step, step_run) in (0u32..).zip(&occurrence_run.steps) {
            for (index, unit) in (0u32..).zip(&step_run.units) {
                if unit.done || !unit.failed_runs.is_empty() || !unit.checkpoint.is_empty() {
                    record.units.push(UnitRecord {
                        occurrence: occurrence_run.occurrence,
                        step,
                        unit: index,
                        done: unit.done,
                        last_run: unit.last_run,
                        failed_runs: unit.failed_runs.clone(),
                        checkpoint: unit.checkpoint.clone(),
                    });
                }
            }
        }
    }
    record
}
