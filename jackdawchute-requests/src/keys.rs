//! The idempotency keys of a group, with their outcomes and retention.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Instant,
};

use jackdawchute_types::{IncarnationId, MinionId, RequestKey};

use crate::{
    group::{GrantRef, WaitingCall},
    JournaledKey, JournaledState, RetentionSettings, StoredAnswer,
};

/// How far a keyed request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyPhase {
    /// The request waits for a slot. The journal may have an earlier intent whose grant was never
    /// sent.
    Queued,
    /// The intent is being journaled.
    Journaling,
    /// The intent is journaled, and the request may run.
    Granted,
    /// The request never ran, since its grant was never sent or was released unsent; its intent is
    /// being removed from the journal.
    RemovingIntent,
    /// The minion responded; holds the response if it is retained.
    Answered(Option<StoredAnswer>),
    /// No response was received, and none is expected.
    OutcomeUnknown,
}

/// Whether the journal has the key's current phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SaveState {
    Saved,
    Saving,
    Unsaved,
}

/// The state of one idempotency key.
#[derive(Debug)]
pub(crate) struct KeyRecord {
    /// The hash of the request; `None` if the journal entry could not be decoded.
    pub(crate) digest: Option<u64>,
    pub(crate) phase: KeyPhase,
    pub(crate) saved: SaveState,
    /// Counts the saves, so that the result of an earlier one is not taken for that of the last.
    pub(crate) revision: u64,
    /// Whether the journal may have an entry for the key.
    pub(crate) may_be_journaled: bool,
    /// When the outcome was recorded; `None` before.
    pub(crate) finished_at: Option<Instant>,
    /// The last grant and its holder; `None` before the first grant.
    pub(crate) grant: Option<(GrantRef, IncarnationId)>,
    /// Further calls with the same key that wait for the outcome, in order of arrival.
    pub(crate) waiters: VecDeque<WaitingCall>,
}

impl KeyRecord {
    pub(crate) fn new(digest: Option<u64>, phase: KeyPhase) -> Self {
        Self {
            digest,
            phase,
            saved: SaveState::Saved,
            revision: 0,
            may_be_journaled: false,
            finished_at: None,
            grant: None,
            waiters: VecDeque::new(),
        }
    }

    /// Returns the outcome as a journal record; `None` if there is none to journal.
    ///
    /// `minion` is the minion on which the request may still run.
    pub(crate) fn journaled_outcome(&self, minion: Option<MinionId>) -> Option<JournaledKey> {
        let state = match &self.phase {
            KeyPhase::Answered(answer) => JournaledState::Answered {
                answer: answer.clone(),
            },
            KeyPhase::OutcomeUnknown => JournaledState::Unknown { minion },
            KeyPhase::Queued
            | KeyPhase::Journaling
            | KeyPhase::Granted
            | KeyPhase::RemovingIntent => return None,
        };
        let (grant, holder) = self.grant.clone()?;
        Some(JournaledKey {
            digest: self.digest?,
            epoch: grant.epoch,
            grant: grant.id,
            holder,
            state,
        })
    }

    fn is_finished_at(&self, at: Instant) -> bool {
        self.finished_at == Some(at)
    }
}

/// The idempotency keys of a group.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    records: HashMap<RequestKey, KeyRecord>,
    by_grant: BTreeMap<GrantRef, RequestKey>,
    /// The keys for which calls wait.
    with_waiters: BTreeSet<RequestKey>,
    /// Keys whose outcome is not in the journal and not being journaled.
    unsaved: BTreeSet<RequestKey>,
    /// Keys with a stored response, in the order of their outcomes.
    answered: VecDeque<(Instant, RequestKey)>,
    /// Keys with an outcome, in the order of their outcomes.
    finished: VecDeque<(Instant, RequestKey)>,
}

/// Keys and answers that were dropped at the end of their retention.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Retired {
    /// Keys whose stored response was dropped.
    pub(crate) answers: Vec<RequestKey>,
    /// Keys that were removed.
    pub(crate) keys: Vec<RequestKey>,
}

impl Keys {
    pub(crate) fn get(&self, key: &RequestKey) -> Option<&KeyRecord> {
        self.records.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &RequestKey) -> Option<&mut KeyRecord> {
        self.records.get_mut(key)
    }

