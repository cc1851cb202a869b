//! The configuration of a soak of `cell`, and the faults that its seed determines.

use std::{path::PathBuf, time::Duration};

use rand::{rngs::StdRng, SeedableRng};

use super::{
    fault::{draw_fault, draw_partition, PARTITION_DURATION_MS},
    late_extensions::draw_late_extensions,
    restarted_leases::draw_restarted_leases,
    restarts::{draw_restarts, may_begin},
    CellFault,
};
use crate::soak::{
    schedule::{draw_disturbances, FAULT_DURATION_MS},
    Disturbance,
};

/// Draws a fault for a cell of so many instances and workers.
type DrawFault = fn(&mut StdRng, usize, usize) -> CellFault;

/// The kinds of faults that a plan draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKinds {
    /// Faults of single processes, networks and workers, and of the store.
    Single,
    /// Partitions by failure domain and isolated instances, with some faults of the other kinds.
    Partitions,
    /// Partitions, with workers that restart while they are cut off and late orders to them.
    Restarts,
    /// Workers that are cut off after late extensions of their leases, with faults of instances'
    /// processes.
    LateExtensions,
    /// Workers that restart at once, with orders to their former incarnations, and are cut off when
    /// the leader has ended soon after.
    RestartedLeases,
}

/// How long tasks run, and how often callers submit a job of one or two steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskLoad {
    /// The run time of each task.
    pub task_time: Duration,
    /// The number of jobs at the start.
    pub jobs_at_start: u32,
    /// The time between two jobs from then on.
    pub job_period: Duration,
}

impl TaskLoad {
    /// Tasks that end long before the lease of a silent worker lapses.
    pub const SHORT: Self = Self {
        task_time: Duration::from_millis(300),
        jobs_at_start: 1,
        job_period: Duration::from_millis(125),
    };
    /// Tasks that use most of the workers' processors.
    pub const CROWDED: Self = Self {
        task_time: Duration::from_millis(700),
        jobs_at_start: 1,
        job_period: Duration::from_millis(110),
    };
    /// Tasks that may still run when the lease of a silent worker has lapsed, so many that most of
    /// the workers' processors are in use.
    pub const LONG: Self = Self {
        task_time: Duration::from_millis(6_000),
        jobs_at_start: 1,
        job_period: Duration::from_millis(1_200),
    };
    /// Tasks that run longer than two leases, so that only a lease ends them behind a cut.
    pub const LONGER: Self = Self {
        task_time: Duration::from_millis(14_000),
        jobs_at_start: 1,
        job_period: Duration::from_millis(2_400),
    };
    /// Tasks that run longer than two leases, so many from the start that most of twelve workers have
    /// some.
    pub const LONGER_FOR_TWELVE: Self = Self {
        task_time: Duration::from_millis(12_500),
        jobs_at_start: 7,
        job_period: Duration::from_millis(1_600),
    };
    /// As [`LONG`](Self::LONG), for a cell of nine workers.
    pub const LONG_FOR_NINE: Self = Self {
        task_time: Duration::from_millis(6_000),
        jobs_at_start: 1,
        job_period: Duration::from_millis(600),
    };
}

/// The configuration of a soak of `cell`.
#[derive(Clone, Debug)]
pub struct CellSoakPlan {
    /// The seed of the faults and the load.
    pub seed: u64,
    /// The number of instances.
    pub instances: usize,
    /// The number of workers.
    pub workers: usize,
    /// The kinds of faults to draw from.
    pub kinds: FaultKinds,
    /// The jobs that callers submit.
    pub load: TaskLoad,
    /// Whether callers belong to tenants with caps, whose keys are replaced all the while.
    pub tenants: bool,
    /// The period in which faults begin.
    pub duration: Duration,
    /// The folder to which the instances' logs are copied if there are violations, into a subfolder
    /// for the seed.
    pub logs: Option<PathBuf>,
}

