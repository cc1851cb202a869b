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
    /// To renew the worker lease.
    Renewal,
}

/// An order to a worker.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Renewal(RenewOrder),
}

impl Order {
    fn kind(&self) -> OrderKind {
        match self {
            Self::Start(_) => OrderKind::Start,
            Self::Stop(_) => OrderKind::Stop,
            Self::Renewal(_) => OrderKind::Renewal,
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

/// Which orders are carried out late, and those that have arrived and are not carried out yet.
#[derive(Debug, Default)]
pub(super) struct LateOrders {
    delays: BTreeMap<(WorkerId, OrderKind), Duration>,
    /// When each order is due, in the order of their arrival.
    under_way: Vec<(Instant, Order)>,
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
        let delay = self.delays.get(&(order.worker().clone(), order.kind()));
        if let Some(delay) = delay {
            self.under_way.push((now + *delay, order.clone()));
        }
        delay.is_some()
    }

    /// Removes and returns the order that is due first, if that is by `now`.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<(Instant, Order)> {
        let by_time = self.under_way.iter().enumerate();
        let (index, (due_at, _)) = by_time.min_by_key(|(_, (due_at, _))| *due_at)?;
        (*due_at <= now).then(|| self.under_way.remove(index))
    }

    /// Returns the worker of each order of a kind that is not carried out yet.
    pub(super) fn workers(&self, kind: OrderKind) -> Vec<WorkerId> {
        let of_kind = self.under_way.iter().filter(|it| it.1.kind() == kind);
        of_kind.map(|it| it.1.worker().clone()).collect()
    }
}
