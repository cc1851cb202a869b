//! The faults of the soak of `cell`.

use std::time::Duration;

use rand::{rngs::StdRng, Rng};

use crate::{
    cell::OrderKind,
    proxy::ProxyFaults,
    soak::schedule::{draw_network_faults, AffectedPart, SoakFault, DELAY_MAX_MS},
};

/// The least and the greatest n for a store that loses every n-th response.
const LOST_EVERY: (u64, u64) = (1, 4);

/// The number of failure domains of a cell.
pub(super) const DOMAINS: usize = 3;

/// Returns the failure domain of the instance or worker with this index.
pub(super) fn domain_of(index: usize) -> usize {
    index % DOMAINS
}

/// The shortest and the longest partition: below and above the leases of tasks and the time after
/// which a silent worker's tasks start again.
pub(super) const PARTITION_DURATION_MS: (u64, u64) = (500, 9_000);

/// What is lost between an isolated instance and its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// What they send to each other.
    Both,
    /// What the instance sends to its peers.
    ToPeers,
    /// What the peers send to the instance.
    FromPeers,
}

/// What happens to the process of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderFault {
    /// As [`CellFault::Kill`].
    Kill,
    /// As [`CellFault::Terminate`].
    Terminate,
    /// As [`CellFault::Pause`].
    Pause,
}

impl LeaderFault {
    /// Returns the fault of the instance that leads.
    pub(super) fn of(self, index: usize) -> CellFault {
        match self {
            Self::Kill => CellFault::Kill(index),
            Self::Terminate => CellFault::Terminate(index),
            Self::Pause => CellFault::Pause(index),
        }
    }
}

/// A fault; instances and workers are given by their index in the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellFault {
    /// An instance is killed (SIGKILL), and restarted at the end of the fault.
    Kill(usize),
    /// An instance is terminated (SIGTERM), and restarted at the end of the fault.
    Terminate(usize),
    /// An instance is suspended (SIGSTOP), and resumed at the end of the fault.
    Pause(usize),
    /// Faults of the network from its peers to an instance.
    PeerNetwork(usize, ProxyFaults),
    /// Faults of the network from an instance to the store.
    StoreNetwork(usize, ProxyFaults),
    /// The store denies access to one instance, or to all (`None`).
    StoreRefuses(Option<usize>),
    /// The store takes this time for each transaction, for all instances.
    StoreSlow(Duration),
    /// The store loses the response to every n-th transaction of each instance.
    StoreLoses(u64),
    /// Faults of the network to a worker.
    WorkerNetwork(usize, ProxyFaults),
    /// A worker crashes, and starts a new incarnation at the end of the fault.
    WorkerCrash(usize),
    /// A worker crashes, and starts a new incarnation after the time that a process takes to start.
    WorkerRestart(usize),
    /// Faults of the network to the advisor, for all instances.
    AdvisorNetwork(ProxyFaults),
    /// The instances and workers of a failure domain are cut off from all others.
    Partition {
        /// The failure domain.
        domain: usize,
        /// Whether this domain keeps the store; if not, the others do.
        store: bool,
    },
    /// An instance is cut off from its peers, and reaches the store and the workers.
    Isolate(usize, Isolation),
    /// A worker answers no start and no stop, and carries them out late, in whichever incarnation it
    /// then is.
    LateOrders {
        /// The worker.
        worker: usize,
        /// How much later it carries them out.
        delay: Duration,
        /// Whether the same goes for lease renewals.
        renewals: bool,
    },
    /// A worker restarts under its id while it is cut off from the store and all instances.
    RestartCutOff(usize),
    /// A worker answers no extension of its lease, and carries them out late; they count from there.
    LateExtensions {
        /// The worker.
        worker: usize,
        /// How much later it carries them out.
        delay: Duration,
    },
    /// A worker is cut off from the store and all instances, and runs on.
    CutOff(usize),
    /// A worker answers no order of a kind; its next incarnation carries them out before any other.
    HeldOrders(usize, OrderKind),
    /// A fault of the instance that leads when it begins.
    Leader(LeaderFault),
}

impl SoakFault for CellFault {
    fn affected_part(&self) -> AffectedPart {
        match *self {
            Self::Kill(index) | Self::Terminate(index) | Self::Pause(index) => {
                ("process", Some(index))
            }
            Self::PeerNetwork(index, _) => ("peer network", Some(index)),
            Self::StoreNetwork(index, _) => ("store network", Some(index)),
            Self::StoreRefuses(_) => ("store access", None),
            Self::StoreSlow(_) => ("store delay", None),
            Self::StoreLoses(_) => ("store responses", None),
            Self::WorkerNetwork(index, _) => ("worker network", Some(index)),
            Self::WorkerCrash(index)
            | Self::WorkerRestart(index)
            | Self::RestartCutOff(index)
            | Self::CutOff(index) => ("worker", Some(index)),
            Self::LateOrders { worker, .. } | Self::LateExtensions { worker, .. } => {
                ("worker orders", Some(worker))
            }
            Self::HeldOrders(worker, _) => ("worker orders", Some(worker)),
            Self::Leader(_) => ("leader", None),
            Self::AdvisorNetwork(_) => ("advisor network", None),
            Self::Partition { domain, .. } => ("failure domain", Some(domain)),
            Self::Isolate(index, _) => ("peers", Some(index)),
        }
    }
}

/// Draws a fault at random, for a cell of `instances` and `workers`.
pub(super) fn draw_fault(random: &mut StdRng, instances: usize, workers: usize) -> CellFault {
    let instance = random.random_range(0..instances);
    let worker = random.random_range(0..workers);
    match random.random_range(0..18) {
        0 | 1 => CellFault::Kill(instance),
        2 | 3 => CellFault::Terminate(instance),
        4 | 5 => CellFault::Pause(instance),
        6 => CellFault::PeerNetwork(instance, draw_network_faults(random)),
        7 | 8 => CellFault::StoreNetwork(instance, draw_network_faults(random)),
        9 => CellFault::StoreRefuses(random.random_bool(0.5).then_some(instance)),
        10 => {
            let delay_ms = random.random_range(1..DELAY_MAX_MS);
            CellFault::StoreSlow(Duration::from_millis(delay_ms))
        }
        11 => CellFault::StoreLoses(random.random_range(LOST_EVERY.0..=LOST_EVERY.1)),
        12 | 13 => CellFault::WorkerNetwork(worker, draw_network_faults(random)),
        14 => CellFault::WorkerCrash(worker),
        15 | 16 => CellFault::WorkerRestart(worker),
        _ => CellFault::AdvisorNetwork(draw_network_faults(random)),
    }
}

/// Draws a partition, an isolation or a fault that may coincide with them.
pub(super) fn draw_partition(random: &mut StdRng, instances: usize, workers: usize) -> CellFault {
    let instance = random.random_range(0..instances);
    let isolations = [Isolation::Both, Isolation::ToPeers, Isolation::FromPeers];
    match random.random_range(0..12) {
        0..=5 => CellFault::Partition {
            domain: random.random_range(0..DOMAINS),
            store: random.random_bool(0.3),
        },
        6 | 7 => CellFault::Isolate(instance, isolations[random.random_range(0..3)]),
        8 => CellFault::StoreRefuses(random.random_bool(0.5).then_some(instance)),
        9 => CellFault::Kill(instance),
        10 => CellFault::Pause(instance),
        _ => CellFault::WorkerRestart(random.random_range(0..workers)),
    }
}
