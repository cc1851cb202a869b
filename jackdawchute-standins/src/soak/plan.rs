//! The configuration of a soak, and the faults that its seed determines.

use std::{path::PathBuf, time::Duration};

use rand::{rngs::StdRng, Rng, SeedableRng};

use super::{
    fault::availability_fault,
    schedule::{draw_disturbances, draw_network_faults, DELAY_MAX_MS, FAULT_DURATION_MS},
    Disturbance, Fault,
};
use crate::table::{Availability, TableFaults};

/// The maximum number of commit responses that one fault of the table loses.
const LOST_ANSWERS_MAX: u32 = 4;

/// The configuration of a soak.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The seed of the faults and the load.
    pub seed: u64,
    /// The number of entry instances.
    pub entries: usize,
    /// The number of minions.
    pub minions: usize,
    /// The number of workers.
    pub workers: usize,
    /// The period in which faults begin and jobs are submitted.
    pub duration: Duration,
    /// The folder to which the instances' logs are copied if there are violations, into a subfolder
    /// for the seed.
    pub logs: Option<PathBuf>,
}

impl SoakPlan {
    /// Creates a plan for three instances, four minions and four workers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::soak::SoakPlan;
    ///
    /// let plan = SoakPlan::new(7, Duration::from_secs(10));
    /// assert_eq!(plan.disturbances(), plan.disturbances());
    /// ```
    pub fn new(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            entries: 3,
            minions: 4,
            workers: 4,
            duration,
            logs: None,
        }
    }

    /// Returns the faults in the order in which they begin; those of one part of the cell do not
    /// overlap.
    pub fn disturbances(&self) -> Vec<Disturbance<Fault>> {
        let mut random = StdRng::seed_from_u64(self.seed);
        draw_disturbances(&mut random, self.duration, FAULT_DURATION_MS, |random| {
            self.draw_fault(random)
        })
    }

    fn draw_fault(&self, random: &mut StdRng) -> Fault {
        let entry = random.random_range(0..self.entries);
        match random.random_range(0..10) {
            0 | 1 => Fault::Kill(entry),
            2 => Fault::Terminate(entry),
            3 | 4 => Fault::Pause(entry),
            5 | 6 => Fault::PeerNetwork(entry, draw_network_faults(random)),
            7 => {
                let minion = random.random_range(0..self.minions);
                Fault::MinionNetwork(minion, draw_network_faults(random))
            }
            8 => {
                let worker = random.random_range(0..self.workers);
                Fault::WorkerNetwork(worker, draw_network_faults(random))
            }
            _ => {
                let one = random.random_bool(0.5).then_some(entry);
                Fault::Table(one, draw_table_faults(random))
            }
        }
    }
}

fn draw_table_faults(random: &mut StdRng) -> TableFaults {
    match random.random_range(0..4) {
        0 => availability_fault(Availability::Refusing),
        1 => availability_fault(Availability::Silent),
        2 => TableFaults {
            delay: Duration::from_millis(random.random_range(1..DELAY_MAX_MS)),
            ..TableFaults::default()
        },
        _ => TableFaults {
            lose_commit_answers: random.random_range(1..=LOST_ANSWERS_MAX),
            ..TableFaults::default()
        },
    }
}
