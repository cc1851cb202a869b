//! The saved rows: accepted jobs, their progress, ended jobs and workers.

use std::time::Instant;

use jackdawchute_types::{Checkpoint, JobId, Occurrence, RunNumber, StepIndex, WorkerId};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};
use spdlog::error;

use crate::{
    job::{Job, JobPhase},
    worker_rows::{row_index, row_key, RowIndex},
    CommitBatch, JobGraph, JobOutcome, QueuePolicy, RowChange, RowTable, Scheduler,
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
    pub(crate) service: SmolStr,
}

/// The part of a batch's bytes that rows of workers may take, as a divisor: a new leader saves
/// thousands of workers, while callers wait for the other rows.
const WORKERS_BYTES_DIVISOR: usize = 2;
/// The part of a batch's rows that is reserved for waiting acceptances, as a divisor.
const ACCEPTANCES_ROWS_DIVISOR: usize = 2;

impl Scheduler {
    /// Returns whether any change waits to be committed.
    pub fn has_unsaved(&self) -> bool {
        !self.accepting.is_empty()
            || !self.ending.is_empty()
            || !self.unsaved.is_empty()
            || !self.ends_unsaved.is_empty()
            || self.worker_rows.has_unsaved()
    }

    /// Returns how many commits of at most `rows_max` rows it takes until a job that is submitted
    /// now is accepted, including the commit of its own row.
    pub fn commits_until_accepted(&self, rows_max: usize) -> u32 {
        let per_commit = (rows_max / ACCEPTANCES_ROWS_DIVISOR).max(1);
        let commits_before = self.accepting.len() / per_commit;
        u32::try_from(commits_before).map_or(u32::MAX, |commits| commits.saturating_add(1))
    }

