//! What goes wrong in a cell on the platform.

use std::time::Duration;

use rand::{rngs::StdRng, Rng};

use crate::{
    proxy::ProxyFaults,
    soak::schedule::{draw_network, Part, Strikes, DELAY_MAX_MS},
};

/// Each so many answers of the store are lost while it loses answers, at the least and the most.
const LOST_EVERY: (u64, u64) = (1, 4);

/// A fault; instances and workers are named by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellFault {
    /// An instance is killed, and started again afterwards.
    Kill(usize),
    /// An instance is asked to end, and started again afterwards.
    Terminate(usize),
    /// An instance is paused.
    Pause(usize),
    /// The network from its peers to an instance.
    PeerNetwork(usize, ProxyFaults),
    /// The network from an instance to the store.
    StoreNetwork(usize, ProxyFaults),
    /// The store turns one instance away, or all.
    StoreRefuses(Option<usize>),
    /// The store takes longer, for all.
    StoreSlow(Duration),
    /// The store loses one in so many answers to transactions, for all.
    StoreLoses(u64),
    /// The network to a worker.
    WorkerNetwork(usize, ProxyFaults),
    /// A worker crashes, and begins a new life afterwards.
    WorkerCrash(usize),
    /// A worker crashes and is back as soon as a process starts.
    WorkerRestart(usize),
    /// The network to the advisor, for all.
    AdvisorNetwork(ProxyFaults),
}

impl Strikes for CellFault {
    fn part(&self) -> Part {
        match *self {
            Self::Kill(index) | Self::Terminate(index) | Self::Pause(index) => {
                ("process", Some(index))
            }
            Self::PeerNetwork(index, _) => ("peer network", Some(index)),
            Self::StoreNetwork(index, _) => ("store network", Some(index)),
            Self::StoreRefuses(_) => ("store's door", None),
            Self::StoreSlow(_) => ("store's speed", None),
            Self::StoreLoses(_) => ("store's answers", None),
            Self::WorkerNetwork(index, _) => ("worker network", Some(index)),
            Self::WorkerCrash(index) | Self::WorkerRestart(index) => ("worker", Some(index)),
            Self::AdvisorNetwork(_) => ("advisor network", None),
        }
    }
}

/// Draws a fault in a cell of so many instances and workers.
pub(super) fn draw_fault(random: &mut StdRng, instances: usize, workers: usize) -> CellFault {
    let instance = random.random_range(0..instances);
    let worker = random.random_range(0..workers);
    match random.random_range(0..18) {
        0 | 1 => CellFault::Kill(instance),
        2 | 3 => CellFault::Terminate(instance),
        4 | 5 => CellFault::Pause(instance),
        6 => CellFault::PeerNetwork(instance, draw_network(random)),
        7 | 8 => CellFault::StoreNetwork(instance, draw_network(random)),
        9 => CellFault::StoreRefuses(random.random_bool(0.5).then_some(instance)),
        10 => {
            let delay_ms = random.random_range(1..DELAY_MAX_MS);
            CellFault::StoreSlow(Duration::from_millis(delay_ms))
        }
        11 => CellFault::StoreLoses(random.random_range(LOST_EVERY.0..=LOST_EVERY.1)),
        12 | 13 => CellFault::WorkerNetwork(worker, draw_network(random)),
        14 => CellFault::WorkerCrash(worker),
        15 | 16 => CellFault::WorkerRestart(worker),
        _ => CellFault::AdvisorNetwork(draw_network(random)),
    }
}
