//! The faults of the soak and their injection into a cell.

use super::schedule::{AffectedPart, SoakFault};
use crate::{
    harness::{Cell, Signal},
    proxy::ProxyFaults,
    table::{Availability, TableFaults},
    Result,
};

/// A fault; instances, minions and workers are given by their index in the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed (SIGKILL), and restarted at the end of the fault.
    Kill(usize),
    /// An instance is terminated (SIGTERM), and restarted at the end of the fault.
    Terminate(usize),
    /// An instance is suspended (SIGSTOP), and resumed at the end of the fault.
    Pause(usize),
    /// Faults of the network from its peers to an instance.
    PeerNetwork(usize, ProxyFaults),
    /// Faults of the network to a minion.
    MinionNetwork(usize, ProxyFaults),
    /// Faults of the network to a worker.
    WorkerNetwork(usize, ProxyFaults),
    /// Faults of the table towards one instance, or towards all (`None`).
    Table(Option<usize>, TableFaults),
}

impl Fault {
    /// Injects the fault into a cell.
    pub(super) async fn begin(&self, cell: &mut Cell) -> Result<()> {
        match *self {
            Self::Kill(index) => cell.entries[index].kill().await,
            Self::Terminate(index) => cell.entries[index].process.signal(Signal::Terminate).await,
            Self::Pause(index) => cell.entries[index].process.signal(Signal::Stop).await,
            Self::PeerNetwork(index, faults) => {
                cell.entries[index].peer_proxy.set_faults(faults).await
            }
            Self::MinionNetwork(index, faults) => {
                cell.minions[index].proxy.set_faults(faults).await
            }
            Self::WorkerNetwork(index, faults) => {
                cell.workers[index].proxy.set_faults(faults).await
            }
            Self::Table(index, faults) => set_table_faults(cell, index, faults).await,
        }
    }

    /// Ends the fault and restores what it affected.
    pub(super) async fn end(&self, cell: &mut Cell) -> Result<()> {
        let healthy = ProxyFaults::default();
        match *self {
            Self::Kill(index) => cell.restart_entry(index).await,
            Self::Terminate(index) => {
                cell.entries[index].process.wait().await?;
                cell.restart_entry(index).await
            }
            Self::Pause(index) => cell.entries[index].process.signal(Signal::Continue).await,
            Self::PeerNetwork(index, _) => cell.entries[index].peer_proxy.set_faults(healthy).await,
            Self::MinionNetwork(index, _) => cell.minions[index].proxy.set_faults(healthy).await,
            Self::WorkerNetwork(index, _) => cell.workers[index].proxy.set_faults(healthy).await,
            Self::Table(index, _) => set_table_faults(cell, index, TableFaults::default()).await,
        }
    }
}

impl SoakFault for Fault {
    fn affected_part(&self) -> AffectedPart {
        match *self {
            Self::Kill(index) | Self::Terminate(index) | Self::Pause(index) => {
                ("process", Some(index))
            }
            Self::PeerNetwork(index, _) => ("peer network", Some(index)),
            Self::MinionNetwork(index, _) => ("minion", Some(index)),
            Self::WorkerNetwork(index, _) => ("worker", Some(index)),
            Self::Table(..) => ("table", None),
        }
    }
}

async fn set_table_faults(cell: &Cell, index: Option<usize>, faults: TableFaults) -> Result<()> {
    let entry = index.map(|index| cell.entries[index].name.clone());
    cell.table.set_faults(entry, faults).await
}

/// Returns table faults with this availability and no others.
pub(super) fn availability_fault(availability: Availability) -> TableFaults {
    TableFaults {
        availability,
        ..TableFaults::default()
    }
}
