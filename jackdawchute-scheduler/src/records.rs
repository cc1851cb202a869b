//! The rows in which accepted jobs and their progress are saved.

use std::time::Instant;

use jackdawchute_types::{Checkpoint, JobId, Occurrence, RunNumber, StepIndex, WorkerId};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};
use spdlog::error;

use crate::{
    job::{Job, JobPhase},
    worker_rows::{row_key, row_of_key, RowIndex},
    CommitBatch, JobGraph, JobOutcome, QueuePolicy, RowChange, RowTable, Scheduler,
};

/// An accepted job as saved.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    pub(crate) graph: JobGraph,
    pub(crate) queue: QueuePolicy,
    /// When it was accepted, in Unix milliseconds; tells its age to a later owner.
    pub(crate) accepted_unix_ms: u64,
}

/// What is done of a job.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ProgressRecord {
    pub(crate) occurrences_done: u32,
    pub(crate) occurrences: Vec<Occurrence>,
    pub(crate) units: Vec<UnitRecord>,
}

/// What is known of one unit that has run.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct UnitRecord {
    #[serde(rename = "o")]
    pub(crate) occurrence: Occurrence,
    #[serde(rename = "s")]
    pub(crate) step: StepIndex,
    #[serde(rename = "u")]
    pub(crate) unit: u32,
    #[serde(rename = "d")]
    pub(crate) done: bool,
    #[serde(rename = "r")]
    pub(crate) last_run: RunNumber,
    #[serde(rename = "f")]
    pub(crate) failed_runs: Vec<RunNumber>,
    #[serde(rename = "c")]
    pub(crate) checkpoint: Checkpoint,
}

/// A job that ended.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EndedRecord {
    pub(crate) job: JobId,
    pub(crate) outcome: JobOutcome,
}

/// A worker that may run tasks.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WorkerRecord {
    pub(crate) worker: WorkerId,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) service: SmolStr,
}

/// Rows of workers take one byte in so many of a batch: a new owner of thousands saves them all, and
/// callers wait for the rest.
const WORKERS_DIVISOR: usize = 2;
/// One row in so many of a batch is kept for acceptances, if so many wait.
const ACCEPTANCES_DIVISOR: usize = 2;

impl Scheduler {
    /// Whether anything waits to be committed.
    pub fn has_unsaved(&self) -> bool {
        !self.accepting.is_empty()
            || !self.ending.is_empty()
            || !self.unsaved.is_empty()
            || !self.ends_unsaved.is_empty()
            || self.worker_rows.has_unsaved()
    }

    /// How many commits of at most `rows_max` rows it takes until a job that is submitted now is
    /// accepted, with the one that holds it.
    pub fn commits_until_accepted(&self, rows_max: usize) -> u32 {
        let per_commit = (rows_max / ACCEPTANCES_DIVISOR).max(1);
        let before = self.accepting.len() / per_commit;
        u32::try_from(before).map_or(u32::MAX, |before| before.saturating_add(1))
    }

