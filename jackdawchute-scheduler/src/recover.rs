//! Recovery: rebuilds the state from saved rows and from what workers report, at the start of an
//! epoch.

use std::{
    collections::BTreeMap,
    ops::RangeInclusive,
    time::{Duration, Instant},
};

use jackdawchute_types::{whole_ms, JobId};
use smol_str::SmolStr;
use spdlog::{info, warn};

use crate::{
    authority::LapseView,
    job::{Job, JobPhase, StepRun},
    late_starts::LateStart,
    progress_rows::ProgressRecord,
    records::{EndedRecord, JobRecord, WorkerRecord},
    row_size::{split_key, RowNumber},
    worker::Worker,
    worker_rows::{row_index, RowIndex},
    Error, JobOutcome, Result, RowTable, Scheduler, StepName, WorkerEntry,
};

/// The distance between the first run numbers of two successive epochs, so that those of an epoch
/// are above all that an earlier leader may have ordered and not saved.
const RUN_NUMBERS_PER_EPOCH: u64 = 64;

/// The longest time that a new leader is expected to take for the first renewals of its workers. An
/// instance with a quarter of a core takes about two seconds for 3,000 workers.
const FIRST_RENEWALS_DURATION_MAX: Duration = Duration::from_secs(3);

/// From when on a recovery that is not complete logs what it waits for.
const RECOVERY_LOGGED_FROM: Duration = Duration::from_secs(1);

/// How many of the workers that a recovery goes on without are named in the log.
const SILENT_WORKERS_LOGGED_MAX: usize = 32;

/// The state of the recovery. Until it is complete, tasks may run that no worker has reported.
#[derive(Debug)]
pub(crate) struct Recovery {
    began_at: Instant,
    complete: bool,
    /// Whether the saved rows name all workers that may run tasks of an earlier leader.
    rows_name_all: bool,
    /// Whether the saved rows name a worker that may carry out an order late that extends its lease.
    pub(crate) extensions_seen: bool,
    /// Whether the replaced leader has told which such orders got no answer.
    pub(crate) extensions_told: bool,
    /// Whether it was logged what the recovery waits for.
    wait_logged: bool,
}

impl Recovery {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            began_at: now,
            complete: false,
            rows_name_all: true,
            extensions_seen: false,
            extensions_told: false,
            wait_logged: false,
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }
}

/// The saved rows of one table, as keys and contents.
#[derive(Clone, Debug)]
pub struct SavedTable {
    /// The table of the rows.
    pub table: RowTable,
    /// The rows in the order of their keys.
    pub rows: Vec<(SmolStr, Vec<u8>)>,
}

