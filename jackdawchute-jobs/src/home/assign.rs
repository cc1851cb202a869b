//! Assignment of tasks to racks: journaled before any rack owner hears of it.

use std::time::Instant;

use jackdawchute_admission::WorkItem;
use jackdawchute_ownership::Error as JournalError;
use jackdawchute_types::{GroupId, JobId, RefusalReason, TaskId, WorkerId};
use smol_str::format_smolstr;

use crate::{
    effect::{Effect, Now},
    home::{
        dispatch::Assignments,
        job::TaskPhase,
        state::{HomeGroups, Unit},
    },
    rack_group,
    record::{put, task_key},
    TaskAttempt,
};

impl HomeGroups {
    /// Assigns waiting tasks to workers and notes the entries to journal.
    pub(crate) fn assign(
        &mut self,
        id: &JobId,
        chosen: &[(u32, WorkerId)],
        work_item: Option<WorkItem>,
        now: Instant,
        assignments: &mut Assignments,
    ) {
        for (index, worker) in chosen {
            let Some(rack) = self.rack_of(worker) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(id) else {
                return;
            };
            let Some(task) = job.task_mut(*index) else {
                continue;
            };
            // The attempts of a gang were numbered when its holds were asked for.
            if work_item.is_some() {
                task.attempt += 1;
            }
            task.work_item = work_item.clone();
            task.asked = 0;
            task.stopping = false;
            task.assigned = Some(now);
            let worker = worker.clone();
            task.phase = TaskPhase::Assigning { rack, worker };
            self.journal_assignment(id, *index, assignments);
        }
    }

    fn journal_assignment(&mut self, id: &JobId, index: u32, assignments: &mut Assignments) {
        let Some(job) = self.jobs.get(id) else { return };
        let (Some(record), attempt) = (job.task_record(index), job.attempt(index)) else {
            return;
        };
        let key = task_key(id, index);
        self.unjournaled.remove(&(job.group.clone(), key.clone()));
        let entry = put(&job.group, key, &record);
        let resources = job.spec().resources;
        if let Some(TaskPhase::Assigning { worker, .. }) =
            job.tasks.get(index as usize).map(|task| &task.phase)
        {
            self.view.charge(worker, &own_key(&attempt), resources);
        }
        let (entries, indices) = assignments.entry(id.clone()).or_default();
        entries.push(entry);
        indices.push(index);
    }

    /// Asks rack owners to start what is journaled; puts the rest back.
    pub fn assigned(
        &mut self,
        id: &JobId,
        indices: &[u32],
        result: Result<(), JournalError>,
        now: Now,
    ) -> Vec<Effect> {
        for index in indices {
            match &result {
                Ok(()) => self.set_assigned(id, *index),
                Err(_) => self.unassign(id, *index, now.instant),
            }
        }
        if result.is_err() {
            self.requeue_gang(id, now.instant);
            return Vec::new();
        }
        self.ask_racks(now.instant)
    }

    fn set_assigned(&mut self, id: &JobId, index: u32) {
        let Some(task) = self.jobs.get_mut(id).and_then(|job| job.task_mut(index)) else {
            return;
        };
        if let TaskPhase::Assigning { rack, worker } = task.phase.clone() {
            let running = false;
            task.phase = TaskPhase::Assigned {
                rack,
                worker,
                running,
            };
            self.to_ask.insert((id.clone(), index), None);
        }
    }

    /// Takes back an assignment that is surely not in the journal; nothing was sent.
    fn unassign(&mut self, id: &JobId, index: u32, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let attempt = job.attempt(index);
        let over = job.gave_up();
        let Some(task) = job.task_mut(index) else {
            return;
        };
        let work_item = task.work_item.take();
        task.assigned = None;
        task.phase = if over {
            TaskPhase::Cancelled
        } else {
            TaskPhase::Waiting
        };
        self.view.release(&own_key(&attempt));
        if let Some(work_item) = work_item {
            let unit = Unit {
                job: id.clone(),
                index: Some(index),
            };
            if over {
                self.admission.release(&work_item, Default::default());
            } else {
                self.delay(unit, Some(work_item), now, 0);
            }
        }
        if over {
            self.finish_if_over(id, now);
        }
    }

    pub(crate) fn rack_of(&self, worker: &WorkerId) -> Option<GroupId> {
        self.view.get(worker).map(|slot| rack_group(&slot.rack))
    }

    /// The reason for work that waited in vain.
    pub(crate) fn expiry_reason(&self) -> RefusalReason {
        if self.is_confirmed() {
            RefusalReason::DeadlineExpired
        } else {
            RefusalReason::StoreUnavailable
        }
    }
}

/// The name of a charge for a task whose rack owner has not answered yet.
pub(crate) fn own_key(id: &TaskAttempt) -> TaskId {
    format_smolstr!("{}#{}", id.task, id.attempt)
}
