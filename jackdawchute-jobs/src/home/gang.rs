//! Gangs: holds are asked for rack by rack in the order of their groups, so two gangs never wait
//! for each other; a refused hold gives all back and the gang tries again later.

use std::{collections::BTreeSet, time::Instant};

use jackdawchute_admission::WorkItem;
use jackdawchute_types::{CallError, GroupId, JobId, JobKind, Refusal, WorkerId};

use crate::{
    effect::{AfterCall, Effect, Now},
    home::{
        assign::own_key,
        dispatch::{append_assignments, Assignments},
        job::{Job, Round, TaskPhase},
        state::{HomeGroups, Unit},
    },
    Call, Reply, TaskAttempt, TaskStart,
};

impl HomeGroups {
    /// Asks the first rack for holds.
    pub(crate) fn begin_round(
        &mut self,
        id: &JobId,
        work_item: WorkItem,
        workers: &[WorkerId],
        now: Instant,
    ) -> Vec<Effect> {
        let racks: Vec<Option<GroupId>> = workers.iter().map(|w| self.rack_of(w)).collect();
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
        job.rounds += 1;
        job.gang_work_item = Some(work_item);
        let resources = job.spec().resources;
        for (index, _, worker) in &plan {
            let key = own_key(&job.attempt(*index));
            self.view.charge(worker, &key, resources);
        }
        job.round = Some(Round {
            number: job.rounds,
            plan,
            to_ask: racks.into_iter().collect(),
            asked: Vec::new(),
        });
        self.ask_next_hold(id, now)
    }

    /// Asks the next rack, or assigns the gang once every rack holds its part.
    fn ask_next_hold(&mut self, id: &JobId, now: Instant) -> Vec<Effect> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let Some(round) = job.round.as_mut() else {
            return Vec::new();
        };
        let Some(rack) = round.to_ask.pop_front() else {
            return self.assign_gang(id, now);
        };
        round.asked.push(rack.clone());
        let after = AfterCall::HoldAnswered(id.clone(), round.number);
        let tasks = job.hold_tasks(&rack);
        let call = self.call_rack(&rack, |rack| Call::Hold { rack, tasks }, after);
        match call {
            Some(effect) => vec![effect],
            None => self.abort_round(id, now),
        }
    }

    /// Takes in a rack owner's answer to a hold.
    pub fn hold_answered(
        &mut self,
        id: &JobId,
        number: u32,
        result: Result<Result<Reply, Refusal>, CallError>,
        now: Now,
    ) -> Vec<Effect> {
        let held = match result {
            Ok(Ok(Reply::Rack { held, view, .. })) => {
                self.note_view(&view);
                held
            }
            _ => false,
        };
        let job = self.jobs.get(id);
        let current = job.is_some_and(|job| {
            job.round
                .as_ref()
                .is_some_and(|round| round.number == number)
        });
        if !current {
            return Vec::new();
        }
        if held && job.is_some_and(Job::may_start) && self.is_confirmed() {
            return self.ask_next_hold(id, now.instant);
        }
        self.abort_round(id, now.instant)
    }

    fn assign_gang(&mut self, id: &JobId, now: Instant) -> Vec<Effect> {
        let Some(round) = self.jobs.get_mut(id).and_then(|job| job.round.take()) else {
            return Vec::new();
        };
        let plan = round.plan.into_iter();
        let chosen: Vec<(u32, WorkerId)> = plan.map(|(index, _, worker)| (index, worker)).collect();
        let mut assignments = Assignments::new();
        self.assign(id, &chosen, None, now, &mut assignments);
        append_assignments(assignments).collect()
    }

    /// Gives all holds back and lets the gang try again later.
    pub(crate) fn abort_round(&mut self, id: &JobId, now: Instant) -> Vec<Effect> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let Some(round) = job.round.take() else {
            return Vec::new();
        };
        let attempts: Vec<(GroupId, TaskAttempt)> = round
            .plan
            .iter()
            .map(|(index, rack, _)| (rack.clone(), job.attempt(*index)))
            .collect();
        job.note("a rack had no room for its part of the gang");
        let mut effects = Vec::new();
        for rack in &round.asked {
            let of_rack = attempts.iter().filter(|(group, _)| group == rack);
            let tasks = of_rack.map(|(_, attempt)| attempt.clone()).collect();
            let call = |rack| Call::Release { rack, tasks };
            effects.extend(self.call_rack(rack, call, AfterCall::Nothing));
        }
        for (_, attempt) in &attempts {
            self.view.release(&own_key(attempt));
        }
        self.requeue_gang(id, now);
        effects
    }

    /// Has the other tasks of a gang end, once one of them runs no more.
    pub(crate) fn break_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let on_worker = |task: &crate::home::Task| matches!(task.phase, TaskPhase::Assigned { .. });
        for index in job.indices(on_worker) {
            if let Some(task) = job.task_mut(index).filter(|task| !task.stopping) {
                task.stopping = true;
                self.to_ask.insert((id.clone(), index), None);
            }
        }
    }

    /// Ends a gang of which a task failed for good.
    pub(crate) fn give_up_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.spec().kind != JobKind::Gang || !job.gave_up() {
            return;
        }
        for index in job.indices(|task| task.phase == TaskPhase::Waiting) {
            if let Some(task) = job.task_mut(index) {
                task.phase = TaskPhase::Cancelled;
            }
        }
        self.break_gang(id);
    }

    /// Queues a gang again once none of its tasks is on a worker.
    pub(crate) fn requeue_gang(&mut self, id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let placed = !job.workers().is_empty() || job.round.is_some();
        if job.spec().kind != JobKind::Gang || placed {
            return;
        }
        let work_item = job.gang_work_item.take();
        let waits = job
            .tasks
            .iter()
            .any(|task| task.phase == TaskPhase::Waiting);
        if !waits || !job.may_start() || job.gang_queue.is_some() {
            if let Some(work_item) = work_item {
                self.admission.release(&work_item, Default::default());
            }
            return;
        }
        let failures = job.rounds;
        let unit = Unit {
            job: id.clone(),
            index: None,
        };
        self.delay(unit, work_item, now, failures.min(4));
    }
}

impl Job {
    fn hold_tasks(&self, rack: &GroupId) -> Vec<TaskStart> {
        let plan = self.round.iter().flat_map(|round| &round.plan);
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
