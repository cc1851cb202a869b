//! The state of a job and its tasks at the home owner.

use std::{collections::VecDeque, time::Instant};

use jackdawchute_admission::{WorkItem, WorkItemId};
use jackdawchute_types::{Epoch, GroupId, JobId, JobKind, JobSpec, TaskId, WorkerId};
use smol_str::SmolStr;

use crate::{
    effect::CallId,
    home::state::ReadyKey,
    record::{JobRecord, JournaledTaskState, TaskRecord},
    TaskAttempt,
};

/// The most events that the history of a job keeps.
const HISTORY_MAX: usize = 16;

/// The state of a task, as its home owner knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// The task waits for a worker.
    Waiting,
    /// The assignment is being journaled; no rack owner was called.
    Assigning {
        /// The rack's group.
        rack: GroupId,
        /// The chosen worker.
        worker: WorkerId,
    },
    /// The assignment is journaled; the task may run.
    Assigned {
        /// The rack's group.
        rack: GroupId,
        /// The chosen worker.
        worker: WorkerId,
        /// Whether the rack owner reported the task as running.
        running: bool,
    },
    /// The task ended with success.
    Succeeded,
    /// The task ended with failure and is not retried any more.
    Failed,
    /// The task was stopped, or never started, on request, at the deadline or with its gang.
    Cancelled,
}

impl TaskPhase {
    /// Returns whether the phase is final.
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// The state of one task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// The number of the last attempt, 0 before the first.
    pub attempt: u32,
    /// The number of failed attempts.
    pub failures: u32,
    /// The phase of the task.
    pub phase: TaskPhase,
    /// Whether the rack owner is asked to stop the current attempt.
    pub stopping: bool,
    /// The number of calls to the rack owner for the current attempt, with one that a former home
    /// owner may have made.
    pub(crate) rack_calls: u32,
    /// The highest epoch of a rack owner that was called for the current attempt, 0 before the
    /// first call.
    pub(crate) rack_epoch: Epoch,
    /// When the current attempt was assigned.
    pub(crate) assigned_at: Option<Instant>,
    /// The work item that admission counts as used by the current attempt; `None` for tasks of a
    /// gang and for recovered attempts.
    pub(crate) work_item: Option<WorkItem>,
    /// Where the task is queued; `None` for tasks of a gang, which is queued as a whole.
    pub(crate) queue_key: Option<QueueKey>,
}

impl Default for Task {
    fn default() -> Self {
        Self {
            attempt: 0,
            failures: 0,
            phase: TaskPhase::Waiting,
            stopping: false,
            rack_calls: 0,
            rack_epoch: 0,
            assigned_at: None,
            work_item: None,
            queue_key: None,
        }
    }
}

/// The queue that a unit waits in, with its key there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum QueueKey {
    /// In the admission policy.
    Queued(WorkItemId),
    /// Admitted, waiting for a worker with enough free capacity.
    Ready(ReadyKey),
    /// Waiting for the time of its next try.
    Delayed((Instant, u64)),
}

/// The progress of a job's acceptance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Acceptance {
    /// The job is not sent to the journal yet, or has to be sent again.
    Waiting,
    /// The job is being journaled.
    Journaling,
    /// The job is journaled.
    Accepted,
}

/// A round of hold calls for a gang, to one rack after the other in the order of their groups.
#[derive(Clone, Debug)]
pub(crate) struct HoldRound {
    /// The number of the round, which tells its answers from those of earlier rounds.
    pub number: u32,
    /// The index of each waiting task, with the rack's group and the worker chosen for it.
    pub plan: Vec<(u32, GroupId, WorkerId)>,
    /// The racks that are not called yet.
    pub racks_to_ask: VecDeque<GroupId>,
    /// The racks that were called and may hold capacity.
    pub racks_asked: Vec<GroupId>,
}

