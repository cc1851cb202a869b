//! Which connections of a cell the active partitions and isolations cut.

use super::{fault::domain_of, CellFault, Isolation};
use crate::proxy::{DirectionFaults, ProxyFaults};

/// The active faults that separate parts of the cell; a connection is cut while any of them cuts it.
#[derive(Debug, Default)]
pub(super) struct Cuts(Vec<CellFault>);

impl Cuts {
    /// Adds a fault when it begins and removes it when it ends; returns whether it cuts anything.
    pub(super) fn update(&mut self, fault: &CellFault, begins: bool) -> bool {
        if !matches!(
            fault,
            CellFault::Partition { .. } | CellFault::Isolate(_, _)
        ) {
            return false;
        }
        if begins {
            self.0.push(*fault);
        } else {
            self.0.retain(|active| active != fault);
        }
        true
    }

    /// Returns the faults of connections from one instance to another; `None` if there are none.
    pub(super) fn peer_faults(&self, caller: usize, called: usize) -> Option<ProxyFaults> {
        let held = |hold| DirectionFaults {
            hold,
            ..DirectionFaults::default()
        };
        let faults = ProxyFaults {
            to_server: held(self.loses(caller, called)),
            to_client: held(self.loses(called, caller)),
            ..ProxyFaults::default()
        };
        (faults != ProxyFaults::default()).then_some(faults)
    }

    /// Returns the faults of the path from an instance to a worker.
    pub(super) fn worker_faults(&self, instance: usize, worker: usize) -> ProxyFaults {
        if self.separates(instance, worker) {
            ProxyFaults::frozen()
        } else {
            ProxyFaults::default()
        }
    }

    /// Returns the faults of connections from an instance to the store; `None` if there are none.
    pub(super) fn store_faults(&self, instance: usize) -> Option<ProxyFaults> {
        let cut = self.0.iter().any(|fault| match *fault {
            CellFault::Partition { domain, store } => (domain_of(instance) == domain) != store,
            _ => false,
        });
        cut.then(ProxyFaults::frozen)
    }

    /// Returns whether a partition separates the failure domains of two indices.
    fn separates(&self, first: usize, second: usize) -> bool {
        self.0.iter().any(|fault| match *fault {
            CellFault::Partition { domain, .. } => {
                (domain_of(first) == domain) != (domain_of(second) == domain)
            }
            _ => false,
        })
    }

    /// Returns whether what an instance sends to another one is lost.
    fn loses(&self, from: usize, to: usize) -> bool {
        let isolated = self.0.iter().any(|fault| match *fault {
            CellFault::Isolate(instance, Isolation::Both) => instance == from || instance == to,
            CellFault::Isolate(instance, Isolation::ToPeers) => instance == from,
            CellFault::Isolate(instance, Isolation::FromPeers) => instance == to,
            _ => false,
        });
        isolated || self.separates(from, to)
    }
}
