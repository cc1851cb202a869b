//! The batches of row changes that are committed together, and what follows from their outcome.

use std::time::Instant;

use jackdawchute_types::{JobId, WorkerId};
use smol_str::format_smolstr;
use spdlog::error;

use crate::{
    former_leases::FormerLeases,
    job::{Job, JobPhase},
    records::{divided_rows, removal, saved_row, EndedRecord, JobRecord, WorkerRecord},
    row_size::{numbered_key, split_key, JOB_BYTES_MAX},
    tenants::runs_left,
    unsaved::ChangeNumber,
    worker_rows::{row_index, row_key, RowIndex},
    CommitBatch, RowChange, RowTable, Scheduler,
};

/// The part of a batch's bytes that rows of workers may take, as a divisor: a new leader saves
/// thousands of workers, while callers wait for the other rows.
const WORKERS_BYTES_DIVISOR: usize = 3;
/// The part of a batch's rows that is reserved for waiting acceptances, as a divisor.
const ACCEPTANCES_ROWS_DIVISOR: usize = 2;
/// The part of a batch's rows that is reserved for the removal of progress of ended jobs, as a
/// divisor; nobody waits for it, but without a share it would grow under a lasting overload.
const STALE_ROWS_DIVISOR: usize = 8;

/// A batch with the limits of a commit.
struct BatchBuilder {
    batch: CommitBatch,
    bytes: usize,
    rows_max: usize,
    bytes_max: usize,
    /// The rows that are left to waiting acceptances.
    rows_reserved: usize,
    /// The bytes that are left to the first waiting acceptance.
    bytes_reserved: usize,
}

impl BatchBuilder {
    /// Returns whether a change of this many rows and bytes has space.
    fn has_space(&self, rows: usize, bytes: usize) -> bool {
        self.batch.changes.len() + self.rows_reserved + rows <= self.rows_max
            && self.bytes + self.bytes_reserved + bytes <= self.bytes_max
    }

    fn push(&mut self, change: RowChange) {
        self.bytes += change.value.as_ref().map_or(0, Vec::len);
        self.batch.changes.push(change);
    }
}

/// Takes the unsaved progress rows of a job; returns whether all of them had space.
fn take_progress(job: &mut Job, builder: &mut BatchBuilder) -> bool {
    for row in job.unsaved_progress_rows() {
        let change = job.progress_row(row);
        let bytes = change.value.as_ref().map_or(0, Vec::len);
        if !builder.has_space(1, bytes) {
            return false;
        }
        job.progress_unsaved.remove(&row);
        let was_saved = job.progress_rows.remove(&row);
        if change.value.is_some() {
            job.progress_rows.insert(row);
        } else if !was_saved {
            continue;
        }
        builder.push(change);
    }
    true
}

impl Scheduler {
    /// Returns whether any change waits to be committed.
    pub fn has_unsaved(&self) -> bool {
        !self.accepting.is_empty()
            || !self.unsaved.is_empty()
            || !self.stale_progress.is_empty()
            || !self.ends_unsaved.is_empty()
            || self.worker_rows.has_unsaved()
    }

    /// Returns the number of jobs with unsaved changes, each of which takes a row or more.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let scheduler = Scheduler::new(Settings::default(), 1, Instant::now());
    /// assert_eq!(scheduler.unsaved_count(), 0);
    /// ```
    pub fn unsaved_count(&self) -> usize {
        self.accepting.len() + self.unsaved.len() + self.stale_progress.len()
    }

    /// Returns how many commits of at most `rows_max` rows it takes until a job that is submitted
    /// now is accepted, including the commit of its own row.
    pub fn commits_until_accepted(&self, rows_max: usize) -> u32 {
        let per_commit = (rows_max / ACCEPTANCES_ROWS_DIVISOR).max(1);
        let commits_before = self.accepting.len() / per_commit;
        u32::try_from(commits_before).map_or(u32::MAX, |commits| commits.saturating_add(1))
    }

