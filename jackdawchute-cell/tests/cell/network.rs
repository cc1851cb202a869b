//! Cuts of the network between the instances, the store and the workers of a cell.

use jackdawchute_standins::{cell::LinkFaults, proxy::ProxyFaults};

use crate::fixtures::*;

impl Cell {
    /// Cuts an instance off from the store and all that is read from it, or connects it again.
    pub fn cut_store(&self, index: usize, cut: bool) {
        self.instances[index].store.silence(cut);
        self.instances[index].directory.silence(cut);
    }

    /// Cuts an instance off from a worker, or connects them again.
    pub fn cut_worker(&self, index: usize, worker: &str, cut: bool) {
        let faults = match cut {
            true => LinkFaults::cut(),
            false => LinkFaults::default(),
        };
        let workers = &self.instances[index].workers;
        workers.set_faults(&worker.into(), faults);
    }

    /// Cuts two instances off from each other, or connects them again.
    pub async fn cut_peers(&self, first: usize, second: usize, cut: bool) {
        let faults = cut.then(ProxyFaults::frozen);
        for (caller, called) in [(first, second), (second, first)] {
            let proxy = &self.instances[called].proxy;
            let set = proxy.set_source_faults(self.host(caller), faults).await;
            set.expect("the proxy runs as long as its instance");
        }
    }

    /// Cuts an instance off from all others.
    pub async fn isolate(&self, index: usize) {
        for other in (0..self.instances.len()).filter(|other| *other != index) {
            self.cut_peers(index, other, true).await;
        }
    }

    /// Cuts the given instances and workers, and the store if it is on their side, off from all
    /// others.
    pub async fn partition(&self, instances: &[usize], workers: &[&str], store: bool) {
        for index in 0..self.instances.len() {
            let is_inside = instances.contains(&index);
            self.cut_store(index, is_inside != store);
            for entry in self.workers.entries() {
                let worker = entry.worker.as_str();
                let cut = is_inside != workers.contains(&worker);
                self.cut_worker(index, worker, cut);
            }
            for other in 0..index {
                let cut = is_inside != instances.contains(&other);
                self.cut_peers(index, other, cut).await;
            }
        }
    }

    /// Connects all with each other again.
    pub async fn heal(&self) {
        let all: Vec<usize> = (0..self.instances.len()).collect();
        let entries = self.workers.entries();
        let workers: Vec<&str> = entries.iter().map(|entry| entry.worker.as_str()).collect();
        self.partition(&all, &workers, true).await;
    }
}
