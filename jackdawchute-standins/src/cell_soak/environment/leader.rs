//! Faults of whichever instance leads.

use std::net::SocketAddr;

use jackdawchute_cell::Store;
use serde::Deserialize;

use super::{write_failed, CellEnvironment};
use crate::{cell_soak::LeaderFault, soak::schedule::Environment, Error, Result};

/// The table and the part of the row that names the leader.
const LEADER_ROW: (&str, &str) = ("leader", "cell");

/// What the row that names the leader says.
#[derive(Deserialize)]
struct LeaderRow {
    /// The address of the leader for its peers.
    address: SocketAddr,
}

impl CellEnvironment {
    /// Begins a fault of the instance that leads; does nothing while that one is down or has such a
    /// fault already, and no other leads.
    pub(super) async fn begin_leader_fault(&mut self, fault: LeaderFault) -> Result<()> {
        let Some(index) = self.leader().await? else {
            return Ok(());
        };
        let has_fault = self.leader_faults.iter().any(|(_, at)| *at == index);
        if has_fault || self.down.contains(&index) {
            return Ok(());
        }
        self.leader_faults.push((fault, index));
        self.begin_fault(&fault.of(index)).await
    }

    /// Ends the earliest fault of a leader that is of this kind.
    pub(super) async fn end_leader_fault(&mut self, fault: LeaderFault) -> Result<()> {
        let begun = self.leader_faults.iter().position(|(of, _)| *of == fault);
        match begun.map(|at| self.leader_faults.remove(at)) {
            Some((_, index)) => self.end_fault(&fault.of(index)).await,
            None => Ok(()),
        }
    }

    /// Returns the index of the instance that the store names as the leader.
    async fn leader(&self) -> Result<Option<usize>> {
        let (table, part) = LEADER_ROW;
        let page = self.operator.read(table, part, None).await;
        let rows = page.map_err(write_failed)?.rows;
        let Some(value) = rows.into_iter().find_map(|row| row.value) else {
            return Ok(None);
        };
        let invalid = |cause: serde_json::Error| {
            Error::Invalid("read leader", "store".into(), cause.to_string())
        };
        let row: LeaderRow = serde_json::from_slice(&value).map_err(invalid)?;
        let mut instances = self.instances.iter();
        Ok(instances.position(|it| it.peer_proxy.address == row.address))
    }
}
