//! The platform's list of workers, and the reports of workers in their answers to renewals.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use jackdawchute_types::{whole_ms, RunNumber, ServiceId, WorkerId};
use spdlog::{info, warn};

use crate::{
    authority::hold_time,
    extensions::{RenewalKind, UnansweredExtensions},
    job::JobPhase,
    progress::Progress,
    records::WorkerRecord,
    worker::{Run, RunPhase, Worker, WorkerIncarnation},
    RenewAnswer, RenewOrder, RenewOutcome, RunningTask, Scheduler, TaskName, WorkerEntry,
};

/// How much earlier than necessary a task on a leaving worker is stopped.
const LEAVE_MARGIN: Duration = Duration::from_millis(200);

impl Scheduler {
    /// Adds services that the configuration names to those in use, and takes in their workers.
    ///
    /// Before the first call, workers of all services are taken in.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let now = Instant::now();
    /// let mut scheduler = Scheduler::new(Settings::default(), 1, now);
    /// scheduler.use_services(["repair-desk".into()], now);
    /// assert_eq!(scheduler.workers_count(), 0);
    /// ```
    pub fn use_services(&mut self, services: impl IntoIterator<Item = ServiceId>, now: Instant) {
        if self.services.is_none() {
            let of_jobs = self.jobs.values().map(|job| job.queue.service.clone());
            self.services = Some(of_jobs.collect());
        }
        let in_use = self.services.get_or_insert_default();
        in_use.extend(services);
        let listed = std::mem::take(&mut self.unused_workers);
        for entry in listed.into_values() {
            self.worker_listed(entry, now);
        }
    }

