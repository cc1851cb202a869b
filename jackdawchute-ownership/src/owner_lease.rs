//! Decides how long an incarnation may act as the owner of its groups.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::IncarnationId;

use crate::{LeaseState, Timing};

/// What a holder knows about how long it may act.
///
/// A successor exists only after a challenger's fence took effect. The fence depends on the
/// version of the holder's row, and the challenger first saw that version no earlier than the
/// holder sent the commit that made it. So nobody fences before `confirmed + takeover`, and up to
/// `confirmed + lease`, which is earlier, the holder may act.
///
/// After that, a challenger may fence at any moment at which it reaches the table. The promise of a
/// peer rules this out for that peer: the peer gives it only if it has no fence of the holder in
/// flight, and the holder counts it from when it sent the call. As long as the promises of all
/// unfenced incarnations that the holder knows are valid, none of them fences it.
///
/// An incarnation that has joined since the last scan of the holder announces itself, and the
/// holder then needs its promise too. The newcomer also sees in the row of the holder that the
/// holder has not read the newcomer's row yet, and waits longer
/// ([`Timing::newcomer_takeover`](crate::Timing)). One case remains: a newcomer reaches the table
/// while, for longer than that, the holder and all incarnations that it knows reach neither the
/// table nor the newcomer. The journal is safe even then: only dispatch that is not journaled first
/// relies on the lease state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerLease {
    /// When the last commit that took effect was first sent; `None` before the first one.
    pub confirmed: Option<Instant>,
    /// Until when each peer has promised not to fence this incarnation.
    pub promises: BTreeMap<IncarnationId, Instant>,
    /// The incarnation that fenced this one, or `None` if none has.
    pub fenced_by: Option<IncarnationId>,
}

impl OwnerLease {
    /// Returns the lease state at `now`; `peers` are the unfenced incarnations that could fence
    /// this one.
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

    /// Returns until when the incarnation may act: the end of the lease, or the first end of a
    /// promise if that is later; `None` before the first confirmed commit and after a fence.
    /// Without any peer nobody could fence it, so the lease ends `hold_off` from now at the
    /// earliest.
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
