//! Calls to rack owners, repeated until each task has a definite answer.

use std::{collections::BTreeMap, time::Instant};

use jackdawchute_types::{CallError, GroupId, JobId, Refusal};

use crate::{
    effect::{AfterCall, Effect, Now},
    home::{
        assign::own_key,
        job::{parse_task, TaskPhase},
        state::HomeGroups,
    },
    AttemptEnd, AttemptState, Call, GroupEpoch, NotStartedReason, Reply, TaskAttempt, TaskStart,
};

/// The most tasks in one call.
const TASKS_PER_CALL_MAX: usize = 500;

/// The tasks for one rack owner, from one home group.
#[derive(Default)]
struct Batch {
    starts: Vec<TaskStart>,
    stops: Vec<TaskAttempt>,
}

impl HomeGroups {
    /// Calls the rack owners of tasks that wait for an answer.
    pub(crate) fn ask_racks(&mut self, now: Instant) -> Vec<Effect> {
        let mut batches: BTreeMap<(GroupId, GroupId), Batch> = BTreeMap::new();
        let due: Vec<(JobId, u32)> = self
            .to_ask
            .iter()
            .filter(|(_, asked)| {
                asked.is_none_or(|at| now.saturating_duration_since(at) >= self.settings.resend)
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

    fn add_to_batch(
        &mut self,
        id: &JobId,
        index: u32,
        now: Instant,
        batches: &mut BTreeMap<(GroupId, GroupId), Batch>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            self.to_ask.remove(&(id.clone(), index));
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
        if !self.directory.owners.contains_key(rack) {
            return;
        }
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
        task.asked = task.asked.saturating_add(1);
        self.to_ask.insert((id.clone(), index), Some(now));
    }

    fn call_batch(&self, home: &GroupId, rack: &GroupId, batch: Batch) -> Vec<Effect> {
        let Some(epoch) = self.owned.get(home) else {
            return Vec::new();
        };
        let home = GroupEpoch {
            group: home.clone(),
            epoch: *epoch,
        };
        let mut effects = Vec::new();
        for starts in batch.starts.chunks(TASKS_PER_CALL_MAX) {
            let after =
                AfterCall::RackAnswered(starts.iter().map(|task| task.id.clone()).collect());
            let (home, tasks) = (home.clone(), starts.to_vec());
            let call = |rack| Call::Start { rack, home, tasks };
            effects.extend(self.call_rack(rack, call, after));
        }
        for stops in batch.stops.chunks(TASKS_PER_CALL_MAX) {
            let after = AfterCall::RackAnswered(stops.to_vec());
            let (home, tasks) = (home.clone(), stops.to_vec());
            let call = |rack| Call::Stop { rack, home, tasks };
            effects.extend(self.call_rack(rack, call, after));
        }
        effects
    }

    /// Takes in a rack owner's answer about tasks, or its absence.
    pub fn rack_answered(
        &mut self,
        ids: &[TaskAttempt],
        result: Result<Result<Reply, Refusal>, CallError>,
        now: Now,
    ) -> Vec<Effect> {
        match result {
            Ok(Ok(Reply::Rack { answers, view, .. })) => {
                for answer in &answers {
                    self.note_answer(&answer.id, answer.state, now.instant);
                }
                self.note_view(&view);
            }
            Err(CallError::NotDelivered(..)) => {
                for id in ids {
                    self.note_not_delivered(id, now.instant);
                }
            }
            _ => {}
        }
        self.dispatch(now)
    }

    fn note_answer(&mut self, id: &TaskAttempt, state: AttemptState, now: Instant) {
        self.view.release(&own_key(id));
        self.note_state(id, state, now);
    }

    /// An attempt that no rack owner ever heard of was not started.
    fn note_not_delivered(&mut self, id: &TaskAttempt, now: Instant) {
        let Some((job, index)) = parse_task(&id.task) else {
            return;
        };
        let task = self.jobs.get(&job);
        let task = task.and_then(|job| job.tasks.get(index as usize));
        let first = task.is_some_and(|task| task.asked == 1 && !task.stopping);
        if first {
            let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
            self.note_state(id, AttemptState::Ended(end), now);
        }
    }
}
