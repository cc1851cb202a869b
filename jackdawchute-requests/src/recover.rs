//! Recovers a claimed group from its journal and from the grants that other incarnations report.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_ownership::{Directory, EntryKey};
use jackdawchute_types::{IncarnationId, MinionId, RequestKey};

use crate::{
    group::{GrantPhase, GrantRef, Group, OpenGrant, UnaccountedHolder},
    holders::Registration,
    journal::parse_holder,
    keys::{KeyPhase, KeyRecord, SaveState},
    minion::Minion,
    Effect, Grant, JournaledKey, JournaledState,
};

/// The time between two holdings queries to the same incarnation.
pub(crate) const HOLDINGS_QUERY_PERIOD: Duration = Duration::from_secs(1);

impl Group {
    /// Recovers keys and holders from the journal; `is_live` returns whether a holder may still
    /// report the outcome of its grants.
    pub(crate) fn recover_journal(
        &mut self,
        entries: &[(EntryKey, String)],
        is_live: impl Fn(&IncarnationId) -> bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        for (entry, value) in entries {
            if let Some(holder) = parse_holder(entry) {
                self.recover_holder(holder, now);
                continue;
            }
            match JournaledKey::from_entry(entry, value) {
                Ok((key, journaled)) => self.recover_key(key, journaled, &is_live, now, effects),
                Err(error) => {
                    // The request may have run, so its key stays in use.
                    spdlog::error!("{error}");
                    self.recover_unreadable(entry, now);
                }
            }
        }
    }

    fn recover_unreadable(&mut self, entry: &EntryKey, now: Instant) {
        if let Ok(key) = crate::journal::parse_request_key(entry) {
            self.insert_recovered(&key, None, None);
            self.keys.finish(&key, KeyPhase::OutcomeUnknown, now);
        }
    }

    fn insert_recovered(
        &mut self,
        key: &RequestKey,
        digest: Option<u64>,
        grant: Option<(GrantRef, IncarnationId)>,
    ) {
        let mut record = KeyRecord::new(digest, KeyPhase::Granted);
        record.may_be_journaled = true;
        record.grant = grant;
        self.keys.insert(key.clone(), record);
    }

    fn recover_key(
        &mut self,
        key: RequestKey,
        journaled: JournaledKey,
        is_live: &impl Fn(&IncarnationId) -> bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let grant = GrantRef {
            epoch: journaled.epoch,
            id: journaled.grant,
        };
        let holder = journaled.holder;
        self.insert_recovered(&key, Some(journaled.digest), Some((grant, holder.clone())));
        match journaled.state {
            JournaledState::Answered { answer } => {
                self.keys.finish(&key, KeyPhase::Answered(answer), now);
            }
            JournaledState::Unknown { minion } => {
                self.keys.finish(&key, KeyPhase::OutcomeUnknown, now);
                if let Some(minion) = minion {
                    let minion = self.ensure_minion(minion, None);
                    let ends_by = self.earlier_grants_end_by(now);
                    self.count_recovered(grant, minion, holder, Some(key), ends_by);
                    self.keep_until_end(grant, now);
                }
            }
            JournaledState::Intent {
                minion,
                ended_after,
            } => {
                let live = is_live(&holder);
                let minion = self.ensure_minion(minion, None);
                self.count_recovered(grant, minion, holder, Some(key.clone()), now + ended_after);
                if !live {
                    self.abandon(grant, now, effects);
                }
            }
        }
    }

    /// Adds a minion that is not listed, so that its grants can be counted.
    fn ensure_minion(&mut self, minion: MinionId, address: Option<SocketAddr>) -> MinionId {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.minions
            .entry(minion.clone())
            .or_insert_with(|| Minion::unlisted(address.unwrap_or(unspecified)));
        minion
    }

    /// Counts a grant of an earlier epoch against the slots of its minion.
    fn count_recovered(
        &mut self,
        grant: GrantRef,
        minion: MinionId,
        holder: IncarnationId,
        key: Option<RequestKey>,
        ends_by: Instant,
    ) {
        if let Some(minion) = self.minions.get_mut(&minion) {
            minion.occupy_slot(&holder, key.is_some());
        }
        let open = OpenGrant {
            minion,
            holder,
            key,
            work_item: None,
            granted_at: ends_by,
            ends_by,
            phase: GrantPhase::Granted,
            reported_missing: false,
        };
        self.open_grants.insert(grant, open);
    }