impl CellSoakPlan {
    /// Creates a plan for four instances and six workers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::CellSoakPlan;
    ///
    /// let plan = CellSoakPlan::new(7, Duration::from_secs(10));
    /// assert_eq!(plan.disturbances(), plan.disturbances());
    /// ```
    pub fn new(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            instances: 4,
            workers: 6,
            kinds: FaultKinds::Single,
            load: TaskLoad::SHORT,
            tenants: false,
            duration,
            logs: None,
        }
    }

    /// Creates a plan like [`new`](Self::new) with tenants, and so many jobs that their caps bind.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::CellSoakPlan;
    ///
    /// assert!(CellSoakPlan::with_tenants(1, Duration::from_secs(10)).tenants);
    /// ```
    pub fn with_tenants(seed: u64, duration: Duration) -> Self {
        Self {
            tenants: true,
            load: TaskLoad::CROWDED,
            ..Self::new(seed, duration)
        }
    }

    /// Creates a plan like [`new`](Self::new) with partitions by failure domain.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::{CellFault, CellSoakPlan};
    ///
    /// let plan = CellSoakPlan::partitions(1, Duration::from_secs(30));
    /// let is_partition = |fault: &CellFault| matches!(fault, CellFault::Partition { .. });
    /// assert!(plan.disturbances().iter().any(|it| is_partition(&it.fault)));
    /// ```
    pub fn partitions(seed: u64, duration: Duration) -> Self {
        Self {
            kinds: FaultKinds::Partitions,
            ..Self::new(seed, duration)
        }
    }

    /// Creates a plan like [`partitions`](Self::partitions) with long tasks.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::CellSoakPlan;
    ///
    /// let period = Duration::from_secs(10);
    /// let (short, long) = (
    ///     CellSoakPlan::partitions(7, period),
    ///     CellSoakPlan::partitions_under_long_tasks(7, period),
    /// );
    /// assert_eq!(short.disturbances(), long.disturbances());
    /// ```
    pub fn partitions_under_long_tasks(seed: u64, duration: Duration) -> Self {
        Self {
            load: TaskLoad::LONG,
            ..Self::partitions(seed, duration)
        }
    }

    /// Creates a plan with nine workers that restart while they are cut off, late orders to them,
    /// long tasks and some of the partitions of [`partitions`](Self::partitions).
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::{CellFault, CellSoakPlan};
    ///
    /// let plan = CellSoakPlan::restarts(1, Duration::from_secs(30));
    /// let is_restart = |fault: &CellFault| matches!(fault, CellFault::RestartCutOff(_));
    /// assert!(plan.disturbances().iter().any(|it| is_restart(&it.fault)));
    /// ```
    pub fn restarts(seed: u64, duration: Duration) -> Self {
        Self {
            kinds: FaultKinds::Restarts,
            workers: 9,
            load: TaskLoad::LONG_FOR_NINE,
            ..Self::new(seed, duration)
        }
    }

    /// Creates a plan with workers that are cut off after late extensions of their leases, tasks
    /// longer than these, and the faults of processes of [`new`](Self::new).
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::{CellFault, CellSoakPlan};
    ///
    /// let plan = CellSoakPlan::late_extensions(1, Duration::from_secs(30));
    /// let is_cut = |fault: &CellFault| matches!(fault, CellFault::CutOff(_));
    /// assert!(plan.disturbances().iter().any(|it| is_cut(&it.fault)));
    /// ```
    pub fn late_extensions(seed: u64, duration: Duration) -> Self {
        Self {
            kinds: FaultKinds::LateExtensions,
            load: TaskLoad::LONGER,
            ..Self::new(seed, duration)
        }
    }

    /// Creates a plan with twelve workers that restart at once under their ids, of which some carry
    /// out orders to their former incarnations, and that are cut off when the leader has ended soon
    /// after, under tasks longer than two leases.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::{CellFault, CellSoakPlan};
    ///
    /// let plan = CellSoakPlan::restarted_leases(1, Duration::from_secs(12));
    /// let is_of_leader = |fault: &CellFault| matches!(fault, CellFault::Leader(_));
    /// assert!(plan.disturbances().iter().any(|it| is_of_leader(&it.fault)));
    /// ```
    pub fn restarted_leases(seed: u64, duration: Duration) -> Self {
        Self {
            kinds: FaultKinds::RestartedLeases,
            workers: 12,
            load: TaskLoad::LONGER_FOR_TWELVE,
            ..Self::new(seed, duration)
        }
    }

    /// Returns the faults in the order in which they begin; those of one part of the cell do not
    /// overlap.
    pub fn disturbances(&self) -> Vec<Disturbance<CellFault>> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let (draw, duration_ms): (DrawFault, _) = match self.kinds {
            FaultKinds::Single | FaultKinds::LateExtensions | FaultKinds::RestartedLeases => {
                (draw_fault, FAULT_DURATION_MS)
            }
            FaultKinds::Partitions | FaultKinds::Restarts => {
                (draw_partition, PARTITION_DURATION_MS)
            }
        };
        let mut drawn = draw_disturbances(&mut random, self.duration, duration_ms, |random| {
            draw(random, self.instances, self.workers)
        });
        let is_restart = |fault| matches!(fault, CellFault::WorkerRestart(_));
        if self.kinds == FaultKinds::Restarts {
            drawn.retain(|it| may_begin(it.at) && !is_restart(it.fault));
            drawn.extend(draw_restarts(self.seed, self.duration, self.workers));
        }
        if self.kinds == FaultKinds::LateExtensions {
            drawn.retain(|it| is_of_process(&it.fault));
            drawn.extend(draw_late_extensions(self.seed, self.duration, self.workers));
        }
        if self.kinds == FaultKinds::RestartedLeases {
            drawn = draw_restarted_leases(self.seed, self.duration, self.workers);
        }
        drawn.sort_by_key(|it| it.at);
        drawn
    }
}

/// Returns whether an instance is killed, terminated or paused.
fn is_of_process(fault: &CellFault) -> bool {
    matches!(
        fault,
        CellFault::Kill(_) | CellFault::Terminate(_) | CellFault::Pause(_)
    )
}
