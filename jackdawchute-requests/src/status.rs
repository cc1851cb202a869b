//! The status of service groups and the explanations of idempotency keys, for operators.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{
    duration_ms, ClassId, Epoch, GroupId, IncarnationId, MinionId, RequestKey,
};
use serde::Serialize;

use crate::{
    group::{Group, ParkedFor},
    keys::{KeyPhase, KeyRecord, SaveState},
    State,
};

/// The status of every owned service group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestsStatus {
    /// The owned groups in the order of their ids.
    pub groups: Vec<GroupStatus>,
}

/// The status of one owned service group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupStatus {
    /// The group's id.
    pub group: GroupId,
    /// The epoch of this owner.
    pub epoch: Epoch,
    /// Whether the owner may grant now and a slot is free.
    pub granting: bool,
    /// Whether the store is known to be unavailable, so that nothing can be journaled.
    pub journal_down: bool,
    /// The number of calls in the admission queue, by class.
    pub queued: BTreeMap<ClassId, usize>,
    /// The number of calls that wait for the journal, also for the registration of their holder.
    pub waiting_for_journal: usize,
    /// The number of calls that wait because their holder uses its share of every minion.
    pub waiting_for_holder: usize,
    /// The slots of each minion.
    pub minions: BTreeMap<MinionId, MinionStatus>,
    /// How many slots of each minion are held back for the incarnations in `unaccounted`.
    pub held_back_slots: u32,
    /// Registered holders that have not reported their grants to this owner yet.
    pub unaccounted: Vec<IncarnationId>,
    /// The number of idempotency keys that the group knows.
    pub keys: usize,
}

/// The status of one minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct MinionStatus {
    /// How many requests the minion accepts at a time, as listed; 0 if it is not listed.
    pub slots: u32,
    /// How many slots are in use by requests that may run.
    pub in_use_slots: u32,
    /// Whether the membership list names the minion as live.
    pub live: bool,
    /// Whether the minion is ejected, or probed by single requests, after it refused connections.
    pub ejected: bool,
}

/// The state of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The idempotency key.
    pub key: RequestKey,
    /// The group that decides for the key.
    pub group: GroupId,
    /// How far the request has come, such as `queued`, `granted` or `answered`.
    pub state: &'static str,
    /// Whether this state is in the journal.
    pub journaled: bool,
    /// The incarnation that holds or held the grant.
    pub holder: Option<IncarnationId>,
    /// The minion that was granted; `None` once the request is known to have ended.
    pub minion: Option<MinionId>,
    /// The number of further calls that wait for the outcome.
    pub waiters: usize,
    /// The time since the grant while the request may run, otherwise zero.
    #[serde(with = "duration_ms", rename = "running_ms")]
    pub running: Duration,
}

impl Group {
    pub(crate) fn status(&self, now: Instant) -> GroupStatus {
        let parked = |for_journal: bool| {
            let queues = self.parked.iter();
            queues
                .filter(|(reason, _)| (!matches!(reason, ParkedFor::Holder(_))) == for_journal)
                .map(|(_, queue)| queue.len())
                .sum()
        };
        let minions = self.minions.iter().map(|(id, minion)| {
            let status = MinionStatus {
                slots: minion.slots,
                in_use_slots: minion.in_use,
                live: minion.live,
                ejected: minion.is_ejected(),
            };
            (id.clone(), status)
        });
        GroupStatus {
            group: self.id.clone(),
            epoch: self.epoch,
            granting: self.may_grant && self.free_slots(now) > 0,
            journal_down: self.journal_down,
            queued: self.admission.queued(),
            waiting_for_journal: parked(true),
            waiting_for_holder: parked(false),
            minions: minions.collect(),
            held_back_slots: self.held_back(),
            unaccounted: self.unaccounted.keys().cloned().collect(),
            keys: self.keys.len(),
        }
    }

    pub(crate) fn explain(&self, key: &RequestKey, now: Instant) -> Option<Explanation> {
        let record = self.keys.get(key)?;
        let open = record
            .grant
            .as_ref()
            .and_then(|(grant, _)| self.open_grants.get(grant));
        Some(Explanation {
            key: key.clone(),
            group: self.id.clone(),
            state: state_name(record),
            journaled: record.may_be_journaled && record.saved == SaveState::Saved,
            holder: record.grant.as_ref().map(|(_, holder)| holder.clone()),
            minion: open.map(|open| open.minion.clone()),
            waiters: record.waiters.len(),
            running: open.map_or(Duration::ZERO, |open| {
                now.saturating_duration_since(open.granted_at)
            }),
        })
    }
}

impl State {
    /// Returns the status of every owned group.
    pub fn status(&self, now: Instant) -> RequestsStatus {
        RequestsStatus {
            groups: self
                .groups
                .values()
                .map(|group| group.status(now))
                .collect(),
        }
    }

    /// Returns the state of an idempotency key; `None` if no owned group knows the key.
    pub fn explain(&self, key: &RequestKey, now: Instant) -> Option<Explanation> {
        self.groups
            .values()
            .find_map(|group| group.explain(key, now))
    }
}

fn state_name(record: &KeyRecord) -> &'static str {
    match &record.phase {
        KeyPhase::Queued => "queued",
        KeyPhase::Journaling => "journaling",
        KeyPhase::Granted => "granted",
        KeyPhase::RemovingIntent => "not-run",
        KeyPhase::Answered(Some(_)) => "answered",
        KeyPhase::Answered(None) => "answer-not-retained",
        KeyPhase::OutcomeUnknown => "unknown",
    }
}
