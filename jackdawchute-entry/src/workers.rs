//! Connections to workers over HTTP.

use std::{net::SocketAddr, sync::Arc};

use jackdawchute_jobs::WorkerPorts;
use jackdawchute_ports::{HttpWorker, WorkerPort};
use jackdawchute_types::WorkerId;

/// Opens a port to each worker over HTTP; workers share no connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpWorkerPorts;

impl WorkerPorts for HttpWorkerPorts {
    fn port(&self, _worker: &WorkerId, address: SocketAddr) -> Arc<dyn WorkerPort> {
        Arc::new(HttpWorker::new(address))
    }
}
