//! What workers report, and what the platform lists.

use std::time::{Duration, Instant};

use jackdawchute_types::{RunNumber, WorkerId};
use spdlog::{info, warn};

use crate::{
    job::JobPhase,
    progress::Progress,
    worker::{Run, RunPhase, Worker, WorkerIncarnation},
    RenewAnswer, RenewOrder, RunningTask, Scheduler, TaskName, WorkerEntry,
};

/// How long after an answer the next look may wait for a commit of what it told.
const COMMIT_PATIENCE: Duration = Duration::from_millis(400);
/// How long before the latest moment a task on a leaving worker is stopped.
const LEAVE_MARGIN: Duration = Duration::from_millis(200);
/// How long a worker that is not listed any more is remembered without runs.
const UNLISTED_MEMORY: Duration = Duration::from_secs(15);

impl Scheduler {
    /// Takes the platform's whole list of workers.
    pub fn workers_listed(&mut self, entries: Vec<WorkerEntry>, now: Instant) {
        let mut listed = std::collections::BTreeSet::new();
        for entry in entries {
            listed.insert(entry.worker.clone());
            self.worker_listed(entry, now);
        }
        let gone: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.listed && !listed.contains(worker.id()))
            .map(|worker| worker.id().clone())
            .collect();
        for worker in gone {
            self.worker_unlisted(&worker, now);
        }
    }

    /// Takes a new or changed entry of the platform's list.
    pub fn worker_listed(&mut self, entry: WorkerEntry, now: Instant) {
        self.place_needed = true;
        let id = entry.worker.clone();
        let leaving_at = entry.leaving_in.map(|left| now + left);
        let Some(worker) = self.workers.get_mut(&id) else {
            info!("worker joined", kv: {
                worker = id.as_str(), service = entry.service.as_str(),
                leaving = leaving_at.is_some()
            });
            let mut worker = Worker::new(entry, self.worker_rows.join(), now);
            worker.incarnations_seen = self.incarnations_seen.get(&id).copied().unwrap_or(0);
            worker.leaving_at = leaving_at;
            self.workers.insert(id, worker);
            return;
        };
        if worker.leaving_at.is_none() && leaving_at.is_some() {
            info!("worker is leaving", kv: {
                worker = id.as_str(), runs = worker.runs.len(),
                left_ms = entry.leaving_in.unwrap_or_default().as_millis() as u64
            });
        }
        if worker.entry.address != entry.address || !worker.listed {
            self.worker_rows.changed(worker.row);
        }
        // A later report may allow less time than the first; only a new life takes it back.
        let new_incarnation = worker.entry.started_unix_ms != entry.started_unix_ms;
        worker.leaving_at = match (worker.leaving_at, leaving_at) {
            (Some(old), Some(new)) if !new_incarnation => Some(old.min(new)),
            (_, new) => new,
        };
        worker.entry = entry;
        worker.listed = true;
        worker.unlisted_at = None;
        if new_incarnation {
            worker.renewal_next_at = now;
            let met = worker
                .incarnation
                .map(|incarnation| incarnation.started_unix_ms);
            if met.is_some_and(|met| met < worker.entry.started_unix_ms) {
                // A look that is under way may have been meant for the former life.
                worker.renewal_under_way = false;
                worker.restarted_at = Some(now);
            }
        }
    }

    /// Takes note that the platform no longer lists a worker.
    pub fn worker_unlisted(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(worker) = self.workers.get_mut(worker) {
            if worker.listed {
                info!("worker is not listed any more", kv: {
                    worker = worker.entry.worker.as_str(), runs = worker.runs.len()
                });
                worker.listed = false;
                worker.unlisted_at = Some(now);
                self.worker_rows.changed(worker.row);
            }
        }
    }

    /// Takes a worker's answer to a look.
    pub fn renew_answered(
        &mut self,
        order: &RenewOrder,
        asked_at: Instant,
        answer: RenewAnswer,
        now: Instant,
    ) {
        let base = self.token_base;
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        worker.renewal_under_way = false;
        if worker.unanswered_since.take().is_some() {
            info!("worker answers again", kv: { worker = order.worker.as_str() });
        }
        if worker
            .restarted_at
            .is_some_and(|restarted_at| asked_at >= restarted_at)
        {
            worker.restarted_at = None;
        }
        let current = worker.token(base) == order.token;
        if let Some(incarnation) = worker
            .incarnation
            .filter(|incarnation| incarnation.started_unix_ms != answer.started_unix_ms)
        {
            if !current || answer.started_unix_ms < incarnation.started_unix_ms {
                worker.renewal_next_at = now;
                return;
            }
            // Orders to the old life may reach the new one late: a higher token bars them.
            warn!("worker started anew", kv: {
                worker = order.worker.as_str(), runs = worker.runs.len(),
                born_unix_ms = answer.started_unix_ms
            });
            worker.incarnations_seen += 1;
            worker.incarnation = None;
            worker.fenced = false;
            worker.ends_noted = 0;
            worker.ends_saved = 0;
            worker.lease_sent = Duration::ZERO;
            worker.renewal_next_at = now;
            worker.health.failed_jobs.clear();
            self.place_needed = true;
            return;
        }
        let newer = worker
            .incarnation
            .is_none_or(|incarnation| incarnation.clock <= answer.clock);
        if newer {
            worker.incarnation = Some(WorkerIncarnation {
                started_unix_ms: answer.started_unix_ms,
                clock: answer.clock,
                clock_asked_at: asked_at,
                clock_read_at: now,
            });
        }
        let first = current && !worker.fenced;
        worker.renewal_next_at = now;
        if !current {
            return;
        }
        worker.fenced = true;
        for end in &answer.ended {
            self.run_ended(&order.worker, end, now);
        }
        if newer {
            self.reconcile(&order.worker, &answer, first, now);
            self.judge_progress(&order.worker, now);
        }
        let idle_pause = self.idle_pause();
        if let Some(worker) = self.workers.get_mut(&order.worker) {
            if worker.ends_noted > worker.ends_saved {
                worker.renewal_next_at = now + COMMIT_PATIENCE;
            } else if worker.is_idle() {
                worker.renewal_next_at = now + idle_pause;
            }
        }
        self.place_needed = true;
    }

    /// Brings what this instance believes to run in line with a worker's own list.
    fn reconcile(&mut self, id: &WorkerId, answer: &RenewAnswer, first: bool, now: Instant) {
        for running in &answer.running {
            self.run_listed(id, running, now);
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let listed = |task: &TaskName, run: RunNumber| {
            answer
                .running
                .iter()
                .any(|it| it.task == *task && it.run == run)
        };
        let settled = |run: &Run| match run.settled_clock {
            Some(clock) => clock < answer.clock,
            None => false,
        };
        let vanished: Vec<TaskName> = worker
            .runs
            .iter()
            .filter(|(task, run)| !listed(task, run.run) && (first || settled(run)))
            .map(|(task, _)| task.clone())
            .collect();
        for task in vanished {
            info!("run is not on its worker", kv: {
                job = task.step.job.as_str(), step = task.step.step, task = task.index,
                worker = id.as_str(), first_look = first
            });
            self.remove_run(id, &task, now);
            self.stop_rest_of_gang(&task);
        }
    }

    /// Takes note of a run that a worker lists.
    fn run_listed(&mut self, id: &WorkerId, running: &RunningTask, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let known = worker.runs.get_mut(&running.task);
        if let Some(run) = known.filter(|run| run.run == running.run) {
            run.progress
                .get_or_insert(Progress::new(running.percent, now))
                .update(running.percent);
            run.seen_running = true;
            if run.phase == RunPhase::Starting {
                run.phase = RunPhase::Running;
                run.loose = false;
                run.settled_clock = Some(Duration::ZERO);
            }
            self.note_progress(running);
            return;
        }
        self.adopt_run(id, running, now);
    }

    fn note_progress(&mut self, running: &RunningTask) {
        let job = self.jobs.get_mut(&running.task.step.job);
        if let Some(job) = job {
            job.begun = true;
            let unit = job.unit_mut(&running.task.step, running.task.index);
            if let Some(unit) = unit.filter(|unit| unit.last_run == running.run) {
                if !running.checkpoint.is_empty() && unit.checkpoint != running.checkpoint {
                    unit.checkpoint = running.checkpoint.clone();
                }
            }
        }
    }

    /// Takes over a run that another instance ordered, or stops it if nobody wants it.
    fn adopt_run(&mut self, id: &WorkerId, running: &RunningTask, now: Instant) {
        let task = &running.task;
        let mut reserved = None;
        let mut wanted = false;
        let mut expected = now;
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            if job.phase == JobPhase::Live && !job.begun {
                // How long it waited before it was taken over is not known.
                job.begun = true;
                job.waiting_since = Some(now);
            }
            let live = job.phase == JobPhase::Live;
            let spec = job.graph.steps.get(task.step.step as usize).cloned();
            if let Some(spec) = spec {
                reserved = Some(spec.reserved());
                expected = now + spec.estimate;
            }
            if let Some(unit) = job.unit_mut(&task.step, task.index) {
                let current = unit.placed.is_empty() || unit.last_run == running.run;
                let single = !unit.placed.iter().any(|(index, _)| *index == task.index);
                wanted = live && !unit.done && current && single && running.run >= unit.last_run;
                unit.last_run = unit.last_run.max(running.run);
                unit.placed.push((task.index, id.clone()));
                if !running.checkpoint.is_empty() && wanted {
                    unit.checkpoint = running.checkpoint.clone();
                }
            }
        }
        info!("run taken over", kv: {
            job = task.step.job.as_str(), step = task.step.step, task = task.index,
            run = running.run, worker = id.as_str(), wanted = wanted
        });
        let run = Run {
            run: running.run,
            reserved,
            phase: RunPhase::Running,
            loose: false,
            seen_running: true,
            settled_clock: Some(Duration::ZERO),
            since: now,
            expected_end: expected,
            order_under_way: false,
            retry_at: None,
            start: None,
            progress: Some(Progress::new(running.percent, now)),
        };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.insert(task.clone(), run);
        }
        if !wanted {
            self.bar(id, task);
        }
    }

    /// Forgets a run that surely does not run any more.
    pub(crate) fn remove_run(&mut self, worker: &WorkerId, task: &TaskName, now: Instant) {
        self.place_needed = true;
        let removed = self
            .workers
            .get_mut(worker)
            .and_then(|worker| worker.runs.remove(task));
        if removed.is_none() {
            return;
        }
        let unlisted = |worker: &&Worker| !worker.listed && worker.runs.is_empty();
        if let Some(worker) = self.workers.get(worker).filter(unlisted) {
            self.worker_rows.changed(worker.row);
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if let Some(unit) = job.unit_mut(&task.step, task.index) {
            unit.placed
                .retain(|(index, at)| *index != task.index || at != worker);
            if unit.placed.is_empty() {
                unit.stopping = false;
                if !unit.done && job.phase == JobPhase::Live {
                    self.make_placeable(&task.step.job, now);
                }
            }
        }
    }

    /// Drops the runs of workers whose leases have surely lapsed.
    pub(crate) fn forget_lost_workers(&mut self, now: Instant) {
        let lease = self.settings.lease;
        let silence = self.settings.worker_silence_max;
        let lost: Vec<(WorkerId, Vec<TaskName>)> = self
            .workers
            .values()
            .filter(|worker| {
                let silent = worker
                    .unanswered_since
                    .is_some_and(|since| now.saturating_duration_since(since) > silence);
                !worker.runs.is_empty() && silent && worker.lease_lapsed(now, lease)
            })
            .map(|worker| {
                // A start that may still be carried out comes with a lease that has lapsed too.
                let runs = worker.runs.keys().cloned().collect();
                (worker.id().clone(), runs)
            })
            .collect();
        for (worker, tasks) in lost {
            warn!("leases of a silent worker have lapsed", kv: {
                worker = worker.as_str(), runs = tasks.len()
            });
            for task in tasks {
                self.remove_run(&worker, &task, now);
                self.stop_rest_of_gang(&task);
            }
        }
        let (incarnations_seen, rows) = (&mut self.incarnations_seen, &mut self.worker_rows);
        self.workers.retain(|id, worker| {
            let old = worker
                .unlisted_at
                .is_some_and(|at| now.saturating_duration_since(at) > UNLISTED_MEMORY);
            let kept = worker.listed || !worker.runs.is_empty() || !old;
            if !kept && worker.incarnations_seen > 0 {
                incarnations_seen.insert(id.clone(), worker.incarnations_seen);
            }
            if !kept {
                rows.leave(worker.row);
            }
            kept
        });
    }

    /// Moves tasks away from workers that are about to leave.
    pub(crate) fn move_from_leaving_workers(&mut self, now: Instant) {
        let stop = self.settings.task_stop_max;
        let mut stops = Vec::new();
        for worker in self.workers.values_mut() {
            let Some(leaving_at) = worker.leaving_at else {
                continue;
            };
            // Once the guaranteed time is nearly over, what cannot end by itself is stopped, so
            // that its progress is saved.
            let soon = now + stop + LEAVE_MARGIN >= leaving_at;
            for (task, run) in &mut worker.runs {
                if run.phase == RunPhase::Running && soon && run.expected_end > leaving_at {
                    run.phase = RunPhase::Stopping;
                    stops.push((worker.entry.worker.clone(), task.clone()));
                }
            }
        }
        for (worker, task) in stops {
            info!("task stopped on a leaving worker", kv: {
                job = task.step.job.as_str(), step = task.step.step, task = task.index,
                worker = worker.as_str()
            });
            self.bar(&worker, &task);
        }
    }
}