    /// Returns the next changes to commit, of at most `rows_max` rows and `bytes_max` bytes; `None`
    /// if there are none.
    ///
    /// A batch marks run ends as saved only if all that followed from them is in it or was committed
    /// before.
    pub fn take_batch(
        &mut self,
        rows_max: usize,
        bytes_max: usize,
        unix_ms: u64,
    ) -> Option<CommitBatch> {
        if !self.has_unsaved() {
            return None;
        }
        let mut builder = BatchBuilder {
            batch: CommitBatch::default(),
            bytes: 0,
            rows_max,
            bytes_max,
            rows_reserved: 0,
            bytes_reserved: 0,
        };
        self.take_workers(&mut builder);
        // On a slow store the progress of running jobs alone would fill every batch, while a caller
        // waits for each acceptance.
        builder.rows_reserved = self
            .accepting
            .len()
            .min(rows_max / ACCEPTANCES_ROWS_DIVISOR);
        builder.bytes_reserved = match self.accepting.is_empty() {
            true => 0,
            false => JOB_BYTES_MAX,
        };
        let stale_reserved = match self.stale_progress.is_empty() {
            true => 0,
            false => rows_max / STALE_ROWS_DIVISOR,
        };
        builder.rows_reserved += stale_reserved;
        self.take_changed_jobs(&mut builder);
        self.take_run_ends(&mut builder);
        builder.rows_reserved = builder.rows_reserved.saturating_sub(stale_reserved);
        self.take_stale_progress(&mut builder);
        (builder.rows_reserved, builder.bytes_reserved) = (0, 0);
        self.take_acceptances(&mut builder, unix_ms);
        Some(builder.batch)
    }

    fn take_workers(&mut self, builder: &mut BatchBuilder) {
        while builder.bytes < builder.bytes_max / WORKERS_BYTES_DIVISOR {
            let Some(row) = self.worker_rows.take_unsaved() else {
                return;
            };
            let change = self.workers_row_change(row, &mut builder.batch.workers);
            builder.push(change);
        }
    }

    /// Returns the row with this index, and adds the workers that it names to `named`.
    fn workers_row_change(
        &mut self,
        row: RowIndex,
        named: &mut Vec<(WorkerId, FormerLeases)>,
    ) -> RowChange {
        let mut records = Vec::new();
        // No later than now, so that what is left of a lease is not understated.
        let as_of = self.authority.confirmed_at;
        for worker in self.workers.values_mut() {
            if worker.row != row {
                continue;
            }
            if worker.row_needed {
                named.push((worker.id().clone(), worker.former_leases));
                records.push(WorkerRecord::new(worker, as_of));
            } else {
                worker.row_saved = false;
            }
        }
        saved_row(RowTable::Workers, row_key(row), &records)
    }

    /// Takes the progress and the ends of jobs, those first that have been unsaved for longest.
    fn take_changed_jobs(&mut self, builder: &mut BatchBuilder) {
        let mut ended = Vec::new();
        while let Some((change, id)) = self.unsaved.pop_first() {
            let all_taken = match self.jobs.get_mut(&id).map(|job| (job.phase, job)) {
                Some((JobPhase::Ending(outcome), job)) => {
                    // The rows of the job, and the row with all outcomes.
                    let has_space = builder.has_space(job.rows + usize::from(ended.is_empty()), 0);
                    if has_space {
                        builder.rows_reserved += usize::from(ended.is_empty());
                        for number in (0..).take(job.rows) {
                            builder.push(removal(RowTable::Jobs, numbered_key(&id, number)));
                        }
                        let progress = std::mem::take(&mut job.progress_rows);
                        if !progress.is_empty() {
                            self.stale_progress.insert(id.clone(), progress);
                        }
                        ended.push(EndedRecord {
                            job: id.clone(),
                            outcome,
                            tenant: job.tenant.clone(),
                            runs_left: runs_left(job),
                        });
                        builder.batch.ended.push(id.clone());
                    }
                    has_space
                }
                Some((JobPhase::Live, job)) => take_progress(job, builder),
                Some((JobPhase::Accepting, _)) | None => true,
            };
            if !all_taken {
                self.unsaved.insert(&id, change);
                break;
            }
            builder.batch.changed.push((change, id));
        }
        if !ended.is_empty() {
            self.ended_rows_counter += 1;
            let key = format_smolstr!("{:016x}-{:08x}", self.epoch, self.ended_rows_counter);
            builder.rows_reserved -= 1;
            builder.push(saved_row(RowTable::Ended, key.clone(), &ended));
            builder.batch.ended_row = Some(key);
        }
    }

