//! Names of steps and tasks.

use jackdawchute_types::{JobId, Occurrence, StepIndex, TaskIndex};
use serde::{Deserialize, Serialize};

/// A step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepName {
    /// The job.
    pub job: JobId,
    /// Which run of its steps.
    pub occurrence: Occurrence,
    /// The step.
    pub step: StepIndex,
}

/// A task of a step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskName {
    /// Its step.
    pub step: StepName,
    /// Its index there.
    pub index: TaskIndex,
}

impl StepName {
    /// Names a task of this step.
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
