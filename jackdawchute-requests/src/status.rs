//! What operators see of this slice.

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
    keys::{KeyRecord, Phase, Saved},
    State,
};

/// Every owned service group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestsStatus {
    /// The groups in the order of their ids.
    pub groups: Vec<GroupStatus>,
}

/// One owned service group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// This owner's epoch.
    pub epoch: Epoch,
    /// Whether it may grant now.
    pub granting: bool,
    /// Whether the journal refused the last intent because the store is down.
    pub journal_down: bool,
    /// Queued calls by class.
    pub queued: BTreeMap<ClassId, usize>,
    /// Calls that wait for the journal.
    pub waiting_for_journal: usize,
    /// Calls that wait because their holder has its share.
    pub waiting_for_holder: usize,
    /// Slots in use by minion.
    pub minions: BTreeMap<MinionId, MinionStatus>,
    /// Slots of each minion held back for the incarnations in `unaccounted`.
    pub held_back_slots: u32,
    /// Incarnations that did not tell yet what they hold.
    pub unaccounted: Vec<IncarnationId>,
    /// Idempotency keys known.
    pub keys: usize,
}

/// One minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct MinionStatus {
    /// Its slots.
    pub slots: u32,
    /// Slots in use.
    pub in_use_slots: u32,
    /// Whether it is listed as live.
    pub live: bool,
    /// Whether it gets no or little work because it refused connections.
    pub ejected: bool,
}

/// What is known of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The key.
    pub key: RequestKey,
    /// The group that decides for it.
    pub group: GroupId,
    /// Where its request is in its life.
    pub state: &'static str,
    /// Whether the journal has this state.
    pub journaled: bool,
    /// The incarnation that holds or held the grant.
    pub holder: Option<IncarnationId>,
    /// The minion, while the request may run.
    pub minion: Option<MinionId>,
    /// How many further calls wait for the answer.
    pub waiters: usize,
    /// The time since the grant, while the request may run.
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
            .and_then(|(grant, _)| self.open.get(grant));
        Some(Explanation {
            key: key.clone(),
            group: self.id.clone(),
            state: state_name(record),
            journaled: record.in_journal && record.saved == Saved::Yes,
            holder: record.grant.as_ref().map(|(_, holder)| holder.clone()),
            minion: open.map(|open| open.minion.clone()),
            waiters: record.waiters.len(),
            running: open.map_or(Duration::ZERO, |open| {
                now.saturating_duration_since(open.since)
            }),
        })
    }
}

impl State {
    /// Queues and slots of every owned group.
    pub fn status(&self, now: Instant) -> RequestsStatus {
        RequestsStatus {
            groups: self
                .groups
                .values()
                .map(|group| group.status(now))
                .collect(),
        }
    }

    /// What is known of an idempotency key in an owned group.
    pub fn explain(&self, key: &RequestKey, now: Instant) -> Option<Explanation> {
        self.groups
            .values()
            .find_map(|group| group.explain(key, now))
    }
}

fn state_name(record: &KeyRecord) -> &'static str {
    match &record.phase {
        Phase::Queued => "queued",
        Phase::Journaling => "journaling",
        Phase::Open => "granted",
        Phase::Closing => "not-run",
        Phase::Answered(Some(_)) => "answered",
        Phase::Answered(None) => "answer-not-retained",
        Phase::Unknown => "unknown",
    }
}
