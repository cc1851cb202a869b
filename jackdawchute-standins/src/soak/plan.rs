//! Draws the faults of a seed.

use std::{path::PathBuf, time::Duration};

use rand::{rngs::StdRng, Rng, SeedableRng};

use super::{
    fault::unavailable,
    schedule::{draw, draw_network, DELAY_MAX_MS},
    Disturbance, Fault,
};
use crate::table::{Availability, TableFaults};

/// The most answers of the table that are lost at a time.
const LOST_ANSWERS_MAX: u32 = 4;

/// What a soak does.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The seed of the faults and of the load.
    pub seed: u64,
    /// The number of entry instances.
    pub entries: usize,
    /// The number of minions.
    pub minions: usize,
    /// The number of workers.
    pub workers: usize,
    /// How long faults begin and the load goes on.
    pub lasts: Duration,
    /// Where the instances' logs are kept if anything is violated, in a folder for the seed.
    pub logs: Option<PathBuf>,
}

impl SoakPlan {
    /// Three instances, four minions and four workers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::soak::SoakPlan;
    ///
    /// let plan = SoakPlan::new(7, Duration::from_secs(10));
    /// assert_eq!(plan.disturbances(), plan.disturbances());
    /// ```
    pub fn new(seed: u64, lasts: Duration) -> Self {
        Self {
            seed,
            entries: 3,
            minions: 4,
            workers: 4,
            lasts,
            logs: None,
        }
    }

    /// The faults in the order in which they begin; those on one part of the cell do not overlap.
    pub fn disturbances(&self) -> Vec<Disturbance<Fault>> {
        let mut random = StdRng::seed_from_u64(self.seed);
        draw(&mut random, self.lasts, |random| self.draw_fault(random))
    }

    fn draw_fault(&self, random: &mut StdRng) -> Fault {
        let entry = random.random_range(0..self.entries);
        match random.random_range(0..10) {
            0 | 1 => Fault::Kill(entry),
            2 => Fault::Terminate(entry),
            3 | 4 => Fault::Pause(entry),
            5 | 6 => Fault::PeerNetwork(entry, draw_network(random)),
            7 => {
                let minion = random.random_range(0..self.minions);
                Fault::MinionNetwork(minion, draw_network(random))
            }
            8 => {
                let worker = random.random_range(0..self.workers);
                Fault::WorkerNetwork(worker, draw_network(random))
            }
            _ => {
                let one = random.random_bool(0.5).then_some(entry);
                Fault::Table(one, draw_table(random))
            }
        }
    }
}

fn draw_table(random: &mut StdRng) -> TableFaults {
    match random.random_range(0..4) {
        0 => unavailable(Availability::Refusing),
        1 => unavailable(Availability::Silent),
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
