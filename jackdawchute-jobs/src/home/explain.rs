//! Explanations of jobs, and the numbers of queued and running tasks.

use std::collections::BTreeMap;

use jackdawchute_types::{ClassId, JobId};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::{
    home::{
        job::{Job, QueueKey, TaskPhase},
        state::HomeGroups,
    },
    JobStatus,
};

/// Explains the state of a job: what its tasks wait for and what happened to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The current status of the job.
    pub job: JobStatus,
    /// What the unfinished tasks wait for, each reason with the number of such tasks.
    pub waits_for: BTreeMap<SmolStr, u32>,
    /// The last events of the job, oldest first.
    pub history: Vec<SmolStr>,
}

impl HomeGroups {
    /// Returns the explanation of a job, or `None` if this instance does not know the job.
    pub fn explain(&self, id: &JobId) -> Option<Explanation> {
        let job = self.jobs.get(id)?;
        let mut waits_for = BTreeMap::new();
        for task in &job.tasks {
            if let Some(reason) = self.wait_reason(job, task) {
                *waits_for.entry(reason).or_insert(0) += 1;
            }
        }
        Some(Explanation {
            job: job.status(),
            waits_for,
            history: job.history.iter().cloned().collect(),
        })
    }

    /// Returns what a task waits for, or `None` if it runs or is over.
    fn wait_reason(&self, job: &Job, task: &crate::home::Task) -> Option<SmolStr> {
        let queue_key = task.queue_key.as_ref().or(job.gang_queue_key.as_ref());
        match (&task.phase, queue_key) {
            (TaskPhase::Waiting, Some(QueueKey::Queued(_))) => Some(format_smolstr!(
                "its turn in the queue of class {}",
                job.spec().class
            )),
            (TaskPhase::Waiting, Some(QueueKey::Ready(_))) if !self.is_confirmed() => {
                Some("the table service, to journal its start".into())
            }
            (TaskPhase::Waiting, Some(QueueKey::Ready(_))) => Some("a worker with room".into()),
            (TaskPhase::Waiting, Some(QueueKey::Delayed(_))) => Some("its next retry".into()),
            (TaskPhase::Waiting, None) => Some("the holds of its gang".into()),
            (TaskPhase::Assigning { .. }, _) => Some("the journal".into()),
            (
                TaskPhase::Assigned {
                    running: false,
                    rack,
                    ..
                },
                _,
            ) => Some(format_smolstr!("the owner of {rack} to start it")),
            _ => None,
        }
    }

    /// Returns the number of queued tasks and gangs by class, admitted or not.
    pub fn queued(&self) -> BTreeMap<ClassId, usize> {
        let mut counts = self.admission.queued();
        for (_, work_item) in self.ready.values() {
            *counts.entry(work_item.class.clone()).or_default() += 1;
        }
        for (unit, _) in self.delayed.values() {
            if let Some(job) = self.jobs.get(&unit.job) {
                *counts.entry(job.spec().class.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the number of tasks reported as running.
    pub fn running(&self) -> usize {
        let tasks = self.jobs.values().flat_map(|job| &job.tasks);
        let running = |task: &&crate::home::Task| {
            matches!(task.phase, TaskPhase::Assigned { running: true, .. })
        };
        tasks.filter(running).count()
    }
}
