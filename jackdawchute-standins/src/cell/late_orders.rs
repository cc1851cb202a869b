//! Orders that an in-memory worker carries out late.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{RenewOrder, StartOrder, StopOrder};
use jackdawchute_types::WorkerId;

/// A kind of order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderKind {
    /// To start a run.
    Start,
    /// To stop a run.
    Stop,
    /// To renew the worker lease, or to list the runs.
    Renewal,
    /// To extend the worker lease; one of the renewals. A late one counts from when it is carried
    /// out.
    Extension,
}

/// An order to a worker.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Renewal(RenewOrder),
}

impl Order {
    fn is_of_kind(&self, kind: OrderKind) -> bool {
        match self {
            Self::Start(_) => kind == OrderKind::Start,
            Self::Stop(_) => kind == OrderKind::Stop,
            Self::Renewal(order) => {
                let is_extension = kind == OrderKind::Extension && order.lease_until.is_some();
                kind == OrderKind::Renewal || is_extension
            }
        }
    }

    fn worker(&self) -> &WorkerId {
        match self {
            Self::Start(order) => &order.worker,
            Self::Stop(order) => &order.worker,
            Self::Renewal(order) => &order.worker,
        }
    }
}

/// An order that has arrived and is not carried out yet.
#[derive(Clone, Debug)]
pub(super) struct LateOrder {
    pub(super) due_at: Instant,
    pub(super) delay: Duration,
    pub(super) order: Order,
}

/// Which orders are carried out late, and those that have arrived and are not carried out yet.
#[derive(Debug, Default)]
pub(super) struct LateOrders {
    delays: BTreeMap<(WorkerId, OrderKind), Duration>,
    /// When each order is due and by how much it is late, in the order of their arrival.
    under_way: Vec<LateOrder>,
}

impl LateOrders {
    pub(super) fn set_delay(
        &mut self,
        worker: &WorkerId,
        kinds: &[OrderKind],
        delay: Option<Duration>,
    ) {
        for kind in kinds {
            let key = (worker.clone(), *kind);
            match delay {
                Some(delay) => self.delays.insert(key, delay),
                None => self.delays.remove(&key),
            };
        }
    }

    /// Takes an order that is to be carried out late; returns whether it is one.
    pub(super) fn take(&mut self, order: &Order, now: Instant) -> bool {
        let mut delays = self.delays.iter();
        let delay =
            delays.find(|((worker, kind), _)| worker == order.worker() && order.is_of_kind(*kind));
        let delay = delay.map(|(_, delay)| delay);
        if let Some(delay) = delay {
            self.under_way.push(LateOrder {
                due_at: now + *delay,
                delay: *delay,
                order: order.clone(),
            });
        }
        delay.is_some()
    }

    /// Makes all orders to a worker due now.
    pub(super) fn make_due(&mut self, worker: &WorkerId, now: Instant) {
        let of_worker = self.under_way.iter_mut();
        for late in of_worker.filter(|late| late.order.worker() == worker) {
            let left = late.due_at.saturating_duration_since(now);
            late.delay = late.delay.saturating_sub(left);
            late.due_at = late.due_at.min(now);
        }
    }

    /// Removes and returns the order that is due first, if that is by `now`.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<LateOrder> {
        let by_time = self.under_way.iter().enumerate();
        let (index, first) = by_time.min_by_key(|(_, late)| late.due_at)?;
        (first.due_at <= now).then(|| self.under_way.remove(index))
    }

    /// Returns the worker of each order of a kind that is not carried out yet.
    pub(super) fn workers(&self, kind: OrderKind) -> Vec<WorkerId> {
        let orders = self.under_way.iter().map(|late| &late.order);
        let of_kind = orders.filter(|order| order.is_of_kind(kind));
        of_kind.map(|order| order.worker().clone()).collect()
    }
}
