//! The network between one instance and the in-memory workers.

use std::{
    collections::BTreeMap,
    future::Future,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_cell::{Error, Result, Workers};
use jackdawchute_scheduler::{RenewAnswer, RenewOrder, StartAnswer, StartOrder, StopOrder};
use jackdawchute_types::WorkerId;
use tokio::time::Instant;

use super::MemoryWorkers;
use crate::lock::lock;

/// The timeout of an order, in addition to the wait that it asks for, as that of the platform's
/// client.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// What is lost between an instance and a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Whether orders don't arrive.
    pub request_lost: bool,
    /// Whether orders are executed and their answers don't arrive.
    pub answer_lost: bool,
}

impl LinkFaults {
    /// Returns faults that lose everything in both directions.
    ///
    /// ```
    /// use jackdawchute_standins::cell::LinkFaults;
    ///
    /// assert!(LinkFaults::cut().request_lost && LinkFaults::cut().answer_lost);
    /// ```
    pub fn cut() -> Self {
        Self {
            request_lost: true,
            answer_lost: true,
        }
    }
}

/// A handle to the workers for one instance, with the faults that this instance sees.
#[derive(Clone, Debug)]
pub struct WorkersHandle {
    workers: MemoryWorkers,
    /// The links that have faults.
    faults: Arc<Mutex<BTreeMap<WorkerId, LinkFaults>>>,
}

impl WorkersHandle {
    pub(super) fn new(workers: MemoryWorkers) -> Self {
        Self {
            workers,
            faults: Arc::default(),
        }
    }

    /// Sets the faults between this instance and a worker.
    ///
    /// ```
    /// use jackdawchute_standins::cell::{LinkFaults, MemoryWorkers};
    ///
    /// let workers = MemoryWorkers::new(1, std::time::Duration::from_millis(10)).handle();
    /// workers.set_faults(&"w0".into(), LinkFaults::cut());
    /// ```
    pub fn set_faults(&self, worker: &WorkerId, faults: LinkFaults) {
        lock(&self.faults).insert(worker.clone(), faults);
    }

    fn faults(&self, worker: &WorkerId) -> LinkFaults {
        lock(&self.faults).get(worker).copied().unwrap_or_default()
    }

    /// Returns the outcome of an order that `execute` carries out, or `None` after the timeout if
    /// the order or its answer is lost, or if the worker carries the order out late.
    ///
    /// The fault of each direction is that of the time at which the order or the answer is sent.
    async fn send<T>(
        &self,
        worker: &WorkerId,
        timeout: Duration,
        execute: impl Future<Output = T>,
    ) -> Option<T> {
        let deadline = Instant::now() + timeout;
        if !self.faults(worker).request_lost {
            let outcome = tokio::time::timeout_at(deadline, execute).await;
            if !self.faults(worker).answer_lost {
                return outcome.ok();
            }
        }
        tokio::time::sleep_until(deadline).await;
        None
    }
}

fn no_answer(step: &'static str, worker: &WorkerId) -> Error {
    Error::Unknown(step, worker.to_string(), "no answer in time".to_owned())
}

#[async_trait]
impl Workers for WorkersHandle {
    async fn start(&self, order: &StartOrder) -> StartAnswer {
        self.send(&order.worker, ORDER_TIMEOUT, self.workers.start(order))
            .await
            .unwrap_or(StartAnswer::Unknown)
    }

    async fn stop(&self, order: &StopOrder) -> Result<Duration> {
        self.send(&order.worker, ORDER_TIMEOUT, self.workers.stop(order))
            .await
            .unwrap_or_else(|| Err(no_answer("stop", &order.worker)))
    }

    async fn renew(&self, order: &RenewOrder) -> Result<RenewAnswer> {
        let timeout = ORDER_TIMEOUT + order.wait;
        self.send(&order.worker, timeout, self.workers.renew(order))
            .await
            .unwrap_or_else(|| Err(no_answer("renew lease", &order.worker)))
    }
}
