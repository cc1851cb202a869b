//! Names by which jobs, workers and advisors refer to steps and tasks.

use jackdawchute_types::{JobId, Occurrence, StepIndex, TaskIndex};
use serde::{Deserialize, Serialize};

/// Identifies a step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepName {
    /// The job that the step belongs to.
    pub job: JobId,
    /// The occurrence of the job, counted from 0; always 0 for a job that does not repeat.
    pub occurrence: Occurrence,
    /// The index of the step in the job's graph.
    pub step: StepIndex,
}

/// Identifies a task of a step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskName {
    /// The step that the task belongs to.
    pub step: StepName,
    /// The index of the task within its step, counted from 0.
    pub index: TaskIndex,
}

impl StepName {
    /// Returns the name of the task of this step with the given index.
    ///
    /// ```
    /// use jackdawchute_scheduler::StepName;
    ///
    /// let step = StepName { job: "a1".into(), occurrence: 0, step: 2 };
    /// assert_eq!(step.task(7).index, 7);
    /// ```
    pub fn task(&self, index: TaskIndex) -> TaskName {
        TaskName {
            step: self.clone(),
            index,
        }
    }
}