    /// Removes the progress of jobs whose end is in this batch or was committed before.
    fn take_stale_progress(&mut self, builder: &mut BatchBuilder) {
        let jobs = &self.jobs;
        self.stale_progress.retain(|id, rows| {
            let phase = jobs.get(id).map(|job| job.phase);
            let has_ended = phase.is_none_or(|phase| phase == JobPhase::Accepting);
            if !has_ended && !builder.batch.ended.contains(id) {
                return true;
            }
            while builder.has_space(1, 0) {
                let Some(row) = rows.pop_first() else { break };
                builder.push(removal(RowTable::Progress, numbered_key(id, row)));
            }
            !rows.is_empty()
        });
    }

    /// Marks the run ends as saved whose effects are in this batch or an earlier one.
    fn take_run_ends(&mut self, builder: &mut BatchBuilder) {
        let (workers, unsaved) = (&self.workers, &self.unsaved);
        self.ends_unsaved.retain(|id| {
            let Some(worker) = workers.get(id) else {
                return false;
            };
            let is_saved = |end: &(ChangeNumber, u64)| unsaved.is_saved(end.0);
            let saved = worker.ends_unsaved.partition_point(is_saved);
            if let Some((_, number)) = saved.checked_sub(1).map(|last| worker.ends_unsaved[last]) {
                let ends = (id.clone(), worker.incarnations_seen, number);
                builder.batch.ends_recorded.push(ends);
            }
            saved < worker.ends_unsaved.len()
        });
    }

