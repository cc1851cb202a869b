//! Start and stop calls to rack owners, repeated until each task has a definite answer.

use std::{collections::BTreeMap, time::Instant};

use jackdawchute_types::{CallError, Epoch, GroupId, JobId, Refusal};

use crate::{
    effect::{AfterCall, Effect, Now},
    home::{
        assign::assignment_key,
        job::{parse_task, TaskPhase},
        state::HomeGroups,
    },
    AttemptEnd, AttemptState, Call, GroupEpoch, NotStartedReason, Reply, TaskAttempt, TaskStart,
};

/// The most tasks in one call to a rack owner.
const TASKS_PER_CALL_MAX: usize = 500;

/// The tasks to start and stop on one rack, from one home group.
#[derive(Default)]
struct RackCallBatch {
    starts: Vec<TaskStart>,
    stops: Vec<TaskAttempt>,
}

impl HomeGroups {
    /// Makes the pending calls to rack owners that were not made within the resend time.
    pub(crate) fn send_rack_calls(&mut self, now: Instant) -> Vec<Effect> {
        let mut batches: BTreeMap<(GroupId, GroupId), RackCallBatch> = BTreeMap::new();
        let due: Vec<(JobId, u32)> = self
            .pending_rack_calls
            .iter()
            .filter(|(_, called_at)| {
                called_at.is_none_or(|at| now.saturating_duration_since(at) >= self.settings.resend)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for (id, index) in due {
            self.add_to_batch(&id, index, now, &mut batches);
        }
        let mut effects = Vec::new();
        for ((home, rack), batch) in batches {
            effects.extend(self.call_batch(&home, &rack, batch));
        }
        effects
    }

    /// Makes the calls due again whose rack has a later owner than the one that was called: that one
    /// refuses them or has ended.
    pub(crate) fn call_replaced_racks_again(&mut self) {
        for ((id, index), called_at) in &mut self.pending_rack_calls {
            let job = self.jobs.get(id);
            let Some(task) = job.and_then(|job| job.tasks.get(*index as usize)) else {
                continue;
            };
            if let TaskPhase::Assigned { rack, .. } = &task.phase {
                let owner = self.directory.owners.get(rack);
                if owner.is_some_and(|owner| owner.epoch > task.rack_epoch) {
                    *called_at = None;
                }
            }
        }
    }

    /// Adds the pending start or stop of a task to the batch of its rack, if the rack has an owner.
    fn add_to_batch(
        &mut self,
        id: &JobId,
        index: u32,
        now: Instant,
        batches: &mut BTreeMap<(GroupId, GroupId), RackCallBatch>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            self.pending_rack_calls.remove(&(id.clone(), index));
            return;
        };
        let attempt = job.attempt(index);
        let (spec, home) = (job.spec().clone(), job.group.clone());
        let Some(task) = job.task_mut(index) else {
            return;
        };
        let TaskPhase::Assigned { rack, worker, .. } = &task.phase else {
            return;
        };
        let Some(owner) = self.directory.owners.get(rack) else {
            return;
        };
        let batch = batches.entry((home, rack.clone())).or_default();
        if task.stopping {
            batch.stops.push(attempt);
        } else {
            batch.starts.push(TaskStart {
                id: attempt,
                job: id.clone(),
                team: spec.team,
                worker: worker.clone(),
                resources: spec.resources,
                command: spec.command,
            });
        }
        task.rack_calls = task.rack_calls.saturating_add(1);
        // An outdated directory may name an earlier owner than the last one called.
        task.rack_epoch = task.rack_epoch.max(owner.epoch);
        self.pending_rack_calls
            .insert((id.clone(), index), Some(now));
    }

    /// Returns the calls for a batch, none if the home group was lost.
    fn call_batch(&self, home: &GroupId, rack: &GroupId, batch: RackCallBatch) -> Vec<Effect> {
        let (Some(epoch), Some(owner)) = (self.owned.get(home), self.directory.owners.get(rack))
        else {
            return Vec::new();
        };
        let home = GroupEpoch {
            group: home.clone(),
            epoch: *epoch,
        };
        let mut effects = Vec::new();
        for starts in batch.starts.chunks(TASKS_PER_CALL_MAX) {
            let ids = starts.iter().map(|task| task.id.clone()).collect();
            let after = AfterCall::RackAnswered(owner.epoch, ids);
            let (home, tasks) = (home.clone(), starts.to_vec());
            let call = |rack| Call::Start { rack, home, tasks };
            effects.extend(self.call_rack(rack, call, after));
        }
        for stops in batch.stops.chunks(TASKS_PER_CALL_MAX) {
            let after = AfterCall::RackAnswered(owner.epoch, stops.to_vec());
            let (home, tasks) = (home.clone(), stops.to_vec());
            let call = |rack| Call::Stop { rack, home, tasks };
            effects.extend(self.call_rack(rack, call, after));
        }
        effects
    }

    /// Applies the answer of the rack owner of `epoch` to a start or stop call. After a lost answer
    /// or a refusal the calls stay pending; a call that was not delivered ends attempts that no rack
    /// owner knows.
    pub fn rack_answered(
        &mut self,
        epoch: Epoch,
        ids: &[TaskAttempt],
        result: Result<Result<Reply, Refusal>, CallError>,
        now: Now,
    ) -> Vec<Effect> {
        match result {
            Ok(Ok(Reply::Rack { answers, view, .. })) => {
                for answer in &answers {
                    self.apply_answer(epoch, &answer.id, answer.state, now.instant);
                }
                self.apply_view(&view);
            }
            Err(error) if error.is_undelivered() => {
                for id in ids {
                    self.end_undelivered(id, now.instant);
                }
            }
            _ => {}
        }
        self.dispatch(now)
    }

    /// Applies the answer for one attempt, whose charge is part of the rack's view from now on. That
    /// a replaced rack owner did not start the attempt says nothing about its successor.
    fn apply_answer(&mut self, epoch: Epoch, id: &TaskAttempt, state: AttemptState, now: Instant) {
        let not_started = matches!(state, AttemptState::Ended(AttemptEnd::NotStarted(_)));
        if not_started && self.later_owner_was_called(epoch, id) {
            spdlog::info!(
                "attempt {} of task {} was not started in epoch {} of its rack; a later owner was \
                 called",
                id.attempt,
                id.task,
                epoch
            );
            return;
        }
        self.fleet_view.release(&assignment_key(id));
        self.apply_attempt_state(id, state, now);
    }

    /// Returns whether a rack owner of a later epoch was called for the attempt.
    fn later_owner_was_called(&self, epoch: Epoch, id: &TaskAttempt) -> bool {
        let task = parse_task(&id.task).and_then(|(job, index)| {
            let job = self.jobs.get(&job)?;
            job.tasks.get(index as usize)
        });
        task.is_some_and(|task| task.attempt == id.attempt && task.rack_epoch > epoch)
    }

    /// Ends an attempt as not started if the call that was not delivered was the first one for it: no
    /// rack owner has received a start then, from this home owner or a former one. Its rack gets no
    /// further task before its owner has answered.
    fn end_undelivered(&mut self, id: &TaskAttempt, now: Instant) {
        let Some((job, index)) = parse_task(&id.task) else {
            return;
        };
        let task = self.jobs.get(&job);
        let task = task.and_then(|job| job.tasks.get(index as usize));
        let first_call = task.filter(|task| task.rack_calls == 1 && !task.stopping);
        if let Some(TaskPhase::Assigned { rack, .. }) = first_call.map(|task| &task.phase) {
            self.close_rack(&rack.clone());
            let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
            self.apply_attempt_state(id, AttemptState::Ended(end), now);
        }
    }
}
