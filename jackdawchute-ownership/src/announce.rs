//! Makes a new incarnation known to those that cannot read its row.
//!
//! A holder without the table needs the promise of everyone who could fence it. One that joined
//! since the holder's last scan tells the holder itself, which then asks it like any other peer.

use std::{net::SocketAddr, time::Instant};

use jackdawchute_types::IncarnationId;

use crate::{effect::Effect, messages::Call, state::State};

/// An incarnation that has told of itself and is not in the view yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announced {
    /// Where its peer listener is.
    pub peer_address: SocketAddr,
    /// When it told.
    pub at: Instant,
}

impl State {
    /// An incarnation tells that it has joined.
    pub fn announced(
        &mut self,
        incarnation: IncarnationId,
        peer_address: SocketAddr,
        now: Instant,
    ) -> Vec<Effect> {
        let announced = Announced {
            peer_address,
            at: now,
        };
        if self.view.incarnation(&incarnation).is_none() {
            self.announced.insert(incarnation, announced);
        }
        self.rows_changed(now)
    }

    /// Tells every incarnation whose row does not show that it knows this one.
    pub(crate) fn announce(&self, effects: &mut Vec<Effect>) {
        let me = &self.identity;
        let unaware = self.view.unfenced().filter(|(id, row)| {
            **id != me.incarnation && self.own_version > 0 && row.seen_version < self.joined
        });
        for (peer, row) in unaware {
            effects.push(Effect::CallPeer {
                peer: peer.clone(),
                address: row.peer_address,
                call: Call::Announce {
                    incarnation: me.incarnation.clone(),
                    peer_address: me.peer_address,
                },
            });
        }
    }

    /// A scan that began after an announcement shows the row, or there is none. The promises of
    /// those that are gone do not matter any more.
    pub(crate) fn forget_gone(&mut self) {
        let view = &self.view;
        self.owner_lease
            .promises
            .retain(|id, _| view.incarnation(id).is_some());
        let scanned = self.last_scan;
        self.announced
            .retain(|_, announced| scanned.is_some_and(|began| announced.at >= began));
    }
}
