//! Connections that callers keep using until they fail, ready or not.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use jackdawchute_adapter::standins::CallerAnswer;

use crate::lock::lock;

/// How many connections the callers share.
const CONNECTIONS: usize = 8;

/// The instance at the other end of each open connection; `None` where none is open.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections(Arc<Mutex<[Option<SocketAddr>; CONNECTIONS]>>);

impl Connections {
    /// Returns the instance that the callers of the job with this number are connected to.
    pub(super) fn instance(&self, job: u32) -> Option<SocketAddr> {
        lock(&self.0)[job as usize % CONNECTIONS]
    }

    /// Opens the connection of the job with this number.
    pub(super) fn open(&self, job: u32, instance: SocketAddr) {
        lock(&self.0)[job as usize % CONNECTIONS] = Some(instance);
    }

    /// Closes the connection of the job with this number if a call on it got no answer.
    pub(super) fn check(&self, job: u32, instance: SocketAddr, answer: &CallerAnswer) {
        let slot = &mut lock(&self.0)[job as usize % CONNECTIONS];
        if *answer == CallerAnswer::Unknown && *slot == Some(instance) {
            *slot = None;
        }
    }
}