    /// Returns the next changes to commit, of at most `rows_max` rows and about `bytes_max` bytes;
    /// `None` if there are none.
    ///
    /// A batch marks run ends as saved only if it holds every unsaved change of progress and every
    /// job end, which includes all that followed from those run ends.
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
        while bytes < bytes_max / WORKERS_BYTES_DIVISOR {
            let Some(row) = self.worker_rows.take_unsaved() else {
                break;
            };
            push_change(&mut batch, &mut bytes, self.workers_row_change(row));
        }
        // On a slow store the progress of running jobs alone would fill every batch, while a caller
        // waits for each acceptance. Four rows of margin: an ended job adds up to two, and the
        // outcomes of all of them one more.
        let acceptances_reserved = self
            .accepting
            .len()
            .min(rows_max / ACCEPTANCES_ROWS_DIVISOR);
        let has_space = |batch: &CommitBatch, bytes: usize| {
            batch.changes.len() + acceptances_reserved + 4 <= rows_max && bytes < bytes_max
        };
        let mut ended = Vec::new();
        while has_space(&batch, bytes) {
            let Some(id) = self.ending.pop() else { break };
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let JobPhase::Ending(outcome) = job.phase else {
                continue;
            };
            self.unsaved.remove(&id);
            push_change(&mut batch, &mut bytes, removal(RowTable::Jobs, &id));
            if job.progress_saved {
                push_change(&mut batch, &mut bytes, removal(RowTable::Progress, &id));
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
            push_change(
                &mut batch,
                &mut bytes,
                saved_row(RowTable::Ended, key.clone(), &ended),
            );
            batch.ended_row = Some(key);
        }
        while has_space(&batch, bytes) {
            let Some(id) = self.unsaved.pop_first() else {
                break;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.phase == JobPhase::Live {
                job.progress_saved = true;
                push_change(
                    &mut batch,
                    &mut bytes,
                    saved_row(RowTable::Progress, id, &progress_record(job)),
                );
            }
        }
        let saves_all_progress = self.unsaved.is_empty() && self.ending.is_empty();
        if saves_all_progress {
            for id in std::mem::take(&mut self.ends_unsaved) {
                if let Some(worker) = self.workers.get(&id) {
                    batch
                        .ends_recorded
                        .push((id, worker.incarnations_seen, worker.ends_recorded));
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
            push_change(
                &mut batch,
                &mut bytes,
                saved_row(RowTable::Jobs, id.clone(), &record),
            );
            batch.accepted.push(id);
        }
        Some(batch)
    }

    /// Applies the effects of a batch that is committed.
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
                    let ended = crate::state::EndedJob {
                        outcome,
                        retained_since: now,
                    };
                    self.ended.insert(id.clone(), ended);
                }
            }
        }
        if let Some(key) = &batch.ended_row {
            self.ended_rows.push_back((now, key.clone()));
        }
        for (id, incarnations_seen, last_end) in &batch.ends_recorded {
            let worker = self.workers.get_mut(id);
            if let Some(worker) =
                worker.filter(|worker| worker.incarnations_seen == *incarnations_seen)
            {
                worker.ends_saved = worker.ends_saved.max(*last_end);
                worker.renewal_next_at = now;
                self.issue_renewal(id, now);
            }
        }
        self.placement_needed = true;
    }

    /// Undoes a batch that is known not to be committed, now or later: withdraws the acceptances in
    /// it and returns their jobs, which will never run, and leaves all other changes to a later
    /// batch.
    pub fn not_committed(&mut self, batch: &CommitBatch) -> Vec<JobId> {
        for change in &batch.changes {
            match change.table {
                RowTable::Progress if change.value.is_some() => {
                    self.unsaved.insert(change.key.clone());
                }
                RowTable::Workers => self.worker_rows.mark_unsaved(row_index(&change.key)),
                RowTable::Ended if change.value.is_none() => {
                    // Counted from the start of the epoch, the retention has passed too, so that
                    // the removal is due again.
                    self.ended_rows
                        .push_front((self.epoch_began_at, change.key.clone()));
                }
                _ => {}
            }
        }
        self.ending.extend(batch.ended.iter().cloned());
        let workers = batch
            .ends_recorded
            .iter()
            .map(|(worker, _, _)| worker.clone());
        self.ends_unsaved.extend(workers);
        for job in &batch.accepted {
            self.jobs.remove(job);
            self.placeable.remove(job);
        }
        batch.accepted.clone()
    }

    /// Returns removals of at most `rows_max` rows of ended jobs whose retention has passed.
    pub fn take_expired_rows(&mut self, rows_max: usize, now: Instant) -> Vec<RowChange> {
        let mut expired = Vec::new();
        while expired.len() < rows_max {
            match self.ended_rows.front() {
                Some((retained_since, _))
                    if now.saturating_duration_since(*retained_since)
                        > self.settings.ended_retention =>
                {
                    if let Some((_, key)) = self.ended_rows.pop_front() {
                        expired.push(removal(RowTable::Ended, &key));
                    }
                }
                _ => break,
            }
        }
        expired
    }

    /// Returns the row with this index, with all workers that may run tasks.
    fn workers_row_change(&self, row: RowIndex) -> RowChange {
        let to_record = |worker: &crate::worker::Worker| WorkerRecord {
            worker: worker.entry.worker.clone(),
            address: worker.entry.address,
            service: worker.entry.service.clone(),
        };
        // A worker that is not listed and runs nothing gets no further tasks.
        let may_run_tasks = |worker: &&crate::worker::Worker| {
            worker.row == row && (worker.listed || !worker.runs.is_empty())
        };
        let records: Vec<WorkerRecord> = self
            .workers
            .values()
            .filter(may_run_tasks)
            .map(to_record)
            .collect();
        saved_row(RowTable::Workers, row_key(row), &records)
    }
}

fn push_change(batch: &mut CommitBatch, bytes: &mut usize, change: RowChange) {
    *bytes += change.value.as_ref().map_or(0, Vec::len);
    batch.changes.push(change);
}

fn removal(table: RowTable, key: &SmolStr) -> RowChange {
    RowChange {
        table,
        key: key.clone(),
        value: None,
    }
}

fn saved_row<T: Serialize>(table: RowTable, key: SmolStr, record: &T) -> RowChange {
    let value = serde_json::to_vec(record).unwrap_or_else(|cause| {
        error!("cannot encode saved row", kv: { key = key.as_str(), cause: = cause });
        Vec::new()
    });
    RowChange {
        table,
        key,
        value: Some(value),
    }
}

/// Returns the progress row of a job, with the units that have any progress.
fn progress_record(job: &Job) -> ProgressRecord {
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
