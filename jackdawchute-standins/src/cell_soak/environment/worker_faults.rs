//! Crashes, restarts, cuts and late orders of the workers of a cell.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use jackdawchute_adapter::standins::list_worker;
use jackdawchute_scheduler::WorkerEntry;

use super::{write_failed, CellEnvironment};
use crate::{
    cell::{LinkFaults, OrderKind},
    Result,
};

/// A time after which no soak goes on: orders that are held wait for the worker's restart.
const HELD_MAX: Duration = Duration::from_secs(86_400);
/// An address without a listener.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

impl CellEnvironment {
    /// Crashes a worker and cuts its connections; new ones are closed without a response.
    pub(super) async fn crash_worker(&self, index: usize) -> Result<()> {
        let worker = &self.listed_workers[index];
        worker.proxy.set_target(UNUSED_ADDRESS).await?;
        worker.proxy.cut().await?;
        self.workers.crash(&worker.entry.worker);
        Ok(())
    }

    /// Starts a worker's next incarnation and lists it.
    pub(super) async fn restart_worker(&self, index: usize) -> Result<()> {
        let worker = &self.listed_workers[index];
        // Orders in transit at the crash may have been applied since; the next incarnation must
        // start empty.
        self.workers.crash(&worker.entry.worker);
        self.workers.carry_out_late(&worker.entry.worker);
        worker.proxy.set_target(worker.listener.address()).await?;
        self.list_incarnation(index).await
    }

    /// Cuts a worker off from all instances and starts its next incarnation, which is not listed.
    pub(super) async fn restart_cut_off(&self, index: usize) -> Result<()> {
        let worker = &self.listed_workers[index];
        self.workers.crash(&worker.entry.worker);
        self.cut_off_worker(index).await
    }

    /// Cuts a worker off from all instances.
    pub(super) async fn cut_off_worker(&self, index: usize) -> Result<()> {
        let worker = &self.listed_workers[index];
        self.links
            .set_faults(&worker.entry.worker, LinkFaults::cut());
        worker.proxy.cut().await
    }

    /// Makes a worker answer extensions of its lease late, or as they arrive when the fault ends.
    pub(super) fn set_late_extensions(&self, index: usize, delay: Option<Duration>) {
        let id = &self.listed_workers[index].entry.worker;
        self.workers.set_late(id, &[OrderKind::Extension], delay);
    }

    /// Leaves a worker's orders of a kind without an answer until its next incarnation carries them
    /// out, or makes it answer further ones when the fault ends.
    pub(super) fn hold_orders(&self, index: usize, kind: OrderKind, begins: bool) {
        let id = &self.listed_workers[index].entry.worker;
        let delay = begins.then_some(HELD_MAX);
        self.workers.set_late(id, &[kind], delay);
    }

    /// Connects a worker that was cut off, and lists its incarnation.
    pub(super) async fn reconnect_worker(&self, index: usize) -> Result<()> {
        let id = &self.listed_workers[index].entry.worker;
        self.links.set_faults(id, LinkFaults::default());
        self.list_incarnation(index).await
    }

    /// Makes a worker answer orders late, or as they arrive when the fault ends.
    pub(super) fn set_late_orders(&self, index: usize, delay: Option<Duration>, renewals: bool) {
        let id = &self.listed_workers[index].entry.worker;
        self.workers
            .set_late(id, &[OrderKind::Start, OrderKind::Stop], delay);
        if renewals {
            self.workers.set_late(id, &[OrderKind::Renewal], delay);
        }
    }

    /// Lists the present incarnation of a worker.
    pub(super) async fn list_incarnation(&self, index: usize) -> Result<()> {
        let worker = &self.listed_workers[index];
        let Some(restarted) = self.workers.entries().into_iter().nth(index) else {
            return Ok(());
        };
        let entry = WorkerEntry {
            started_unix_ms: restarted.started_unix_ms,
            ..worker.entry.clone()
        };
        let listed = list_worker(&self.operator, &entry).await;
        listed.map(|_| ()).map_err(write_failed)
    }
}