impl Scheduler {
    /// Rebuilds the state from all saved tables, with [`RowTable::Jobs`] before
    /// [`RowTable::Progress`].
    ///
    /// # Errors
    /// Returns an error if a row cannot be decoded; the epoch must not go on without its content.
    pub fn recover(
        &mut self,
        saved: &[SavedTable],
        unix_now: Duration,
        now: Instant,
    ) -> Result<()> {
        for table in saved {
            if table.table == RowTable::Jobs {
                self.recover_jobs(&table.rows, unix_now, now)?;
                continue;
            }
            for (key, value) in &table.rows {
                match table.table {
                    RowTable::Jobs => {}
                    RowTable::Progress => {
                        self.recover_progress(key, decode(key, value)?, now);
                    }
                    RowTable::Ended => self.recover_ended(key, decode(key, value)?, now),
                    RowTable::Workers => {
                        self.recover_workers(row_index(key), decode(key, value)?, now);
                    }
                }
            }
        }
        let complete_jobs: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| {
                job.occurrences_done >= job.occurrences_total() && !job.graph.long_running()
            })
            .map(|job| job.id.clone())
            .collect();
        for job in complete_jobs {
            self.end_job(&job, JobOutcome::Completed);
        }
        info!("state recovered from saved rows", kv: {
            epoch = self.epoch, jobs = self.jobs.len(), ended = self.ended.len(),
            workers = self.workers.len()
        });
        Ok(())
    }

    /// Recovers the jobs from rows of which several may hold one job.
    fn recover_jobs(
        &mut self,
        rows: &[(SmolStr, Vec<u8>)],
        unix_now: Duration,
        now: Instant,
    ) -> Result<()> {
        let mut parts_of: BTreeMap<&str, BTreeMap<RowNumber, &[u8]>> = BTreeMap::new();
        for (key, value) in rows {
            let (id, number) = split_key(key);
            parts_of.entry(id).or_default().insert(number, value);
        }
        for (id, parts) in parts_of {
            let value: Vec<u8> = parts
                .values()
                .flat_map(|part| part.iter().copied())
                .collect();
            let id: JobId = id.into();
            self.recover_job(&id, decode(&id, &value)?, unix_now, now);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.rows = parts.len();
            }
        }
        Ok(())
    }

    fn recover_job(&mut self, id: &JobId, record: JobRecord, unix_now: Duration, now: Instant) {
        let accepted_unix = Duration::from_millis(record.accepted_unix_ms);
        // The clocks of two instances may differ, so that the difference may be negative.
        let age = unix_now.saturating_sub(accepted_unix);
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        let mut job = Job::new(id.clone(), record.graph, record.queue, accepted_at);
        job.tenant = record.tenant;
        job.phase = JobPhase::Live;
        job.recovering = true;
        self.placeable.insert(id.clone());
        self.jobs.insert(id.clone(), job);
    }

    fn recover_progress(&mut self, key: &str, record: ProgressRecord, now: Instant) {
        let (id, row) = split_key(key);
        let late_since = self.epoch_began_at;
        let Some(job) = self.jobs.get_mut(id) else {
            warn!("saved progress belongs to no saved job", kv: { job = id, row = row });
            let rows = self.stale_progress.entry(id.into()).or_default();
            rows.insert(row);
            return;
        };
        let advice = job.queue.advice;
        job.progress_rows.insert(row);
        job.begun |= record.has_begun();
        job.waiting_since = Some(now);
        if row == 0 {
            job.occurrences_done = record.occurrences_done;
        }
        if job.graph.repeat.is_some() && row == 0 {
            job.occurrences.clear();
            let ranges = record.incomplete.iter();
            let incomplete = ranges.flat_map(|(first, last)| *first..=*last);
            for occurrence in incomplete.chain(record.occurrences) {
                job.add_occurrence(occurrence);
            }
        }
        for (occurrence, step, first, last) in record.done {
            let occurrence_run = job.occurrence_mut(occurrence);
            let step = occurrence_run.and_then(|run| run.steps.get_mut(step as usize));
            if let Some(step) = step {
                step.recover_done(first..=last);
            }
        }
        if let Some(units) = &record.units {
            job.progress_in_one_row = true;
            job.progress_unsaved.insert(0);
            for unit in units {
                job.mark_unit_unsaved(unit.occurrence, unit.step, unit.unit as usize);
            }
            let change = self.unsaved.next_change();
            self.unsaved.insert(&job.id, change);
        }
        for saved in record.units.into_iter().flatten().chain(record.unfinished) {
            let name = StepName {
                job: job.id.clone(),
                occurrence: saved.occurrence,
                step: saved.step,
            };
            let spec = job.graph.steps.get(saved.step as usize);
            let is_of_unit = |index| {
                spec.is_some_and(|spec| {
                    index < spec.tasks && spec.unit_index(index) == saved.unit as usize
                })
            };
            let mut late_starts = saved.late_starts;
            late_starts.retain(|(index, _)| is_of_unit(*index));
            let step = job
                .occurrence_mut(saved.occurrence)
                .and_then(|occurrence_run| occurrence_run.steps.get_mut(saved.step as usize));
            let Some(step) = step else {
                continue;
            };
            if let Some(unit) = step.units.get_mut(saved.unit as usize) {
                unit.last_run = saved.last_run;
                unit.failed_runs = saved.failed_runs;
                unit.checkpoint = saved.checkpoint;
                for (index, worker) in &late_starts {
                    let task = name.task(*index);
                    let start = LateStart::new(advice, late_since, late_since);
                    self.late_starts.insert(worker, task, start);
                }
                unit.late_starts = late_starts;
            }
            if saved.done {
                step.recover_done(saved.unit..=saved.unit);
            }
        }
    }

    fn recover_ended(&mut self, key: &SmolStr, records: Vec<EndedRecord>, now: Instant) {
        for record in records {
            let ended = crate::state::EndedJob {
                outcome: record.outcome,
                tenant: record.tenant,
                runs_left: record.runs_left,
                retained_since: now,
                recovered: true,
            };
            self.ended.insert(record.job, ended);
        }
        self.ended_rows.push_back((now, key.clone()));
    }

    fn recover_workers(&mut self, row: RowIndex, records: Vec<WorkerRecord>, now: Instant) {
        for record in records {
            if record.allows_unsaved_workers() {
                self.recovery.rows_name_all = false;
            }
            let entry = WorkerEntry {
                worker: record.worker.clone(),
                address: record.address,
                service: "".into(),
                failure_domain: "".into(),
                rack: None,
                labels: Vec::new(),
                capacity: Default::default(),
                leaving_in: None,
                started_unix_ms: 0,
            };
            let former_lease_until = record.former_lease_until(&self.settings, now);
            let rows = &mut self.worker_rows;
            let worker = self.workers.entry(record.worker).or_insert_with(|| {
                let row_bytes = WorkerRecord::bytes_max(&entry.worker);
                rows.add(row, row_bytes);
                Worker::new(entry, row, row_bytes, now)
            });
            worker.listed = false;
            worker.unlisted_at = Some(now);
            (worker.row_needed, worker.row_saved) = (true, true);
            worker.recovered = true;
            worker.extensions.of_earlier_leader = record.may_extend_late;
            worker.acknowledged_start_unix_ms = record.acknowledged_start_unix_ms;
            worker.former_lease_until = former_lease_until;
            self.recovery.extensions_seen |= record.may_extend_late;
        }
    }

    /// Returns whether first renewals of workers may still be under way: recovery is not complete,
    /// and the epoch began a short time ago.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let now = Instant::now();
    /// let scheduler = Scheduler::new(Settings::default(), 1, now);
    /// assert!(scheduler.awaits_first_renewals(now));
    /// assert!(!scheduler.awaits_first_renewals(now + Duration::from_secs(10)));
    /// ```
    pub fn awaits_first_renewals(&self, now: Instant) -> bool {
        !self.recovery.complete
            && now.saturating_duration_since(self.recovery.began_at) < FIRST_RENEWALS_DURATION_MAX
    }

    /// Returns whether the runs of all workers are known, or have lapsed.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let now = Instant::now();
    /// let mut scheduler = Scheduler::new(Settings::default(), 1, now);
    /// assert!(!scheduler.recovery_is_complete());
    /// scheduler.tick(now, Duration::ZERO);
    /// assert!(scheduler.recovery_is_complete());
    /// ```
    pub fn recovery_is_complete(&self) -> bool {
        self.recovery.complete
    }

    /// Completes the recovery once every worker that may run tasks of an earlier leader has reported
    /// its runs, or its lease has lapsed; the tasks of recovered jobs may be placed from then on.
    pub(crate) fn finish_recovery(&mut self, now: Instant) {
        if self.recovery.complete {
            return;
        }
        let (workers_awaited, former_leases_until) = self
            .awaited_workers(self.lapse_view())
            .fold((0, now), |(count, until), it| {
                (count + 1, it.former_lease_until.unwrap_or(now).max(until))
            });
        if workers_awaited > 0 {
            self.log_awaited_workers(workers_awaited, former_leases_until, now);
            return;
        }
        self.recovery.complete = true;
        self.log_silent_workers(now);
        let took = now.saturating_duration_since(self.recovery.began_at);
        info!("recovery complete: runs of all workers are known", kv: {
            epoch = self.epoch, took_ms = took.as_millis() as u64, workers = self.workers.len()
        });
        let earlier_runs_max = self.epoch * RUN_NUMBERS_PER_EPOCH;
        for job in self.jobs.values_mut().filter(|job| job.recovering) {
            job.recovering = false;
            let units = job
                .occurrences
                .iter_mut()
                .flat_map(|occurrence_run| occurrence_run.steps.iter_mut())
                .flat_map(|step| step.units.iter_mut());
            for unit in units.filter(|unit| unit.is_waiting()) {
                unit.last_run = (unit.last_run + 1).max(earlier_runs_max);
            }
            job.earlier_runs_max = earlier_runs_max;
        }
        self.stop_incomplete_gangs();
        self.placement_needed = true;
    }

    /// Returns the workers of which neither the runs are known nor the leases have lapsed.
    fn awaited_workers(&self, view: LapseView) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(move |worker| {
            (worker.recovered || !self.recovery.rows_name_all) && !worker.is_accounted_for(view)
        })
    }

    /// Returns when recovery is complete at the latest if no worker answers that has not; `None` once
    /// it is complete.
    pub(crate) fn recovery_complete_by(&self) -> Option<Instant> {
        if self.recovery.complete {
            return None;
        }
        let view = self.lapse_view();
        let awaited = self.awaited_workers(view);
        awaited.map(|worker| worker.leases_lapse_by(view)).max()
    }

    /// Logs once what the recovery waits for, if first renewals alone do not explain it.
    fn log_awaited_workers(&mut self, workers: usize, former_until: Instant, now: Instant) {
        let age = now.saturating_duration_since(self.recovery.began_at);
        if self.recovery.wait_logged || age < RECOVERY_LOGGED_FROM {
            return;
        }
        self.recovery.wait_logged = true;
        let until = |at: Instant| whole_ms(at.saturating_duration_since(now));
        warn!("recovery waits for silent workers", kv: {
            epoch = self.epoch, workers = workers,
            earlier_authority_left_ms = until(self.authority.earlier_until),
            earlier_leases_left_ms = until(self.authority.earlier_leases_until(&self.settings)),
            former_incarnations_leases_left_ms = until(former_until)
        });
    }

    /// Logs which workers recovery goes on without, as their leases have lapsed.
    fn log_silent_workers(&self, now: Instant) {
        let workers = self.workers.values();
        let silent: Vec<&str> = workers
            .filter(|worker| worker.recovered && !worker.reported)
            .map(|worker| worker.id().as_str())
            .collect();
        if silent.is_empty() {
            return;
        }
        let since = |at: Instant| whole_ms(now.saturating_duration_since(at));
        warn!("runs on silent workers are taken as ended", kv: {
            epoch = self.epoch, workers = silent.len(),
            first:? = &silent[..silent.len().min(SILENT_WORKERS_LOGGED_MAX)],
            earlier_authority_ended_ms = since(self.authority.earlier_until),
            earlier_leases_ended_ms =
                since(self.authority.earlier_leases_until(&self.settings))
        });
    }

    /// Stops gangs of which some tasks never started.
    fn stop_incomplete_gangs(&mut self) {
        let mut stops = Vec::new();
        for job in self.jobs.values().filter(|job| job.phase == JobPhase::Live) {
            for occurrence_run in &job.occurrences {
                for (step, (spec, step_run)) in
                    (0u32..).zip(job.graph.steps.iter().zip(&occurrence_run.steps))
                {
                    let name = StepName {
                        job: job.id.clone(),
                        occurrence: occurrence_run.occurrence,
                        step,
                    };
                    for unit in step_run.units.iter().filter(|_| spec.gang) {
                        let placed = unit.placed.len() as u32;
                        if placed > 0 && placed < spec.tasks && !unit.done {
                            let tasks = unit.placed.iter();
                            stops.extend(
                                tasks.map(|(index, worker)| (worker.clone(), name.task(*index))),
                            );
                        }
                    }
                }
            }
        }
        for (worker, task) in stops {
            info!("task of an incomplete gang stopped", kv: {
                job = task.step.job.as_str(), task = task.index, worker = worker.as_str()
            });
            self.stop_with_gang(&worker, &task);
        }
    }
}

impl StepRun {
    /// Marks units as succeeded.
    fn recover_done(&mut self, units: RangeInclusive<u32>) {
        for index in units {
            let unit = self.units.get_mut(index as usize);
            if let Some(unit) = unit.filter(|unit| !unit.done) {
                unit.done = true;
                self.units_left = self.units_left.saturating_sub(1);
            }
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|cause| Error::Row(key.to_owned(), cause.to_string()))
}