/// The state of a job at its home owner.
#[derive(Clone, Debug)]
pub struct Job {
    /// The journaled record.
    pub record: JobRecord,
    /// The tasks, in the order of their indices.
    pub tasks: Vec<Task>,
    /// The home group of the job.
    pub(crate) group: GroupId,
    /// When the job was submitted, which counts as the time of its acceptance.
    pub(crate) accepted_at: Instant,
    /// When the job is refused if one of its tasks still waits; `None` without a deadline.
    pub(crate) deadline: Option<Instant>,
    /// When the submission is refused if the job is not journaled by then.
    pub(crate) accept_by: Instant,
    pub(crate) acceptance: Acceptance,
    /// Submissions that are answered once the job is journaled.
    pub(crate) submit_calls: Vec<CallId>,
    /// Cancellations that are answered once the cancellation is journaled.
    pub(crate) cancel_calls: Vec<CallId>,
    /// The hold round of the gang that is under way.
    pub(crate) hold_round: Option<HoldRound>,
    /// The number of hold rounds so far.
    pub(crate) hold_rounds: u32,
    /// The work item that admission counts as used by the gang.
    pub(crate) gang_work_item: Option<WorkItem>,
    /// Where the gang is queued.
    pub(crate) gang_queue_key: Option<QueueKey>,
    /// When a task was last reported as running for the first time in its attempt.
    pub(crate) last_start: Option<Instant>,
    /// Whether all tasks are over.
    pub(crate) finished: bool,
    /// The last events, oldest first, for explanations.
    pub(crate) history: VecDeque<SmolStr>,
}

impl Job {
    /// Returns the id of the job.
    pub fn id(&self) -> &JobId {
        &self.record.id
    }

    /// Returns the job as submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Returns whether queued tasks of the job may be placed.
    pub(crate) fn may_start(&self) -> bool {
        self.acceptance == Acceptance::Accepted && self.cancel_calls.is_empty() && !self.is_ending()
    }

    /// Returns whether no task of the job may start any more: it was cancelled or refused, or is a
    /// gang of which a task failed for good.
    pub(crate) fn is_ending(&self) -> bool {
        let failed = |task: &Task| task.phase == TaskPhase::Failed;
        self.record.cancelled
            || self.record.refused.is_some()
            || (self.spec().kind == JobKind::Gang && self.tasks.iter().any(failed))
    }

    /// Adds an event to the history, dropping the oldest one if it is full.
    pub(crate) fn record_event(&mut self, line: impl Into<SmolStr>) {
        if self.history.len() >= HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(line.into());
    }

    /// Returns the id of the current attempt of a task.
    pub(crate) fn attempt(&self, index: u32) -> TaskAttempt {
        let task = self.tasks.get(index as usize);
        TaskAttempt {
            task: JobSpec::task_id(&self.record.id, index),
            attempt: task.map_or(0, |task| task.attempt),
        }
    }

    pub(crate) fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(index as usize)
    }

    /// Returns the journal record of a task in its current phase.
    pub(crate) fn task_record(&self, index: u32) -> Option<TaskRecord> {
        let task = self.tasks.get(index as usize)?;
        let state = match &task.phase {
            TaskPhase::Assigning { rack, worker } | TaskPhase::Assigned { rack, worker, .. } => {
                JournaledTaskState::Assigned {
                    rack: rack.clone(),
                    worker: worker.clone(),
                }
            }
            TaskPhase::Waiting => JournaledTaskState::Waiting,
            TaskPhase::Succeeded => JournaledTaskState::Succeeded,
            TaskPhase::Failed => JournaledTaskState::Failed,
            TaskPhase::Cancelled => JournaledTaskState::Cancelled,
        };
        Some(TaskRecord {
            job: self.record.id.clone(),
            index,
            attempt: task.attempt,
            failures: task.failures,
            state,
        })
    }

    /// Returns the indices of the tasks that match the predicate.
    pub(crate) fn indices(&self, predicate: impl Fn(&Task) -> bool) -> Vec<u32> {
        let numbered = (0_u32..).zip(&self.tasks);
        numbered
            .filter(|(_, task)| predicate(task))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the workers that tasks of the job are assigned to.
    pub(crate) fn workers(&self) -> Vec<WorkerId> {
        let on_worker = |task: &Task| match &task.phase {
            TaskPhase::Assigning { worker, .. } | TaskPhase::Assigned { worker, .. } => {
                Some(worker.clone())
            }
            _ => None,
        };
        self.tasks.iter().filter_map(on_worker).collect()
    }
}

/// Splits the id of a task into its job and index.
pub(crate) fn parse_task(task: &TaskId) -> Option<(JobId, u32)> {
    let (job, index) = task.rsplit_once('-')?;
    Some((JobId::new(job), index.parse().ok()?))
}
