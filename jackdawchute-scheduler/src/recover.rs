//! Takes over what an earlier instance left.

use std::time::{Duration, Instant};

use jackdawchute_types::JobId;
use spdlog::{info, warn};

use crate::{
    job::{Job, JobPhase, StepRun},
    records::{EndedRecord, JobRecord, ProgressRecord, WorkerRecord},
    worker::Worker,
    worker_rows::{row_of_key, RowIndex},
    Error, JobOutcome, Result, RowTable, Scheduler, WorkerEntry,
};

/// The run numbers of an epoch start above those that an earlier one may have ordered unseen.
const RUN_NUMBERS_PER_EPOCH: u64 = 64;

/// How long a new owner may be expected to meet its workers: first looks at 3,000 of them take an
/// instance with a quarter of a core about two seconds.
const MEETING_MAX: Duration = Duration::from_secs(3);

/// Whether tasks may still run that no worker has listed.
#[derive(Debug)]
pub(crate) struct Recovery {
    since: Instant,
    over: bool,
}

impl Recovery {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            over: false,
        }
    }
}

/// The saved rows of one kind, as keys and contents.
#[derive(Clone, Debug)]
pub struct SavedTable {
    /// The kind.
    pub table: RowTable,
    /// The rows in the order of their keys.
    pub rows: Vec<(smol_str::SmolStr, Vec<u8>)>,
}

