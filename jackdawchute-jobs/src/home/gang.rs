//! Gangs: holds are requested rack by rack in the order of their groups, so that two gangs never
//! wait for each other. After a refused hold all holds are released and the gang tries again later.

use std::{collections::BTreeSet, time::Instant};

use jackdawchute_admission::WorkItem;
use jackdawchute_types::{CallError, GroupId, JobId, JobKind, Refusal, WorkerId};

use crate::{
    effect::{AfterCall, Effect, Now},
    home::{
        assign::assignment_key,
        dispatch::{append_assignments, Assignments},
        job::{HoldRound, Job, TaskPhase},
        state::{HomeGroups, Unit},
    },
    Call, Reply, TaskAttempt, TaskStart,
};

impl HomeGroups {
    /// Begins a hold round with a call to the first rack.
    pub(crate) fn begin_hold_round(
        &mut self,
        id: &JobId,
        work_item: WorkItem,
        workers: &[WorkerId],
        now: Instant,
    ) -> Vec<Effect> {
        let racks: Vec<Option<GroupId>> = workers.iter().map(|w| self.rack_group_of(w)).collect();
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let waiting = job.indices(|task| task.phase == TaskPhase::Waiting);
        let plan: Vec<(u32, GroupId, WorkerId)> = waiting
            .into_iter()
            .zip(workers)
            .zip(racks)
            .filter_map(|((index, worker), rack)| Some((index, rack?, worker.clone())))
            .collect();
        for (index, ..) in &plan {
            if let Some(task) = job.task_mut(*index) {
                task.attempt += 1;
            }
        }
        let racks: BTreeSet<GroupId> = plan.iter().map(|(_, rack, _)| rack.clone()).collect();
        job.hold_rounds += 1;
        job.gang_work_item = Some(work_item);
        let resources = job.spec().resources;
        for (index, _, worker) in &plan {
            let key = assignment_key(&job.attempt(*index));
            self.fleet_view.charge(worker, &key, resources);
        }
        job.hold_round = Some(HoldRound {
            number: job.hold_rounds,
            plan,
            racks_to_ask: racks.into_iter().collect(),
            racks_asked: Vec::new(),
        });
        self.request_next_hold(id, now)
    }

