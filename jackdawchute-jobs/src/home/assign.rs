//! Assignment of tasks to workers, which is journaled before the rack owner is called.

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
    record::{put_entry, task_key},
    TaskAttempt,
};

impl HomeGroups {
    /// Assigns waiting tasks to workers and adds the entries to journal to `assignments`.
    /// `work_item` is that of a single task, or `None` for the tasks of a gang.
    pub(crate) fn assign(
        &mut self,
        id: &JobId,
        chosen: &[(u32, WorkerId)],
        work_item: Option<WorkItem>,
        now: Instant,
        assignments: &mut Assignments,
    ) {
        for (index, worker) in chosen {
            let Some(rack) = self.rack_group_of(worker) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(id) else {
                return;
            };
            let Some(task) = job.task_mut(*index) else {
                continue;
            };
            // The attempts of a gang were numbered when its hold round began.
            if work_item.is_some() {
                task.attempt += 1;
            }
            task.work_item = work_item.clone();
            task.rack_calls = 0;
            task.rack_epoch = 0;
            task.stopping = false;
            task.assigned_at = Some(now);
            let worker = worker.clone();
            task.phase = TaskPhase::Assigning { rack, worker };
            self.journal_assignment(id, *index, assignments);
        }
    }

    /// Charges an assignment to the fleet view and adds its entry to `assignments`.
    fn journal_assignment(&mut self, id: &JobId, index: u32, assignments: &mut Assignments) {
        let Some(job) = self.jobs.get(id) else { return };
        let (Some(record), attempt) = (job.task_record(index), job.attempt(index)) else {
            return;
        };
        let key = task_key(id, index);
        self.unjournaled.remove(&(job.group.clone(), key.clone()));
        let entry = put_entry(&job.group, key, &record);
        let resources = job.spec().resources;
        if let Some(TaskPhase::Assigning { worker, .. }) =
            job.tasks.get(index as usize).map(|task| &task.phase)
        {
            self.fleet_view
                .charge(worker, &assignment_key(&attempt), resources);
        }
        let (entries, indices) = assignments.entry(id.clone()).or_default();
        entries.push(entry);
        indices.push(index);
    }

    /// Calls rack owners to start assignments that were journaled, or undoes those that were not.
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
        self.send_rack_calls(now.instant)
    }

    /// Marks an assignment as journaled, with a call to its rack owner pending.
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
            self.pending_rack_calls.insert((id.clone(), index), None);
        }
    }

    /// Undoes an assignment whose append failed: it can never get into the journal, and no rack
    /// owner was called.
    fn unassign(&mut self, id: &JobId, index: u32, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let attempt = job.attempt(index);
        let ending = job.is_ending();
        let Some(task) = job.task_mut(index) else {
            return;
        };
        let work_item = task.work_item.take();
        task.assigned_at = None;
        task.phase = if ending {
            TaskPhase::Cancelled
        } else {
            TaskPhase::Waiting
        };
        self.fleet_view.release(&assignment_key(&attempt));
        if let Some(work_item) = work_item {
            let unit = Unit {
                job: id.clone(),
                index: Some(index),
            };
            if ending {
                self.admission.release(&work_item, Default::default());
            } else {
                self.delay(unit, Some(work_item), now, 0);
            }
        }
        if ending {
            self.finish_if_over(id, now);
        }
    }

    /// Returns the group of a worker's rack, or `None` for an unlisted worker.
    pub(crate) fn rack_group_of(&self, worker: &WorkerId) -> Option<GroupId> {
        self.fleet_view
            .get(worker)
            .map(|worker| rack_group(&worker.rack))
    }

    /// Returns the reason to refuse work that waited beyond its deadline.
    pub(crate) fn expiry_reason(&self) -> RefusalReason {
        if self.is_confirmed() {
            RefusalReason::DeadlineExpired
        } else {
            RefusalReason::StoreUnavailable
        }
    }
}

/// Returns the key under which the fleet view holds the charge of an assigned task until its rack
/// owner answers.
pub(crate) fn assignment_key(id: &TaskAttempt) -> TaskId {
    format_smolstr!("{}#{}", id.task, id.attempt)
}
