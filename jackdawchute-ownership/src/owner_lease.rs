//! Decides how long an incarnation may act as the owner of its groups.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::IncarnationId;

use crate::{LeaseState, Timing};

/// What a holder knows about its right to act.
///
/// A successor exists only after a challenger's fence took effect. The fence depends on the
/// version of the holder's row, and the challenger first saw that version no earlier than the
/// holder sent the commit that made it. So nobody fences before `confirmed + takeover`, and up to
/// `confirmed + lease`, which is less, the holder may act.
///
/// Past that, a challenger may fence at any moment at which it reaches the table. A promise
/// of a peer rules this out for that peer: it is given only when the peer has no fence of the
/// holder under way, and counts from before the holder asked. While the promises of all unfenced
/// incarnations that the holder knows are running, none of them fences it. An incarnation that
/// has joined since the holder's last scan tells the holder, which then needs its promise too; it
/// also sees in the holder's row that it is unknown, and waits longer
/// ([`Timing::newcomer_takeover`](crate::Timing)); what remains is a newcomer that reaches the
/// table while the holder and all whom it knows reach neither the table nor the newcomer for
/// longer than that. The journal holds even then: only the plain dispatch relies on the standing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerLease {
    /// When the last commit that took effect was first sent.
    pub confirmed: Option<Instant>,
    /// Until when each peer promised not to fence this incarnation.
    pub promises: BTreeMap<IncarnationId, Instant>,
    /// Who fenced it.
    pub fenced_by: Option<IncarnationId>,
}

impl OwnerLease {
    /// The standing at `now`, if `peers` are the unfenced incarnations that could fence it.
    pub fn state<'a>(
        &self,
        lease: Duration,
        mut peers: impl Iterator<Item = &'a IncarnationId>,
        now: Instant,
    ) -> LeaseState {
        let is_promised =
            |id: &IncarnationId| self.promises.get(id).is_some_and(|until| now < *until);
        match self.confirmed {
            _ if self.fenced_by.is_some() => LeaseState::Fenced,
            None => LeaseState::CutOff,
            Some(confirmed) if now < confirmed + lease => LeaseState::Confirmed,
            Some(_) if peers.all(is_promised) => LeaseState::StoreDown,
            Some(_) => LeaseState::CutOff,
        }
    }

    /// Until when it may act: the end of the lease, or of the first promise that ends. Without
    /// any peer nobody could fence it, so an unconfirmed lease ends `hold_off` from now.
    pub fn expires_at<'a>(
        &self,
        timing: &Timing,
        peers: impl Iterator<Item = &'a IncarnationId>,
        now: Instant,
    ) -> Option<Instant> {
        let confirmed = self.confirmed.filter(|_| self.fenced_by.is_none())? + timing.lease;
        let promises: Option<Vec<_>> = peers.map(|id| self.promises.get(id).copied()).collect();
        let promised = promises.map(|all| all.into_iter().min().unwrap_or(now + timing.hold_off));
        Some(promised.map_or(confirmed, |until| until.max(confirmed)))
    }
}
