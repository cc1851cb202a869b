//! Workers over HTTP.

use std::{net::SocketAddr, sync::Arc};

use jackdawchute_jobs::WorkerPorts;
use jackdawchute_ports::{HttpWorker, WorkerPort};
use jackdawchute_types::WorkerId;

/// Reaches each worker over HTTP, with connections of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpWorkerPorts;

impl WorkerPorts for HttpWorkerPorts {
    fn port(&self, _worker: &WorkerId, address: SocketAddr) -> Arc<dyn WorkerPort> {
        Arc::new(HttpWorker::new(address))
    }
}
