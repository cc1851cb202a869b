//! Announcements of new incarnations to holders that cannot read their rows.
//!
//! A holder that does not reach the table needs the promise of every incarnation that could fence
//! it. One that has joined since the last scan of the holder announces itself by a call, and the
//! holder then asks it like any other peer.

use std::{net::SocketAddr, time::Instant};

use jackdawchute_types::IncarnationId;

use crate::{effect::Effect, messages::Call, state::State};

/// An incarnation that has announced itself and whose row has not been read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announced {
    /// The address of its peer listener.
    pub peer_address: SocketAddr,
    /// When the announcement arrived.
    pub received_at: Instant,
}

impl State {
    /// Records the announcement of an incarnation that has joined, and scans for its row.
    pub fn announced(
        &mut self,
        incarnation: IncarnationId,
        peer_address: SocketAddr,
        now: Instant,
    ) -> Vec<Effect> {
        let announced = Announced {
            peer_address,
            received_at: now,
        };
        if self.view.incarnation(&incarnation).is_none() {
            self.announced.insert(incarnation, announced);
        }
        self.rows_changed(now)
    }

    /// Announces this incarnation to every other one whose row shows that it has not read this
    /// one's row yet.
    pub(crate) fn announce(&self, effects: &mut Vec<Effect>) {
        let identity = &self.identity;
        let unaware = self.view.unfenced().filter(|(id, row)| {
            **id != identity.incarnation
                && self.own_row_version > 0
                && row.seen_version < self.joined_version
        });
        for (peer, row) in unaware {
            effects.push(Effect::CallPeer {
                peer: peer.clone(),
                address: row.peer_address,
                call: Call::Announce {
                    incarnation: identity.incarnation.clone(),
                    peer_address: identity.peer_address,
                },
            });
        }
    }

    /// Drops announcements that arrived before the last scan began: that scan shows the row, or
    /// there is none. Also drops promises of incarnations whose rows were deleted, since those
    /// cannot fence any more.
    pub(crate) fn drop_stale_announcements(&mut self) {
        let view = &self.view;
        self.owner_lease
            .promises
            .retain(|id, _| view.incarnation(id).is_some());
        let scanned = self.last_scan;
        self.announced.retain(|_, announced| {
            scanned.is_some_and(|scan_began| announced.received_at >= scan_began)
        });
    }
}