impl Scheduler {
    /// Takes over saved rows: all kinds, with [`RowTable::Jobs`] before [`RowTable::Progress`].
    ///
    /// # Errors
    /// A row does not decode; nothing may be decided without it.
    pub fn recover(
        &mut self,
        saved: &[SavedTable],
        unix_now: Duration,
        now: Instant,
    ) -> Result<()> {
        for kind in saved {
            for (key, value) in &kind.rows {
                match kind.table {
                    RowTable::Jobs => self.load_job(key, decode(key, value)?, unix_now, now),
                    RowTable::Progress => self.load_progress(key, decode(key, value)?, now),
                    RowTable::Ended => self.load_ended(key, decode(key, value)?, now),
                    RowTable::Workers => {
                        self.load_workers(row_of_key(key), decode(key, value)?, now);
                    }
                }
            }
        }
        let complete: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| {
                job.occurrences_done >= job.occurrences_total() && !job.graph.long_running()
            })
            .map(|job| job.id.clone())
            .collect();
        for job in complete {
            self.end_job(&job, JobOutcome::Completed);
        }
        info!("state taken over", kv: {
            epoch = self.epoch, jobs = self.jobs.len(), ended = self.ended.len(),
            workers = self.workers.len()
        });
        Ok(())
    }

    fn load_job(&mut self, id: &JobId, record: JobRecord, unix_now: Duration, now: Instant) {
        let accepted = Duration::from_millis(record.accepted_unix_ms);
        // Clocks of two instances may differ; an age below zero counts as none.
        let age = unix_now.saturating_sub(accepted);
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        let mut job = Job::new(id.clone(), record.graph, record.queue, accepted_at);
        job.phase = JobPhase::Live;
        job.uncertain = true;
        self.placeable.insert(id.clone());
        self.jobs.insert(id.clone(), job);
    }

    fn load_progress(&mut self, id: &JobId, record: ProgressRecord, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            warn!("progress without its job", kv: { job = id.as_str() });
            return;
        };
        job.progress_saved = true;
        job.begun = true;
        job.waiting_since = Some(now);
        job.occurrences_done = record.occurrences_done;
        if job.graph.repeat.is_some() {
            job.occurrences.clear();
            for occurrence in record.occurrences {
                job.add_occurrence(occurrence);
            }
        }
        for saved in record.units {
            let step = job
                .occurrence_mut(saved.occurrence)
                .and_then(|run| run.steps.get_mut(saved.step as usize));
            let Some(StepRun { units, open, .. }) = step else {
                continue;
            };
            if let Some(unit) = units.get_mut(saved.unit as usize) {
                unit.last_run = saved.last_run;
                unit.failed_runs = saved.failed_runs;
                unit.checkpoint = saved.checkpoint;
                if saved.done && !unit.done {
                    unit.done = true;
                    *open = open.saturating_sub(1);
                }
            }
        }
    }

    fn load_ended(&mut self, key: &smol_str::SmolStr, records: Vec<EndedRecord>, now: Instant) {
        for record in records {
            let ended = crate::state::Ended {
                outcome: record.outcome,
                at: now,
            };
            self.ended.insert(record.job, ended);
        }
        self.ended_rows.push_back((now, key.clone()));
    }

    fn load_workers(&mut self, row: RowIndex, records: Vec<WorkerRecord>, now: Instant) {
        for record in records {
            let entry = WorkerEntry {
                worker: record.worker.clone(),
                address: record.address,
                service: record.service,
                failure_domain: "".into(),
                rack: None,
                labels: Vec::new(),
                capacity: Default::default(),
                leaving_in: None,
                started_unix_ms: 0,
            };
            let rows = &mut self.worker_rows;
            let worker = self.workers.entry(record.worker).or_insert_with(|| {
                rows.rejoin(row);
                Worker::new(entry, row, now)
            });
            worker.listed = false;
            worker.unlisted_at = Some(now);
        }
    }

    /// Whether this epoch is so young that it still meets its workers for the first time.
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
        !self.recovery.over && now.saturating_duration_since(self.recovery.since) < MEETING_MAX
    }

    /// Lets taken-over jobs run again once each worker has told what it runs, or cannot run
    /// anything any more.
    pub(crate) fn finish_recovery(&mut self, now: Instant) {
        if self.recovery.over {
            return;
        }
        let lease = self.settings.lease;
        let settled = |worker: &Worker| worker.fenced || worker.lease_lapsed(now, lease);
        let waiting = self
            .workers
            .values()
            .filter(|worker| !settled(worker))
            .count();
        if waiting > 0 {
            return;
        }
        self.recovery.over = true;
        let took = now.saturating_duration_since(self.recovery.since);
        info!("all workers have told what they run", kv: {
            epoch = self.epoch, took_ms = took.as_millis() as u64, workers = self.workers.len()
        });
        for job in self.jobs.values_mut().filter(|job| job.uncertain) {
            job.uncertain = false;
            let units = job
                .occurrences
                .iter_mut()
                .flat_map(|run| run.steps.iter_mut())
                .flat_map(|step| step.units.iter_mut());
            for unit in units.filter(|unit| unit.waiting()) {
                unit.last_run = (unit.last_run + 1).max(self.epoch * RUN_NUMBERS_PER_EPOCH);
            }
        }
        self.stop_incomplete_gangs();
        self.place_needed = true;
    }

    /// Stops gangs of which a part never started.
    fn stop_incomplete_gangs(&mut self) {
        let mut stops = Vec::new();
        for job in self.jobs.values().filter(|job| job.phase == JobPhase::Live) {
            for run in &job.occurrences {
                for (step, (spec, step_run)) in (0u32..).zip(job.graph.steps.iter().zip(&run.steps))
                {
                    let name = crate::StepName {
                        job: job.id.clone(),
                        occurrence: run.occurrence,
                        step,
                    };
                    for unit in step_run.units.iter().filter(|_| spec.gang) {
                        let placed = unit.placed.len() as u32;
                        if placed > 0 && placed < spec.tasks && !unit.done {
                            let tasks = unit.placed.iter();
                            stops.extend(tasks.map(|(at, to)| (to.clone(), name.task(*at))));
                        }
                    }
                }
            }
        }
        for (worker, task) in stops {
            info!("member of an incomplete gang stopped", kv: {
                job = task.step.job.as_str(), task = task.index, worker = worker.as_str()
            });
            self.bar(&worker, &task);
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|cause| Error::Row(key.to_owned(), cause.to_string()))
}
