//! What goes wrong, and how a cell is brought to it and back.

use super::schedule::{Part, Strikes};
use crate::{
    harness::{Cell, Signal},
    proxy::ProxyFaults,
    table::{Availability, TableFaults},
    Result,
};

/// A fault; instances, minions and workers are named by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed, and started again afterwards.
    Kill(usize),
    /// An instance is asked to end, and started again afterwards.
    Terminate(usize),
    /// An instance is paused.
    Pause(usize),
    /// The network from its peers to an instance.
    PeerNetwork(usize, ProxyFaults),
    /// The network to a minion.
    MinionNetwork(usize, ProxyFaults),
    /// The network to a worker.
    WorkerNetwork(usize, ProxyFaults),
    /// The table towards one instance, or towards all.
    Table(Option<usize>, TableFaults),
}

impl Fault {
    /// Brings it about.
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

    /// Ends it.
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

impl Strikes for Fault {
    fn part(&self) -> Part {
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

/// A table that does not answer as it should.
pub(super) fn unavailable(availability: Availability) -> TableFaults {
    TableFaults {
        availability,
        ..TableFaults::default()
    }
}