    /// Handles the platform's whole list of workers.
    pub fn workers_listed(&mut self, entries: Vec<WorkerEntry>, now: Instant) {
        let mut listed = std::collections::BTreeSet::new();
        for entry in entries {
            listed.insert(entry.worker.clone());
            self.worker_listed(entry, now);
        }
        let unlisted: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.listed && !listed.contains(worker.id()))
            .map(|worker| worker.id().clone())
            .collect();
        for worker in unlisted {
            self.worker_unlisted(&worker, now);
        }
        self.unused_workers
            .retain(|worker, _| listed.contains(worker));
    }

    /// Handles a new or changed entry of the platform's list.
    pub fn worker_listed(&mut self, entry: WorkerEntry, now: Instant) {
        self.placement_needed = true;
        let id = entry.worker.clone();
        let leaving_at = entry.leaving_in.map(|left| now + left);
        let in_use = self.services.as_ref();
        let is_used = in_use.is_none_or(|services| services.contains(&entry.service));
        if !is_used && !self.workers.contains_key(&id) {
            // An entry of another writer may name any service, at any address.
            if self.unused_workers.insert(id.clone(), entry).is_none() {
                info!("worker of a service that no queue uses", kv: { worker = id.as_str() });
            }
            return;
        }
        self.unused_workers.remove(&id);
        let Some(worker) = self.workers.get_mut(&id) else {
            info!("worker joined", kv: {
                worker = id.as_str(), service = entry.service.as_str(),
                leaving = leaving_at.is_some()
            });
            let row_bytes = WorkerRecord::bytes_max(&id);
            let row = self.worker_rows.assign(row_bytes);
            let mut worker = Worker::new(entry, row, row_bytes, now);
            worker.token_raises = self.token_raises.get(&id).copied().unwrap_or(0);
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
        if worker.entry.address != entry.address {
            self.worker_rows.mark_unsaved(worker.row);
        }
        // A later entry may shorten the time until the worker leaves, but only a new incarnation
        // may lengthen it.
        let is_new_incarnation = worker.entry.started_unix_ms != entry.started_unix_ms;
        worker.leaving_at = match (worker.leaving_at, leaving_at) {
            (Some(old), Some(new)) if !is_new_incarnation => Some(old.min(new)),
            (_, new) => new,
        };
        worker.entry = entry;
        worker.listed = true;
        worker.unlisted_at = None;
        if is_new_incarnation {
            worker.renewal_next_at = now;
            let known_start = worker
                .incarnation
                .map(|incarnation| incarnation.started_unix_ms);
            if known_start.is_some_and(|started| started < worker.entry.started_unix_ms) {
                worker.note_restart(now);
            }
        }
    }

    /// Handles the removal of a worker from the platform's list.
    pub fn worker_unlisted(&mut self, worker: &WorkerId, now: Instant) {
        self.unused_workers.remove(worker);
        if let Some(worker) = self.workers.get_mut(worker) {
            if worker.listed {
                info!("worker is no longer listed", kv: {
                    worker = worker.entry.worker.as_str(), runs = worker.runs.len()
                });
                worker.listed = false;
                worker.unlisted_at = Some(now);
            }
        }
    }

    /// Handles a worker's answer to a renewal; returns what it listed.
    pub fn renew_answered(
        &mut self,
        order: &RenewOrder,
        sent_at: Instant,
        answer: RenewAnswer,
        now: Instant,
    ) -> RenewOutcome {
        let mut outcome = RenewOutcome {
            listed: answer.ended.len() + answer.ends_left_out,
            ..RenewOutcome::default()
        };
        let base = self.token_base;
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return outcome;
        };
        if sent_at >= worker.renewal_ordered_at {
            worker.renewal_under_way = false;
            worker.extensions.under_way = false;
        }
        if worker.unanswered_since.take().is_some() {
            info!("worker answers again", kv: { worker = order.worker.as_str() });
        }
        if worker
            .restarted_at
            .is_some_and(|restarted_at| sent_at >= restarted_at)
        {
            worker.restarted_at = None;
        }
        let has_current_token = worker.token(base) == order.token;
        if let Some(incarnation) = worker
            .incarnation
            .filter(|incarnation| incarnation.started_unix_ms != answer.started_unix_ms)
        {
            // The time of day of the worker may have been set back between two incarnations.
            let is_earlier = answer.started_unix_ms < incarnation.started_unix_ms
                && sent_at < incarnation.first_heard_at;
            if !has_current_token || is_earlier {
                worker.renewal_next_at = now;
                return outcome;
            }
            // Orders to the old incarnation may still reach the new one, which refuses them once it
            // has seen a higher token.
            let unanswered = worker.runs.values().filter(|run| run.start_outcome_unknown);
            let heard_ago = now.saturating_duration_since(incarnation.clock_received_at);
            warn!("worker restarted", kv: {
                worker = order.worker.as_str(), runs = worker.runs.len(),
                unanswered_starts = unanswered.count(), born_unix_ms = answer.started_unix_ms,
                former_born_unix_ms = incarnation.started_unix_ms,
                former_answered_ms = whole_ms(heard_ago), token = order.token
            });
            outcome.restarted = true;
            worker.begin_incarnation(hold_time(&self.settings), now);
            self.placement_needed = true;
            return outcome;
        }
        // An answer from before a restart tells nothing of the new incarnation, and of two with the
        // same clock either may have been made first.
        let is_newer = worker.restarted_at.is_none()
            && worker
                .incarnation
                .is_none_or(|incarnation| incarnation.clock < answer.clock);
        if is_newer {
            let first_heard_at = worker.incarnation.map_or(now, |it| it.first_heard_at);
            worker.incarnation = Some(WorkerIncarnation {
                started_unix_ms: answer.started_unix_ms,
                first_heard_at,
                clock: answer.clock,
                clock_received_at: now,
            });
        }
        let is_first = has_current_token && !worker.reported;
        worker.renewal_next_at = now;
        if !has_current_token {
            return outcome;
        }
        let is_first_acknowledgement = worker.acknowledged_at.is_none();
        worker.token_acknowledged = true;
        let lease_until = order.lease_until.unwrap_or_default();
        worker.lease_confirmed = worker.lease_confirmed.max(lease_until);
        if worker.extensions.may_be_late() {
            // The worker refuses orders with earlier tokens from now on.
            worker.extensions = UnansweredExtensions::default();
            self.worker_rows.mark_unsaved(worker.row);
        }
        worker.ends_confirmed = worker.ends_confirmed.max(order.ends_saved);
        // The row of a worker that was not listed goes before the last start to it is over.
        let has_earlier_orders = worker.recovered || self.late_starts.name_worker(&order.worker);
        if is_first_acknowledgement
            && worker.may_have_former_lease(has_earlier_orders, answer.started_unix_ms)
        {
            // A successor has to know of it before a task starts here.
            worker.note_former_lease(hold_time(&self.settings), now);
            worker.row_saved = false;
            self.worker_rows.mark_unsaved(worker.row);
            if worker.incarnations_seen > 0 {
                let hold_until = answer.clock + self.settings.hold_max;
                info!("restarted worker may have a lease from an earlier order", kv: {
                    worker = order.worker.as_str(), born_unix_ms = answer.started_unix_ms,
                    clock_ms = whole_ms(answer.clock), lease_until_ms = whole_ms(hold_until),
                    token = order.token
                });
            }
        }
        worker.acknowledged_at.get_or_insert(now);
        worker.acknowledged_start_unix_ms = Some(answer.started_unix_ms);
        worker.answered = true;
        for end in &answer.ended {
            outcome.new += usize::from(self.run_ended(&order.worker, end, now));
        }
        if is_newer {
            outcome.unknown_runs = self.record_listed_runs(&order.worker, &answer, now);
            // A run in neither list may have ended and be listed once earlier ends are saved.
            if answer.ended_complete {
                self.remove_missing_runs(&order.worker, &answer, is_first, now);
            }
            self.check_progress(&order.worker, now);
        }
        let idle_pause = self.idle_pause();
        let commit_wait = self.commit_wait();
        if let Some(worker) = self.workers.get_mut(&order.worker) {
            let kind = worker.renewal_kind(&self.settings, self.authority.may_act, now);
            if kind == RenewalKind::Extend {
                worker.renewal_next_at = now;
            } else if worker.ends_recorded > worker.ends_saved {
                worker.renewal_next_at = now + commit_wait;
            } else if worker.is_idle() {
                worker.renewal_next_at = now + idle_pause;
            }
        }
        self.placement_needed = true;
        // The extension of a lease follows an answer at once, while the path to the worker works.
        self.issue_extension(&order.worker, now);
        outcome
    }

    /// Records the runs that a worker lists as running; returns how many were not known.
    fn record_listed_runs(&mut self, id: &WorkerId, answer: &RenewAnswer, now: Instant) -> usize {
        let running = answer.running.iter();
        running
            .filter(|running| self.run_listed(id, running, now))
            .count()
    }

    /// Removes the recorded runs of a worker that its complete lists show not to be there.
    /// `is_first` marks the first complete lists since the worker acknowledged the current token.
    fn remove_missing_runs(
        &mut self,
        id: &WorkerId,
        answer: &RenewAnswer,
        is_first: bool,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.reported = true;
        worker.reported_at.get_or_insert(now);
        if is_first && worker.listed && !worker.entry_is_current() {
            warn!("worker gets no task until its entry names the incarnation that answers", kv: {
                worker = id.as_str(), born_unix_ms = answer.started_unix_ms,
                listed_born_unix_ms = worker.entry.started_unix_ms
            });
        }
        let listed: HashSet<(&TaskName, RunNumber)> = answer
            .running
            .iter()
            .map(|running| (&running.task, running.run))
            .collect();
        let is_listed = |task: &TaskName, run: RunNumber| listed.contains(&(task, run));
        let list_is_newer = |run: &Run| match run.answered_clock {
            Some(clock) => clock < answer.clock,
            None => false,
        };
        let missing: Vec<TaskName> = worker
            .runs
            .iter()
            .filter(|(task, run)| !is_listed(task, run.run) && (is_first || list_is_newer(run)))
            .map(|(task, _)| task.clone())
            .collect();
        for task in missing {
            let run = self.workers.get(id).and_then(|it| it.runs.get(&task));
            info!("recorded run is not on its worker", kv: {
                job = task.step.job.as_str(), step = task.step.step, task = task.index,
                run:? = run.map(|run| run.run), phase:? = run.map(|run| run.phase),
                worker = id.as_str(), first_look = is_first
            });
            self.remove_run(id, &task, now);
            self.stop_rest_of_gang(&task);
        }
    }

    /// Records a run that a worker lists as running; returns whether it was not known.
    fn run_listed(&mut self, id: &WorkerId, running: &RunningTask, now: Instant) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        let known_run = worker.runs.get_mut(&running.task);
        if let Some(run) = known_run.filter(|run| run.run == running.run) {
            run.progress
                .get_or_insert(Progress::new(running.percent, now))
                .update(running.percent);
            run.seen_running = true;
            if run.phase == RunPhase::Starting {
                run.phase = RunPhase::Running;
                run.start_outcome_unknown = false;
                run.answered_clock = Some(Duration::ZERO);
            }
            self.record_checkpoint(running);
            return false;
        }
        self.record_unknown_run(id, running, now);
        true
    }

    /// Records the latest checkpoint of a running task.
    fn record_checkpoint(&mut self, running: &RunningTask) {
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

    /// Records a run that a worker lists and this leader does not know, such as one that an earlier
    /// leader ordered; stops the run if its job does not need it.
    fn record_unknown_run(&mut self, id: &WorkerId, running: &RunningTask, now: Instant) {
        let task = &running.task;
        let mut charged = None;
        let mut wanted = false;
        let mut expected_end = Some(now);
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            if job.phase == JobPhase::Live && !job.begun {
                // How long the job waited before this epoch is not known.
                job.begun = true;
                job.waiting_since = Some(now);
            }
            // An earlier leader whose clock was ahead, or that did not save the occurrence, began it.
            if job.begin_occurrences(task.step.occurrence.saturating_add(1)) {
                self.placeable.insert(task.step.job.clone());
            }
            let is_live = job.phase == JobPhase::Live;
            let spec = job.graph.steps.get(task.step.step as usize).cloned();
            if let Some(spec) = spec {
                charged = Some(spec.charged_resources());
                expected_end = spec.ends_by_itself().then(|| now + spec.estimate);
            }
            if let Some(unit) = job.unit_mut(&task.step, task.index) {
                let is_current = unit.placed.is_empty() || unit.last_run == running.run;
                let is_only_copy = !unit.placed.iter().any(|(index, _)| *index == task.index);
                wanted = is_live
                    && !unit.done
                    && is_current
                    && is_only_copy
                    && running.run >= unit.last_run;
                unit.last_run = unit.last_run.max(running.run);
                unit.placed.push((task.index, id.clone()));
                if !running.checkpoint.is_empty() && wanted {
                    unit.checkpoint = running.checkpoint.clone();
                }
            }
        }
        let worker = self.workers.get(id);
        let incarnation = worker.and_then(|worker| worker.incarnation);
        info!("worker lists an unknown run", kv: {
            job = task.step.job.as_str(), step = task.step.step, task = task.index,
            run = running.run, worker = id.as_str(), wanted = wanted,
            restarts = worker.map_or(0, |worker| worker.incarnations_seen),
            born_unix_ms:? = incarnation.map(|it| it.started_unix_ms)
        });
        let run = Run {
            run: running.run,
            charged,
            phase: RunPhase::Running,
            start_outcome_unknown: false,
            seen_running: true,
            answered_clock: Some(Duration::ZERO),
            known_since: now,
            expected_end,
            slowdown: 1.0,
            order_under_way: false,
            stop_sent: false,
            retry_at: None,
            start_order: None,
            progress: Some(Progress::new(running.percent, now)),
        };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.insert(task.clone(), run);
        }
        if !wanted {
            self.stop_with_gang(id, task);
        }
    }

    /// Removes a run that is known not to run any more and not to start later, and lets its unit be
    /// placed again.
    pub(crate) fn remove_run(&mut self, worker: &WorkerId, task: &TaskName, now: Instant) {
        self.placement_needed = true;
        let removed = self
            .workers
            .get_mut(worker)
            .and_then(|worker| worker.runs.remove(task));
        let Some(removed) = removed else {
            return;
        };
        if removed.start_under_way() {
            self.add_late_start(worker, task, removed.known_since, now);
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if let Some(unit) = job.unit_mut(&task.step, task.index) {
            unit.placed
                .retain(|(index, placed_on)| *index != task.index || placed_on != worker);
            if unit.placed.is_empty() {
                unit.stopping = false;
                if !unit.done && job.phase == JobPhase::Live {
                    self.make_placeable(&task.step.job, now);
                }
            }
        }
    }

    /// Stops tasks that cannot end before their worker leaves, so that they run elsewhere.
    pub(crate) fn stop_runs_on_leaving_workers(&mut self, now: Instant) {
        let stop_max = self.settings.task_stop_max;
        let mut stops = Vec::new();
        for worker in self.workers.values_mut() {
            let Some(leaving_at) = worker.leaving_at else {
                continue;
            };
            // The stop comes when the guaranteed time is nearly over, and early enough for the
            // task to save its progress.
            let leaves_soon = now + stop_max + LEAVE_MARGIN >= leaving_at;
            for (task, run) in &mut worker.runs {
                let ends_before = run.expected_end.is_some_and(|end| end <= leaving_at);
                if run.phase == RunPhase::Running && leaves_soon && !ends_before {
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
            self.stop_with_gang(&worker, &task);
        }
    }
}
