//! What is known of each idempotency key.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Instant,
};

use jackdawchute_types::{IncarnationId, MinionId, RequestKey};

use crate::{
    group::{GrantRef, Waiting},
    JournaledKey, JournaledState, RetentionSettings, StoredAnswer,
};

/// Where a keyed request is in its life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a slot; nothing is journaled.
    Queued,
    /// Its intent is on the way to the journal.
    Journaling,
    /// Its intent is journaled; it may run.
    Open,
    /// It surely never ran; the journal is being told.
    Closing,
    /// The minion answered.
    Answered(Option<StoredAnswer>),
    /// No answer came and none is expected.
    Unknown,
}

/// Whether the journal has the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Saved {
    Yes,
    OnTheWay,
    No,
}

/// One key.
#[derive(Debug)]
pub(crate) struct KeyRecord {
    /// `None` if the journaled text could not be read.
    pub(crate) digest: Option<u64>,
    pub(crate) phase: Phase,
    pub(crate) saved: Saved,
    /// Counts the changes, so that the answer to an earlier save is told from the last one's.
    pub(crate) revision: u64,
    /// Whether the journal may have an entry.
    pub(crate) in_journal: bool,
    /// When the outcome came.
    pub(crate) done: Option<Instant>,
    /// The grant and its holder, once there is one.
    pub(crate) grant: Option<(GrantRef, IncarnationId)>,
    /// Further calls with the same key, in order of arrival.
    pub(crate) waiters: VecDeque<Waiting>,
}

impl KeyRecord {
    pub(crate) fn new(digest: Option<u64>, phase: Phase) -> Self {
        Self {
            digest,
            phase,
            saved: Saved::Yes,
            revision: 0,
            in_journal: false,
            done: None,
            grant: None,
            waiters: VecDeque::new(),
        }
    }

    /// The outcome as it goes into the journal; `None` if the key is to be forgotten.
    ///
    /// `minion` is where its request may still run.
    pub(crate) fn journaled_outcome(&self, minion: Option<MinionId>) -> Option<JournaledKey> {
        let state = match &self.phase {
            Phase::Answered(answer) => JournaledState::Answered {
                answer: answer.clone(),
            },
            Phase::Unknown => JournaledState::Unknown { minion },
            Phase::Queued | Phase::Journaling | Phase::Open | Phase::Closing => return None,
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

    fn was_done_at(&self, since: Instant) -> bool {
        self.done == Some(since)
    }
}

/// Every key of a group.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    records: HashMap<RequestKey, KeyRecord>,
    by_grant: BTreeMap<GrantRef, RequestKey>,
    /// Keys with waiters.
    waited: BTreeSet<RequestKey>,
    /// Keys whose outcome the journal does not have yet.
    unsaved: BTreeSet<RequestKey>,
    /// Keys that keep an answer, by the time of the outcome.
    answered: VecDeque<(Instant, RequestKey)>,
    /// Keys with an outcome, by its time.
    done: VecDeque<(Instant, RequestKey)>,
}

/// What the retention let go.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Retired {
    /// Keys whose answer was dropped.
    pub(crate) answers: Vec<RequestKey>,
    /// Keys that are forgotten.
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

    /// Forgets the key and gives the calls that wait for it.
    pub(crate) fn remove(&mut self, key: &RequestKey) -> VecDeque<Waiting> {
        self.waited.remove(key);
        self.unsaved.remove(key);
        let Some(record) = self.records.remove(key) else {
            return VecDeque::new();
        };
        if let Some((grant, _)) = record.grant {
            self.by_grant.remove(&grant);
        }
        record.waiters
    }

    pub(crate) fn add_waiter(&mut self, key: &RequestKey, waiting: Waiting) {
        if let Some(record) = self.records.get_mut(key) {
            record.waiters.push_back(waiting);
            self.waited.insert(key.clone());
        }
    }

    pub(crate) fn take_waiters(&mut self, key: &RequestKey) -> VecDeque<Waiting> {
        self.waited.remove(key);
        self.records
            .get_mut(key)
            .map(|record| std::mem::take(&mut record.waiters))
            .unwrap_or_default()
    }

    /// Takes the waiters out for which `gone` holds.
    pub(crate) fn take_waiters_if(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for key in &self.waited {
            if let Some(record) = self.records.get_mut(key) {
                let (leave, stay): (Vec<Waiting>, _) = record.waiters.drain(..).partition(&gone);
                record.waiters = VecDeque::from(stay);
                taken.extend(leave);
            }
        }
        let records = &self.records;
        self.waited
            .retain(|key| records.get(key).is_some_and(|r| !r.waiters.is_empty()));
        taken
    }

    /// Notes an outcome, which starts its retention.
    pub(crate) fn finish(&mut self, key: &RequestKey, phase: Phase, now: Instant) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        self.done.push_back((now, key.clone()));
        record.done = Some(now);
        if matches!(phase, Phase::Answered(Some(_))) {
            self.answered.push_back((now, key.clone()));
        }
        record.phase = phase;
    }

    pub(crate) fn set_saved(&mut self, key: &RequestKey, saved: Saved) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.saved = saved;
        record.in_journal |= saved != Saved::No;
        match saved {
            Saved::No => self.unsaved.insert(key.clone()),
            Saved::Yes | Saved::OnTheWay => self.unsaved.remove(key),
        };
    }

    pub(crate) fn unsaved(&self) -> Vec<RequestKey> {
        self.unsaved.iter().cloned().collect()
    }

    pub(crate) fn any_on_the_way(&self) -> bool {
        self.records.values().any(|r| r.saved == Saved::OnTheWay)
    }

    /// Drops what is beyond the retention.
    pub(crate) fn retire(&mut self, retention: &RetentionSettings, now: Instant) -> Retired {
        let mut retired = Retired::default();
        while let Some((since, _)) = self.answered.front() {
            let old = now.saturating_duration_since(*since) >= retention.answer_time;
            if !old && self.answered.len() <= retention.answers_max {
                break;
            }
            let Some((since, key)) = self.answered.pop_front() else {
                break;
            };
            let record = self.records.get_mut(&key);
            if let Some(record) = record.filter(|record| record.was_done_at(since)) {
                record.phase = Phase::Answered(None);
                retired.answers.push(key);
            }
        }
        while let Some((since, _)) = self.done.front() {
            if now.saturating_duration_since(*since) < retention.key_time {
                break;
            }
            let Some((since, key)) = self.done.pop_front() else {
                break;
            };
            if self.records.get(&key).is_some_and(|r| r.was_done_at(since)) {
                self.remove(&key);
                retired.keys.push(key);
            }
        }
        retired.answers.retain(|key| self.records.contains_key(key));
        retired
    }
}