    /// Holds slots back for a holder of an earlier epoch until it reports its grants.
    fn recover_holder(&mut self, holder: IncarnationId, now: Instant) {
        let registration = Registration {
            journaled: true,
            unlisted: false,
        };
        let unaccounted = UnaccountedHolder {
            ends_by: self.earlier_grants_end_by(now),
            queried_at: now,
        };
        self.holders.insert(holder.clone(), registration);
        self.unaccounted.insert(holder.clone(), unaccounted);
        self.holdings_queries.insert(holder);
    }

    /// Counts the grants that an incarnation reports, in place of the slots held back for it.
    pub(crate) fn holdings_reported(
        &mut self,
        incarnation: &IncarnationId,
        grants: &[Grant],
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let first_report = self.unaccounted.remove(incarnation).is_some();
        if first_report {
            let earlier = grants.iter().filter(|grant| grant.epoch < self.epoch);
            for grant in earlier.cloned().collect::<Vec<_>>() {
                self.count_reported(incarnation, grant, now);
            }
        }
        if self.unaccounted.is_empty() {
            self.released_early.clear();
        }
        self.abandon_missing(incarnation, grants, now, effects);
        self.grant_waiting(now, effects);
    }

    /// Counts a grant of an earlier epoch that its holder reported.
    fn count_reported(&mut self, holder: &IncarnationId, grant: Grant, now: Instant) {
        let reference = GrantRef {
            epoch: grant.epoch,
            id: grant.id,
        };
        let known =
            self.open_grants.contains_key(&reference) || self.keys.by_grant(reference).is_some();
        if known || self.released_early.contains(&reference) {
            // The grant was recovered from the journal, or was released before this report.
            return;
        }
        let ends_by = now + grant.ended_after.max(self.settings.grants.ended_after());
        let minion = self.ensure_minion(grant.minion, Some(grant.address));
        self.count_recovered(reference, minion, holder.clone(), None, ends_by);
    }

    /// Abandons the grants and cancels the calls of holders that are not listed any more.
    pub(crate) fn directory_changed(
        &mut self,
        old: &Directory,
        new: &Directory,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let newly_unlisted =
            |id: &IncarnationId| old.incarnations.contains_key(id) && !is_listed(new, id);
        let abandoned: Vec<GrantRef> = self
            .open_grants
            .iter()
            .filter(|(_, open)| {
                newly_unlisted(&open.holder) && matches!(open.phase, GrantPhase::Granted)
            })
            .map(|(grant, _)| *grant)
            .collect();
        for grant in abandoned {
            self.abandon(grant, now, effects);
        }
        self.cancel_calls_of(&newly_unlisted, now, effects);
    }

    /// Abandons a grant: the slot stays counted, and the outcome of its key becomes unknown.
    pub(crate) fn abandon(&mut self, grant: GrantRef, now: Instant, effects: &mut Vec<Effect>) {
        self.keep_until_end(grant, now);
        let key = self
            .open_grants
            .get(&grant)
            .and_then(|open| open.key.clone());
        let Some(key) = key else {
            return;
        };
        let is_granted = self
            .keys
            .get(&key)
            .is_some_and(|r| r.phase == KeyPhase::Granted);
        if is_granted {
            self.finish_key(&key, KeyPhase::OutcomeUnknown, now, effects);
            self.save_outcome(&key, None, effects);
        }
    }

    /// Journals outcomes again that could not be journaled during a store outage.
    pub(crate) fn retry_unsaved(&mut self, effects: &mut Vec<Effect>) {
        for key in self.keys.unsaved().into_iter().take(RETRIED_SAVES_MAX) {
            let saving = self.keys.get(&key).map(|record| record.saved) == Some(SaveState::Saving);
            if !saving {
                self.save_outcome(&key, None, effects);
            }
        }
    }
}

/// The most unsaved outcomes that are journaled again at a time.
const RETRIED_SAVES_MAX: usize = 64;

/// Returns whether the directory lists an incarnation as live.
pub(crate) fn is_listed(directory: &Directory, incarnation: &IncarnationId) -> bool {
    directory.incarnations.contains_key(incarnation)
}