    pub(crate) fn by_grant(&self, grant: GrantRef) -> Option<&RequestKey> {
        self.by_grant.get(&grant)
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn insert(&mut self, key: RequestKey, record: KeyRecord) {
        if let Some((grant, _)) = &record.grant {
            self.by_grant.insert(*grant, key.clone());
        }
        self.records.insert(key, record);
    }

    pub(crate) fn set_grant(&mut self, key: &RequestKey, grant: GrantRef, holder: IncarnationId) {
        if let Some(record) = self.records.get_mut(key) {
            record.grant = Some((grant, holder));
            self.by_grant.insert(grant, key.clone());
        }
    }

    /// Removes the key and returns the calls that wait for it.
    pub(crate) fn remove(&mut self, key: &RequestKey) -> VecDeque<WaitingCall> {
        self.with_waiters.remove(key);
        self.unsaved.remove(key);
        let Some(record) = self.records.remove(key) else {
            return VecDeque::new();
        };
        if let Some((grant, _)) = record.grant {
            self.by_grant.remove(&grant);
        }
        record.waiters
    }

    pub(crate) fn add_waiter(&mut self, key: &RequestKey, waiting: WaitingCall) {
        if let Some(record) = self.records.get_mut(key) {
            record.waiters.push_back(waiting);
            self.with_waiters.insert(key.clone());
        }
    }

    pub(crate) fn take_waiters(&mut self, key: &RequestKey) -> VecDeque<WaitingCall> {
        self.with_waiters.remove(key);
        self.records
            .get_mut(key)
            .map(|record| std::mem::take(&mut record.waiters))
            .unwrap_or_default()
    }

    /// Removes and returns the waiters of all keys that match the predicate.
    pub(crate) fn take_waiters_if(
        &mut self,
        matches_call: impl Fn(&WaitingCall) -> bool,
    ) -> Vec<WaitingCall> {
        let mut taken = Vec::new();
        for key in &self.with_waiters {
            if let Some(record) = self.records.get_mut(key) {
                let (matching, remaining): (Vec<WaitingCall>, _) =
                    record.waiters.drain(..).partition(&matches_call);
                record.waiters = VecDeque::from(remaining);
                taken.extend(matching);
            }
        }
        let records = &self.records;
        self.with_waiters
            .retain(|key| records.get(key).is_some_and(|r| !r.waiters.is_empty()));
        taken
    }

    /// Records an outcome, which starts its retention.
    pub(crate) fn finish(&mut self, key: &RequestKey, phase: KeyPhase, now: Instant) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        self.finished.push_back((now, key.clone()));
        record.finished_at = Some(now);
        if matches!(phase, KeyPhase::Answered(Some(_))) {
            self.answered.push_back((now, key.clone()));
        }
        record.phase = phase;
    }

    pub(crate) fn set_saved(&mut self, key: &RequestKey, saved: SaveState) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.saved = saved;
        record.may_be_journaled |= saved != SaveState::Unsaved;
        match saved {
            SaveState::Unsaved => self.unsaved.insert(key.clone()),
            SaveState::Saved | SaveState::Saving => self.unsaved.remove(key),
        };
    }

    pub(crate) fn unsaved(&self) -> Vec<RequestKey> {
        self.unsaved.iter().cloned().collect()
    }

    pub(crate) fn any_saving(&self) -> bool {
        self.records.values().any(|r| r.saved == SaveState::Saving)
    }

    /// Drops the keys and stored responses whose retention has ended.
    pub(crate) fn retire(&mut self, retention: &RetentionSettings, now: Instant) -> Retired {
        let mut retired = Retired::default();
        while let Some((finished_at, _)) = self.answered.front() {
            let expired = now.saturating_duration_since(*finished_at) >= retention.answer_time;
            if !expired && self.answered.len() <= retention.answers_max {
                break;
            }
            let Some((finished_at, key)) = self.answered.pop_front() else {
                break;
            };
            let record = self.records.get_mut(&key);
            if let Some(record) = record.filter(|record| record.is_finished_at(finished_at)) {
                record.phase = KeyPhase::Answered(None);
                retired.answers.push(key);
            }
        }
        while let Some((finished_at, _)) = self.finished.front() {
            if now.saturating_duration_since(*finished_at) < retention.key_time {
                break;
            }
            let Some((finished_at, key)) = self.finished.pop_front() else {
                break;
            };
            if self
                .records
                .get(&key)
                .is_some_and(|r| r.is_finished_at(finished_at))
            {
                self.remove(&key);
                retired.keys.push(key);
            }
        }
        retired.answers.retain(|key| self.records.contains_key(key));
        retired
    }
}
