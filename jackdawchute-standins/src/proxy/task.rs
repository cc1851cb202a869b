//! The task that owns the faults and counts of a proxy.

use std::net::SocketAddr;

use tokio::sync::watch;
use xtra::prelude::*;

use super::{
    faults::FaultTable,
    messages::{Accepted, Closed, Forwarded},
    pump::{serve, ProxyLink},
    CutConnections, Direction, ProxyCounts, ReadCounts, SetFaults, SetSourceFaults, SetTarget,
};

/// The task that owns the target, faults and counts that all connections of a proxy share.
#[derive(Debug, xtra::Actor)]
pub struct ProxyTask {
    target: Option<SocketAddr>,
    faults: watch::Sender<FaultTable>,
    /// The number of cuts so far; a change closes the open connections.
    cuts: watch::Sender<u64>,
    counts: ProxyCounts,
}

impl ProxyTask {
    /// Creates a proxy without faults; without a target it closes each connection.
    pub fn new(target: Option<SocketAddr>) -> Self {
        Self {
            target,
            faults: watch::Sender::default(),
            cuts: watch::Sender::default(),
            counts: ProxyCounts::default(),
        }
    }

    fn cut(&mut self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }
}

impl Handler<Accepted> for ProxyTask {
    type Return = ();

    async fn handle(&mut self, accepted: Accepted, context: &mut Context<Self>) {
        let Accepted(client, source) = accepted;
        if self.faults.borrow().of_source(source).refuse {
            return;
        }
        self.counts.accepted += 1;
        self.counts.open += 1;
        self.counts.max_open = self.counts.max_open.max(self.counts.open);
        let Some(proxy) = context.mailbox().address().try_upgrade() else {
            return;
        };
        let link = ProxyLink {
            source,
            faults: self.faults.subscribe(),
            cuts: self.cuts.subscribe(),
            proxy,
        };
        tokio::spawn(serve(client, self.target, link));
    }
}

impl Handler<Closed> for ProxyTask {
    type Return = ();

    async fn handle(&mut self, _closed: Closed, _context: &mut Context<Self>) {
        self.counts.open -= 1;
    }
}

impl Handler<Forwarded> for ProxyTask {
    type Return = ();

    async fn handle(&mut self, forwarded: Forwarded, _context: &mut Context<Self>) {
        match forwarded.direction {
            Direction::ToServer => self.counts.to_server_bytes += forwarded.bytes,
            Direction::ToClient => self.counts.to_client_bytes += forwarded.bytes,
        }
    }
}

impl Handler<SetTarget> for ProxyTask {
    type Return = ();

    async fn handle(&mut self, set: SetTarget, _context: &mut Context<Self>) {
        self.target = Some(set.0);
    }
}

impl Handler<SetFaults> for ProxyTask {
    type Return = ();

    async fn handle(&mut self, set: SetFaults, _context: &mut Context<Self>) {
        self.faults.send_modify(|faults| faults.usual = set.0);
        if set.0.refuse {
            self.cut();
        }
    }
}

impl Handler<SetSourceFaults> for ProxyTask {
    type Return = ();

    async fn handle(&mut self, set: SetSourceFaults, _context: &mut Context<Self>) {
        self.faults.send_modify(|faults| {
            match set.faults {
                Some(own) => faults.by_source.insert(set.source, own),
                None => faults.by_source.remove(&set.source),
            };
        });
    }
}

impl Handler<CutConnections> for ProxyTask {
    type Return = ();

    async fn handle(&mut self, _cut: CutConnections, _context: &mut Context<Self>) {
        self.cut();
    }
}

impl Handler<ReadCounts> for ProxyTask {
    type Return = ProxyCounts;

    async fn handle(&mut self, _read: ReadCounts, _context: &mut Context<Self>) -> ProxyCounts {
        self.counts
    }
}
