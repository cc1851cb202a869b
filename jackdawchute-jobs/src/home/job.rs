//! A job as its home owner holds it.

use std::{collections::VecDeque, time::Instant};

use jackdawchute_admission::{WorkItem, WorkItemId};
use jackdawchute_types::{GroupId, JobId, JobKind, JobSpec, TaskId, WorkerId};
use smol_str::SmolStr;

use crate::{
    effect::CallId,
    home::state::ReadyKey,
    record::{JobRecord, TaskPlace, TaskRecord},
    TaskAttempt,
};

/// The most lines of history that a job keeps.
const HISTORY_MAX: usize = 16;

/// Where a task is, as its home owner knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// It waits for a worker.
    Waiting,
    /// The assignment waits for the journal; nothing was sent.
    Assigning {
        /// The rack's group.
        rack: GroupId,
        /// The worker.
        worker: WorkerId,
    },
    /// The assignment is journaled; it may run.
    Assigned {
        /// The rack's group.
        rack: GroupId,
        /// The worker.
        worker: WorkerId,
        /// Whether it was seen running.
        running: bool,
    },
    /// Ended with success.
    Succeeded,
    /// Ended with failure, with no attempt left.
    Failed,
    /// Stopped, or never started, on request or at the deadline.
    Cancelled,
}

impl TaskPhase {
    /// Whether nothing more will happen to it.
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// One task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// The last attempt, 0 before the first.
    pub attempt: u32,
    /// Failed attempts.
    pub failures: u32,
    /// Where it is.
    pub phase: TaskPhase,
    /// Whether its current attempt is to end.
    pub stopping: bool,
    /// How often its rack owner was asked about the current attempt.
    pub(crate) asked: u32,
    /// When the current attempt was assigned.
    pub(crate) assigned: Option<Instant>,
    /// What admission counts as used for it.
    pub(crate) work_item: Option<WorkItem>,
    /// Where it waits.
    pub(crate) queue: Option<QueueKey>,
}

impl Default for Task {
    fn default() -> Self {
        Self {
            attempt: 0,
            failures: 0,
            phase: TaskPhase::Waiting,
            stopping: false,
            asked: 0,
            assigned: None,
            work_item: None,
            queue: None,
        }
    }
}

/// Where a unit waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum QueueKey {
    /// In the admission policy.
    Queued(WorkItemId),
    /// Admitted, for a worker with room.
    Ready(ReadyKey),
    /// For a time.
    Delayed((Instant, u64)),
}

/// How far the acceptance of a job is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Acceptance {
    /// Waits until the journal can be written.
    Waiting,
    /// The journal was asked.
    Journaling,
    /// The journal has it.
    Accepted,
}

/// A gang that asks racks for holds, one after the other in the order of their groups.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub number: u32,
    pub plan: Vec<(u32, GroupId, WorkerId)>,
    pub to_ask: VecDeque<GroupId>,
    pub asked: Vec<GroupId>,
}

/// A job as its home owner holds it.
#[derive(Clone, Debug)]
pub struct Job {
    /// What is journaled.
    pub record: JobRecord,
    /// The tasks in order.
    pub tasks: Vec<Task>,
    pub(crate) group: GroupId,
    pub(crate) accepted: Instant,
    pub(crate) deadline: Option<Instant>,
    pub(crate) accept_by: Instant,
    pub(crate) acceptance: Acceptance,
    pub(crate) calls: Vec<CallId>,
    pub(crate) cancelling: Vec<CallId>,
    pub(crate) round: Option<Round>,
    pub(crate) rounds: u32,
    pub(crate) gang_work_item: Option<WorkItem>,
    pub(crate) gang_queue: Option<QueueKey>,
    pub(crate) last_start: Option<Instant>,
    pub(crate) finished: bool,
    pub(crate) history: VecDeque<SmolStr>,
}

impl Job {
    /// Its id.
    pub fn id(&self) -> &JobId {
        &self.record.id
    }

    /// What was submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Whether its queued tasks may be placed.
    pub(crate) fn may_start(&self) -> bool {
        self.acceptance == Acceptance::Accepted && self.cancelling.is_empty() && !self.gave_up()
    }

    /// Whether none of its tasks is to start any more.
    pub(crate) fn gave_up(&self) -> bool {
        let failed = |task: &Task| task.phase == TaskPhase::Failed;
        self.record.cancelled
            || self.record.refused.is_some()
            || (self.spec().kind == JobKind::Gang && self.tasks.iter().any(failed))
    }

    pub(crate) fn note(&mut self, line: impl Into<SmolStr>) {
        if self.history.len() >= HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(line.into());
    }

    /// The current attempt of a task.
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

    /// The record of a task as it is now.
    pub(crate) fn task_record(&self, index: u32) -> Option<TaskRecord> {
        let task = self.tasks.get(index as usize)?;
        let place = match &task.phase {
            TaskPhase::Assigning { rack, worker } | TaskPhase::Assigned { rack, worker, .. } => {
                TaskPlace::Assigned {
                    rack: rack.clone(),
                    worker: worker.clone(),
                }
            }
            TaskPhase::Waiting => TaskPlace::Waiting,
            TaskPhase::Succeeded => TaskPlace::Succeeded,
            TaskPhase::Failed => TaskPlace::Failed,
            TaskPhase::Cancelled => TaskPlace::Cancelled,
        };
        Some(TaskRecord {
            job: self.record.id.clone(),
            index,
            attempt: task.attempt,
            failures: task.failures,
            place,
        })
    }

    /// The indices of tasks that a test holds for.
    pub(crate) fn indices(&self, holds: impl Fn(&Task) -> bool) -> Vec<u32> {
        let numbered = (0_u32..).zip(&self.tasks);
        numbered
            .filter(|(_, task)| holds(task))
            .map(|(index, _)| index)
            .collect()
    }

    /// The workers that its tasks are on.
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

/// The job and index that a task's id names.
pub(crate) fn parse_task(task: &TaskId) -> Option<(JobId, u32)> {
    let (job, index) = task.rsplit_once('-')?;
    Some((JobId::new(job), index.parse().ok()?))
}