    /// Calls the next rack, or assigns the gang once every rack holds capacity for its tasks.
    fn request_next_hold(&mut self, id: &JobId, now: Instant) -> Vec<Effect> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let Some(round) = job.hold_round.as_mut() else {
            return Vec::new();
        };
        let Some(rack) = round.racks_to_ask.pop_front() else {
            return self.assign_gang(id, now);
        };
        round.racks_asked.push(rack.clone());
        let after = AfterCall::HoldAnswered(id.clone(), round.number);
        let tasks = job.hold_tasks(&rack);
        let call = self.call_rack(&rack, |rack| Call::Hold { rack, tasks }, after);
        match call {
            Some(effect) => vec![effect],
            None => self.abort_hold_round(id, now),
        }
    }

    /// Applies a rack owner's answer to a hold call: goes on with the round or aborts it. Answers
    /// to earlier rounds are ignored.
    pub fn hold_answered(
        &mut self,
        id: &JobId,
        number: u32,
        result: Result<Result<Reply, Refusal>, CallError>,
        now: Now,
    ) -> Vec<Effect> {
        let held = match result {
            Ok(Ok(Reply::Rack { held, view, .. })) => {
                self.apply_view(&view);
                held
            }
            _ => false,
        };
        let job = self.jobs.get(id);
        let current = job.is_some_and(|job| {
            job.hold_round
                .as_ref()
                .is_some_and(|round| round.number == number)
        });
        if !current {
            return Vec::new();
        }
        if held && job.is_some_and(Job::may_start) && self.is_confirmed() {
            return self.request_next_hold(id, now.instant);
        }
        self.abort_hold_round(id, now.instant)
    }

    /// Assigns all tasks of a gang as the finished hold round planned.
    fn assign_gang(&mut self, id: &JobId, now: Instant) -> Vec<Effect> {
        let Some(round) = self.jobs.get_mut(id).and_then(|job| job.hold_round.take()) else {
            return Vec::new();
        };
        let plan = round.plan.into_iter();
        let chosen: Vec<(u32, WorkerId)> = plan.map(|(index, _, worker)| (index, worker)).collect();
        let mut assignments = Assignments::new();
        self.assign(id, &chosen, None, now, &mut assignments);
        append_assignments(assignments).collect()
    }

    /// Releases all holds of the round that is under way and queues the gang to try again later.
    pub(crate) fn abort_hold_round(&mut self, id: &JobId, now: Instant) -> Vec<Effect> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let Some(round) = job.hold_round.take() else {
            return Vec::new();
        };
        let attempts: Vec<(GroupId, TaskAttempt)> = round
            .plan
            .iter()
            .map(|(index, rack, _)| (rack.clone(), job.attempt(*index)))
            .collect();
        job.record_event("a rack had no room for its part of the gang");
        let mut effects = Vec::new();
        for rack in &round.racks_asked {
            let of_rack = attempts.iter().filter(|(group, _)| group == rack);
            let tasks = of_rack.map(|(_, attempt)| attempt.clone()).collect();
            let call = |rack| Call::Release { rack, tasks };
            effects.extend(self.call_rack(rack, call, AfterCall::Nothing));
        }
        for (_, attempt) in &attempts {
            self.fleet_view.release(&assignment_key(attempt));
        }
        self.requeue_gang(id, now);
        effects
    }

    /// Marks the placed tasks of a gang to be stopped, once one of its tasks does not run any more.
    pub(crate) fn stop_gang_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_assigned =
            |task: &crate::home::Task| matches!(task.phase, TaskPhase::Assigned { .. });
        for index in job.indices(is_assigned) {
            if let Some(task) = job.task_mut(index).filter(|task| !task.stopping) {
                task.stopping = true;
                self.pending_rack_calls.insert((id.clone(), index), None);
            }
        }
    }

    /// Ends a gang that may not start again: cancels its waiting tasks and stops the others.
    pub(crate) fn end_failed_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.spec().kind != JobKind::Gang || !job.is_ending() {
            return;
        }
        for index in job.indices(|task| task.phase == TaskPhase::Waiting) {
            if let Some(task) = job.task_mut(index) {
                task.phase = TaskPhase::Cancelled;
            }
        }
        self.stop_gang_tasks(id);
    }

    /// Queues a gang again once none of its tasks is placed and no hold round is under way.
    pub(crate) fn requeue_gang(&mut self, id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let placed = !job.workers().is_empty() || job.hold_round.is_some();
        if job.spec().kind != JobKind::Gang || placed {
            return;
        }
        let work_item = job.gang_work_item.take();
        let waits = job
            .tasks
            .iter()
            .any(|task| task.phase == TaskPhase::Waiting);
        if !waits || !job.may_start() || job.gang_queue_key.is_some() {
            if let Some(work_item) = work_item {
                self.admission.release(&work_item, Default::default());
            }
            return;
        }
        let failures = job.hold_rounds;
        let unit = Unit {
            job: id.clone(),
            index: None,
        };
        self.delay(unit, work_item, now, failures.min(4));
    }
}

impl Job {
    /// Returns the tasks of the hold round that are planned for a rack.
    fn hold_tasks(&self, rack: &GroupId) -> Vec<TaskStart> {
        let plan = self.hold_round.iter().flat_map(|round| &round.plan);
        plan.filter(|(_, group, _)| group == rack)
            .map(|(index, _, worker)| TaskStart {
                id: self.attempt(*index),
                job: self.id().clone(),
                team: self.spec().team.clone(),
                worker: worker.clone(),
                resources: self.spec().resources,
                command: self.spec().command.clone(),
            })
            .collect()
    }
}
