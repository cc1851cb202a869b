//! Takes a group over with what its journal and the other incarnations know.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_ownership::{Directory, EntryKey};
use jackdawchute_types::{IncarnationId, MinionId, RequestKey};

use crate::{
    group::{GrantPhase, GrantRef, Group, OpenGrant, Unaccounted},
    holders::Registration,
    journal::registered_holder,
    keys::{KeyRecord, Phase, Saved},
    minion::Minion,
    Effect, Grant, JournaledKey, JournaledState,
};

/// The time between two questions to the same incarnation.
pub(crate) const ASK_PERIOD: Duration = Duration::from_secs(1);

impl Group {
    /// Reads the journaled keys; `is_live` tells whether a holder may still complete.
    pub(crate) fn adopt_journal(
        &mut self,
        entries: &[(EntryKey, String)],
        is_live: impl Fn(&IncarnationId) -> bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        for (entry, value) in entries {
            if let Some(holder) = registered_holder(entry) {
                self.adopt_holder(holder, now);
                continue;
            }
            match JournaledKey::from_entry(entry, value) {
                Ok((key, journaled)) => self.adopt_key(key, journaled, &is_live, now, effects),
                Err(error) => {
                    // What cannot be read may have run: its key stays taken.
                    spdlog::error!("{error}");
                    self.adopt_unreadable(entry, now);
                }
            }
        }
    }

    fn adopt_unreadable(&mut self, entry: &EntryKey, now: Instant) {
        if let Ok(key) = crate::journal::request_key(entry) {
            self.insert_adopted(&key, None, None);
            self.keys.finish(&key, Phase::Unknown, now);
        }
    }

    fn insert_adopted(
        &mut self,
        key: &RequestKey,
        digest: Option<u64>,
        grant: Option<(GrantRef, IncarnationId)>,
    ) {
        let mut record = KeyRecord::new(digest, Phase::Open);
        record.in_journal = true;
        record.grant = grant;
        self.keys.insert(key.clone(), record);
    }

    fn adopt_key(
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
        self.insert_adopted(&key, Some(journaled.digest), Some((grant, holder.clone())));
        match journaled.state {
            JournaledState::Answered { answer } => {
                self.keys.finish(&key, Phase::Answered(answer), now);
            }
            JournaledState::Unknown { minion } => {
                self.keys.finish(&key, Phase::Unknown, now);
                if let Some(minion) = minion {
                    let minion = self.known_minion(minion, None);
                    let ends = now + self.settings.grants.ended_after();
                    self.count_adopted(grant, minion, holder, Some(key), ends);
                    self.linger(grant, now);
                }
            }
            JournaledState::Intent {
                minion,
                ended_after,
            } => {
                let live = is_live(&holder);
                let minion = self.known_minion(minion, None);
                self.count_adopted(grant, minion, holder, Some(key.clone()), now + ended_after);
                if !live {
                    self.lose(grant, now, effects);
                }
            }
        }
    }

    /// Makes sure that grants on an unlisted minion can be counted.
    fn known_minion(&mut self, minion: MinionId, address: Option<SocketAddr>) -> MinionId {
        let unlisted = SocketAddr::from(([0, 0, 0, 0], 0));
        self.minions
            .entry(minion.clone())
            .or_insert_with(|| Minion::unlisted(address.unwrap_or(unlisted)));
        minion
    }

    fn count_adopted(
        &mut self,
        grant: GrantRef,
        minion: MinionId,
        holder: IncarnationId,
        key: Option<RequestKey>,
        ends: Instant,
    ) {
        if let Some(minion) = self.minions.get_mut(&minion) {
            minion.take(&holder, key.is_some());
        }
        let open = OpenGrant {
            minion,
            holder,
            key,
            work_item: None,
            since: ends,
            ends,
            phase: GrantPhase::Given,
            missing: false,
        };
        self.open.insert(grant, open);
    }

    /// Holds slots back for a holder of an earlier epoch until it tells what it holds.
    fn adopt_holder(&mut self, holder: IncarnationId, now: Instant) {
        let registration = Registration {
            kept: true,
            gone: false,
        };
        let unaccounted = Unaccounted {
            until: now + self.settings.grants.ended_after(),
            asked: now,
        };
        self.holders.insert(holder.clone(), registration);
        self.unaccounted.insert(holder.clone(), unaccounted);
        self.asks.insert(holder);
    }

    /// Counts what an incarnation holds, in place of the slots held back for it.
    pub(crate) fn holdings_reported(
        &mut self,
        incarnation: &IncarnationId,
        grants: &[Grant],
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let first_answer = self.unaccounted.remove(incarnation).is_some();
        if first_answer {
            let earlier = grants.iter().filter(|grant| grant.epoch < self.epoch);
            for grant in earlier.cloned().collect::<Vec<_>>() {
                self.adopt_held(incarnation, grant, now);
            }
        }
        if self.unaccounted.is_empty() {
            self.returned_early.clear();
        }
        self.close_missing(incarnation, grants, now, effects);
        self.pump(now, effects);
    }

    fn adopt_held(&mut self, holder: &IncarnationId, grant: Grant, now: Instant) {
        let reference = GrantRef {
            epoch: grant.epoch,
            id: grant.id,
        };
        let known = self.open.contains_key(&reference) || self.keys.by_grant(reference).is_some();
        if known || self.returned_early.contains(&reference) {
            // A journaled request is counted from the journal.
            return;
        }
        let minion = self.known_minion(grant.minion, Some(grant.address));
        let ends = now + self.settings.grants.ended_after();
        self.count_adopted(reference, minion, holder.clone(), None, ends);
    }

    /// Stops waiting for holders that were fenced.
    pub(crate) fn holders_changed(
        &mut self,
        old: &Directory,
        new: &Directory,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let vanished =
            |id: &IncarnationId| old.incarnations.contains_key(id) && !is_listed(new, id);
        let lost: Vec<GrantRef> = self
            .open
            .iter()
            .filter(|(_, open)| vanished(&open.holder) && matches!(open.phase, GrantPhase::Given))
            .map(|(grant, _)| *grant)
            .collect();
        for grant in lost {
            self.lose(grant, now, effects);
        }
        self.drop_calls_of(&vanished, now, effects);
    }

    /// Gives up on an answer: the slot stays counted, the outcome is unknown.
    pub(crate) fn lose(&mut self, grant: GrantRef, now: Instant, effects: &mut Vec<Effect>) {
        self.linger(grant, now);
        let key = self.open.get(&grant).and_then(|open| open.key.clone());
        let Some(key) = key else {
            return;
        };
        let open = self.keys.get(&key).is_some_and(|r| r.phase == Phase::Open);
        if open {
            self.settle(&key, Phase::Unknown, now, effects);
            self.save_outcome(&key, None, effects);
        }
    }

    /// Saves what an outage kept from the journal.
    pub(crate) fn save_again(&mut self, effects: &mut Vec<Effect>) {
        for key in self.keys.unsaved().into_iter().take(SAVES_MAX) {
            let on_the_way =
                self.keys.get(&key).map(|record| record.saved) == Some(Saved::OnTheWay);
            if !on_the_way {
                self.save_outcome(&key, None, effects);
            }
        }
    }
}

/// The most outcomes that are saved again at a time.
const SAVES_MAX: usize = 64;

pub(crate) fn is_listed(directory: &Directory, incarnation: &IncarnationId) -> bool {
    directory.incarnations.contains_key(incarnation)
}