    fn take_acceptances(&mut self, builder: &mut BatchBuilder, unix_ms: u64) {
        while let Some(id) = self.accepting.pop_front() {
            if self.stale_progress.contains_key(&id) {
                // The progress of an earlier job with this id must not count for this one.
                self.accepting.push_front(id);
                return;
            }
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let record = JobRecord {
                graph: job.graph.clone(),
                queue: job.queue.clone(),
                tenant: job.tenant.clone(),
                accepted_unix_ms: unix_ms,
            };
            let rows = divided_rows(RowTable::Jobs, &id, &record);
            let bytes = rows.iter().flat_map(|row| &row.value).map(Vec::len).sum();
            if !builder.has_space(rows.len(), bytes) {
                self.accepting.push_front(id);
                return;
            }
            job.rows = rows.len();
            for row in rows {
                builder.push(row);
            }
            builder.batch.accepted.push(id);
        }
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
                        runs_left: runs_left(&job),
                        tenant: job.tenant,
                        retained_since: now,
                        recovered: job.recovering,
                    };
                    self.ended.insert(id.clone(), ended);
                }
            }
        }
        if let Some(key) = &batch.ended_row {
            self.ended_rows.push_back((now, key.clone()));
        }
        for change in &batch.changes {
            // The first row of a job; it no longer has the progress of all other rows.
            if change.table == RowTable::Progress && change.value.is_some() {
                if let Some(job) = self.jobs.get_mut(&change.key) {
                    job.progress_in_one_row = false;
                }
            }
        }
        for (id, former_leases) in &batch.workers {
            let worker = self.workers.get_mut(id);
            if let Some(worker) = worker.filter(|it| it.former_leases == *former_leases) {
                worker.row_saved = true;
            }
        }
        for (id, incarnations_seen, last_end) in &batch.ends_recorded {
            let worker = self.workers.get_mut(id);
            if let Some(worker) =
                worker.filter(|worker| worker.incarnations_seen == *incarnations_seen)
            {
                worker.ends_saved = worker.ends_saved.max(*last_end);
                let saved = worker
                    .ends_unsaved
                    .partition_point(|(_, number)| number <= last_end);
                worker.ends_unsaved.drain(..saved);
                // The others would only be listed again.
                if worker.ends_unsaved.is_empty() {
                    worker.renewal_next_at = now;
                    self.issue_renewal(id, now);
                }
            }
        }
        self.placement_needed = true;
    }

    /// Undoes a batch that is known not to be committed, now or later: withdraws the acceptances in
    /// it and returns their jobs, which will never run, and leaves all other changes to a later
    /// batch.
    pub fn not_committed(&mut self, batch: &CommitBatch) -> Vec<JobId> {
        self.restore(batch, None);
        for job in &batch.accepted {
            self.withdraw(job);
        }
        batch.accepted.clone()
    }

    /// Undoes a batch that the store refuses and would refuse again: gives up its largest change,
    /// and leaves all others to a later batch. Returns the job whose acceptance is withdrawn, if
    /// that is the change; it will never run.
    ///
    /// A change other than an acceptance is made again when its row next changes; until then a new
    /// leader would miss it.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{CommitBatch, Scheduler, Settings};
    ///
    /// let mut scheduler = Scheduler::new(Settings::default(), 1, Instant::now());
    /// assert_eq!(scheduler.refused_for_good(&CommitBatch::default()), None);
    /// ```
    pub fn refused_for_good(&mut self, batch: &CommitBatch) -> Option<JobId> {
        let bytes = |change: &RowChange| change.value.as_ref().map_or(0, Vec::len);
        let given_up = batch.changes.iter().max_by_key(|change| bytes(change));
        if let Some(change) = given_up {
            error!("the store refuses a row for good; the change is given up", kv: {
                table:? = change.table, key = change.key.as_str(), bytes = bytes(change)
            });
        }
        self.restore(batch, given_up);
        let job_of_row: Option<JobId> = given_up
            .filter(|change| change.table == RowTable::Jobs && change.value.is_some())
            .map(|change| split_key(&change.key).0.into());
        let withdrawn = job_of_row.filter(|job| batch.accepted.contains(job));
        for job in batch.accepted.iter().rev() {
            if Some(job) == withdrawn.as_ref() {
                self.withdraw(job);
            } else {
                self.accepting.push_front(job.clone());
            }
        }
        withdrawn
    }

    /// Drops a job whose acceptance is not committed.
    fn withdraw(&mut self, job: &JobId) {
        self.jobs.remove(job);
        self.placeable.remove(job);
    }

    /// Leaves the changes of a batch, without its acceptances and without `given_up`, to a later
    /// one.
    fn restore(&mut self, batch: &CommitBatch, given_up: Option<&RowChange>) {
        for change in &batch.changes {
            if given_up == Some(change) {
                continue;
            }
            match change.table {
                RowTable::Progress => self.restore_progress(change),
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
        for (change, job) in &batch.changed {
            self.unsaved.insert(job, *change);
        }
        let workers = batch
            .ends_recorded
            .iter()
            .map(|(worker, _, _)| worker.clone());
        self.ends_unsaved.extend(workers);
    }

    /// Leaves the change of a progress row to a later batch.
    fn restore_progress(&mut self, change: &RowChange) {
        let (id, row) = split_key(&change.key);
        match self.jobs.get_mut(id) {
            Some(job) if job.phase == JobPhase::Live => {
                job.progress_unsaved.insert(row);
                job.progress_rows.insert(row);
            }
            _ => {
                let rows = self.stale_progress.entry(id.into()).or_default();
                rows.insert(row);
            }
        }
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
                        expired.push(removal(RowTable::Ended, key));
                    }
                }
                _ => break,
            }
        }
        expired
    }
}