    /// Takes what is to be committed next, of at most `rows_max` rows and about `bytes_max` bytes.
    ///
    /// Ends are taken note of only in a batch that holds all that followed from them.
    pub fn take_batch(
        &mut self,
        rows_max: usize,
        bytes_max: usize,
        unix_ms: u64,
    ) -> Option<CommitBatch> {
        if !self.has_unsaved() {
            return None;
        }
        let mut batch = CommitBatch::default();
        let mut bytes = 0;
        while bytes < bytes_max / WORKERS_DIVISOR {
            let Some(row) = self.worker_rows.take_unsaved() else {
                break;
            };
            push(&mut batch, &mut bytes, self.workers_row(row));
        }
        // A caller waits for each acceptance, and on a slow store the progress of running jobs
        // alone fills every batch.
        let kept = self.accepting.len().min(rows_max / ACCEPTANCES_DIVISOR);
        let room = |batch: &CommitBatch, bytes: usize| {
            batch.changes.len() + kept + 4 <= rows_max && bytes < bytes_max
        };
        let mut ended = Vec::new();
        while room(&batch, bytes) {
            let Some(id) = self.ending.pop() else { break };
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let JobPhase::Ending(outcome) = job.phase else {
                continue;
            };
            self.unsaved.remove(&id);
            push(&mut batch, &mut bytes, remove(RowTable::Jobs, &id));
            if job.progress_saved {
                push(&mut batch, &mut bytes, remove(RowTable::Progress, &id));
            }
            ended.push(EndedRecord {
                job: id.clone(),
                outcome,
            });
            batch.ended.push(id);
        }
        if !ended.is_empty() {
            self.ended_rows_counter += 1;
            let key = format_smolstr!("{:016x}-{:08x}", self.epoch, self.ended_rows_counter);
            push(
                &mut batch,
                &mut bytes,
                encode(RowTable::Ended, key.clone(), &ended),
            );
            batch.ended_row = Some(key);
        }
        while room(&batch, bytes) {
            let Some(id) = self.unsaved.pop_first() else {
                break;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.phase == JobPhase::Live {
                job.progress_saved = true;
                push(
                    &mut batch,
                    &mut bytes,
                    encode(RowTable::Progress, id, &progress(job)),
                );
            }
        }
        let all = self.unsaved.is_empty() && self.ending.is_empty();
        if all {
            for id in std::mem::take(&mut self.ends_unsaved) {
                if let Some(worker) = self.workers.get(&id) {
                    batch
                        .ends_noted
                        .push((id, worker.incarnations_seen, worker.ends_noted));
                }
            }
        }
        while batch.changes.len() < rows_max && bytes < bytes_max {
            let Some(id) = self.accepting.pop_front() else {
                break;
            };
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let record = JobRecord {
                graph: job.graph.clone(),
                queue: job.queue.clone(),
                accepted_unix_ms: unix_ms,
            };
            push(
                &mut batch,
                &mut bytes,
                encode(RowTable::Jobs, id.clone(), &record),
            );
            batch.accepted.push(id);
        }
        Some(batch)
    }

    /// Takes note that a batch is committed.
    pub fn committed(&mut self, batch: &CommitBatch, now: Instant) {
        for id in &batch.accepted {
            if let Some(job) = self.jobs.get_mut(id) {
                job.phase = JobPhase::Live;
            }
        }
        for id in &batch.ended {
            if let Some(job) = self.jobs.remove(id) {
                self.placeable.remove(id);
                if let JobPhase::Ending(outcome) = job.phase {
                    let ended = crate::state::Ended { outcome, at: now };
                    self.ended.insert(id.clone(), ended);
                }
            }
        }
        if let Some(key) = &batch.ended_row {
            self.ended_rows.push_back((now, key.clone()));
        }
        for (id, incarnations_seen, number) in &batch.ends_noted {
            let worker = self.workers.get_mut(id);
            if let Some(worker) =
                worker.filter(|worker| worker.incarnations_seen == *incarnations_seen)
            {
                worker.ends_saved = worker.ends_saved.max(*number);
                worker.renewal_next_at = now;
            }
        }
        self.place_needed = true;
    }

    /// Takes back a batch that surely has not been and will not be committed.
    ///
    /// Returns the jobs whose acceptance was part of it; they will never run.
    pub fn not_committed(&mut self, batch: &CommitBatch) -> Vec<JobId> {
        for change in &batch.changes {
            match change.table {
                RowTable::Progress if change.value.is_some() => {
                    self.unsaved.insert(change.key.clone());
                }
                RowTable::Workers => self.worker_rows.changed(row_of_key(&change.key)),
                RowTable::Ended if change.value.is_none() => {
                    self.ended_rows
                        .push_front((self.began_at, change.key.clone()));
                }
                _ => {}
            }
        }
        self.ending.extend(batch.ended.iter().cloned());
        let workers = batch.ends_noted.iter().map(|(worker, _, _)| worker.clone());
        self.ends_unsaved.extend(workers);
        for job in &batch.accepted {
            self.jobs.remove(job);
            self.placeable.remove(job);
        }
        batch.accepted.clone()
    }

    /// The saved rows of ended jobs that are no longer asked for.
    pub fn take_expired_rows(&mut self, rows_max: usize, now: Instant) -> Vec<RowChange> {
        let mut expired = Vec::new();
        while expired.len() < rows_max {
            match self.ended_rows.front() {
                Some((at, _))
                    if now.saturating_duration_since(*at) > self.settings.ended_retention =>
                {
                    if let Some((_, key)) = self.ended_rows.pop_front() {
                        expired.push(remove(RowTable::Ended, &key));
                    }
                }
                _ => break,
            }
        }
        expired
    }

    fn workers_row(&self, row: RowIndex) -> RowChange {
        let record = |worker: &crate::worker::Worker| WorkerRecord {
            worker: worker.entry.worker.clone(),
            address: worker.entry.address,
            service: worker.entry.service.clone(),
        };
        // What is not listed and runs nothing cannot run anything later.
        let matters = |worker: &&crate::worker::Worker| {
            worker.row == row && (worker.listed || !worker.runs.is_empty())
        };
        let records: Vec<WorkerRecord> =
            self.workers.values().filter(matters).map(record).collect();
        encode(RowTable::Workers, row_key(row), &records)
    }
}

fn push(batch: &mut CommitBatch, bytes: &mut usize, change: RowChange) {
    *bytes += change.value.as_ref().map_or(0, Vec::len);
    batch.changes.push(change);
}

fn remove(table: RowTable, key: &SmolStr) -> RowChange {
    RowChange {
        table,
        key: key.clone(),
        value: None,
    }
}

fn encode<T: Serialize>(table: RowTable, key: SmolStr, record: &T) -> RowChange {
    let value = serde_json::to_vec(record).unwrap_or_else(|cause| {
        error!("record does not encode", kv: { key = key.as_str(), cause: = cause });
        Vec::new()
    });
    RowChange {
        table,
        key,
        value: Some(value),
    }
}

fn progress(job: &Job) -> ProgressRecord {
    let mut record = ProgressRecord {
        occurrences_done: job.occurrences_done,
        ..ProgressRecord::default()
    };
    for run in &job.occurrences {
        record.occurrences.push(run.occurrence);
        for (step, step_run) in (0u32..).zip(&run.steps) {
            for (index, unit) in (0u32..).zip(&step_run.units) {
                if unit.done || !unit.failed_runs.is_empty() || !unit.checkpoint.is_empty() {
                    record.units.push(UnitRecord {
                        occurrence: run.occurrence,
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
