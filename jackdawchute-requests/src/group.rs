//! One owned service group: its minions, queue, grants and keys.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Instant,
};

use jackdawchute_admission::{AdmissionPolicy, WorkItem, WorkItemId};
use jackdawchute_types::{
    ClassId, Epoch, GroupId, IncarnationId, MinionId, Refusal, RefusalReason, RequestKey,
};

use crate::{
    holders::Registration, keys::Keys, minion::Minion, Acquire, AppendPurpose, AppendStep, CallId,
    Effect, Grant, GrantId, Settings,
};

/// Names a grant across the epochs of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct GrantRef {
    pub(crate) epoch: Epoch,
    pub(crate) id: GrantId,
}

/// A call that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Waiting {
    pub(crate) call: CallId,
    pub(crate) acquire: Acquire,
    pub(crate) received: Instant,
    pub(crate) ends: Instant,
}

/// Why a call waits outside the admission queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ParkedFor {
    /// The journal takes no intent now.
    Journal,
    /// Its holder is on the way into the journal.
    Registration(IncarnationId),
    /// Its holder has its share of every minion.
    Holder(IncarnationId),
}

/// Where a grant is in its life.
#[derive(Debug)]
pub(crate) enum GrantPhase {
    /// Its intent is on the way to the journal; `None` once the caller was refused.
    Journaling(Option<Box<Waiting>>),
    /// The holder may send it.
    Given,
    /// Its outcome is known or given up, but its request may still run.
    Lingering,
}

/// A grant that counts against its minion's slots.
#[derive(Debug)]
pub(crate) struct OpenGrant {
    pub(crate) minion: MinionId,
    pub(crate) holder: IncarnationId,
    /// Present for a journaled request.
    pub(crate) key: Option<RequestKey>,
    /// Absent for an adopted grant and after the release.
    pub(crate) work_item: Option<WorkItem>,
    pub(crate) since: Instant,
    /// When its request has surely ended.
    pub(crate) ends: Instant,
    pub(crate) phase: GrantPhase,
    /// The holder answered once that it does not hold it.
    pub(crate) missing: bool,
}

impl OpenGrant {
    /// Whether its holder should have given it back.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        self.ends <= now && matches!(self.phase, GrantPhase::Given)
    }
}

/// An incarnation that did not tell yet what it holds.
#[derive(Clone, Debug)]
pub(crate) struct Unaccounted {
    /// When everything that it may hold has surely ended.
    pub(crate) until: Instant,
    pub(crate) asked: Instant,
}

/// The state of one owned group.
pub(crate) struct Group {
    pub(crate) id: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) settings: Arc<Settings>,
    pub(crate) admission: Box<dyn AdmissionPolicy>,
    pub(crate) minions: BTreeMap<MinionId, Minion>,
    pub(crate) waiting: HashMap<WorkItemId, Waiting>,
    pub(crate) parked: BTreeMap<ParkedFor, VecDeque<Waiting>>,
    /// The class of the call that was last taken out of each of these queues.
    pub(crate) unparked: BTreeMap<ParkedFor, ClassId>,
    pub(crate) open: BTreeMap<GrantRef, OpenGrant>,
    pub(crate) keys: Keys,
    pub(crate) holders: BTreeMap<IncarnationId, Registration>,
    pub(crate) unaccounted: BTreeMap<IncarnationId, Unaccounted>,
    /// Incarnations to be asked what they hold.
    pub(crate) asks: BTreeSet<IncarnationId>,
    /// When holders of overdue grants were asked last.
    pub(crate) overdue_asked: BTreeMap<IncarnationId, Instant>,
    /// Earlier epochs' grants that were given back before their holder told of them.
    pub(crate) returned_early: BTreeSet<GrantRef>,
    /// Units of tickets that are out of the admission queue.
    pub(crate) used_units: u32,
    /// Intents on their way to the journal.
    pub(crate) intents: usize,
    pub(crate) journal_down: bool,
    pub(crate) journal_probe: Instant,
    pub(crate) may_grant: bool,
    next_id: u64,
    pub(crate) rotation: usize,
}

impl Group {
    pub(crate) fn new(
        id: GroupId,
        epoch: Epoch,
        settings: Arc<Settings>,
        mut admission: Box<dyn AdmissionPolicy>,
        now: Instant,
    ) -> Self {
        admission.set_limits(settings.limits.clone());
        Self {
            id,
            epoch,
            settings,
            admission,
            minions: BTreeMap::new(),
            waiting: HashMap::new(),
            parked: BTreeMap::new(),
            unparked: BTreeMap::new(),
            open: BTreeMap::new(),
            keys: Keys::default(),
            holders: BTreeMap::new(),
            unaccounted: BTreeMap::new(),
            asks: BTreeSet::new(),
            overdue_asked: BTreeMap::new(),
            returned_early: BTreeSet::new(),
            used_units: 0,
            intents: 0,
            journal_down: false,
            journal_probe: now,
            may_grant: true,
            next_id: 0,
            rotation: 0,
        }
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// The slots of each minion that are kept for grants nobody told of yet.
    pub(crate) fn held_back(&self) -> u32 {
        let holders = u32::try_from(self.unaccounted.len()).unwrap_or(u32::MAX);
        holders.saturating_mul(self.settings.grants.hold_back_slots)
    }

    pub(crate) fn free_slots(&self, now: Instant) -> u32 {
        let held_back = self.held_back();
        self.minions
            .values()
            .map(|minion| minion.free(held_back, now))
            .sum()
    }

    pub(crate) fn purpose(&self, step: AppendStep, key: &RequestKey) -> AppendPurpose {
        AppendPurpose {
            group: self.id.clone(),
            epoch: self.epoch,
            key: key.clone(),
            step,
        }
    }

    /// Takes the listed minions; those not listed stay while grants of theirs may run.
    pub(crate) fn set_minions(&mut self, listed: &BTreeMap<MinionId, Minion>) {
        for (id, new) in listed {
            let minion = self
                .minions
                .entry(id.clone())
                .or_insert_with(|| new.clone());
            minion.update(new);
        }
        self.minions.retain(|id, minion| {
            let is_listed = listed.contains_key(id);
            if !is_listed {
                minion.live = false;
                minion.slots = 0;
            }
            is_listed || minion.in_use > 0
        });
    }

    /// Settings are only replaced for decisions to come: what is counted stays counted.
    pub(crate) fn change_settings(&mut self, settings: Arc<Settings>) {
        self.admission.set_limits(settings.limits.clone());
        self.settings = settings;
    }

    pub(crate) fn holder_of(&self, grant: &Grant) -> Option<IncarnationId> {
        let grant = GrantRef {
            epoch: grant.epoch,
            id: grant.id,
        };
        self.open.get(&grant).map(|open| open.holder.clone())
    }

    /// Whether a lost group has nothing left on its way to the journal.
    pub(crate) fn is_drained(&self) -> bool {
        self.intents == 0 && !self.keys.any_on_the_way()
    }

    /// Gives the ticket of a grant back to the admission queue; its slot stays counted.
    pub(crate) fn release_ticket(&mut self, grant: GrantRef, now: Instant) {
        let Some(open) = self.open.get_mut(&grant) else {
            return;
        };
        if let Some(work_item) = open.work_item.take() {
            let service_time = now.saturating_duration_since(open.since);
            self.used_units = self.used_units.saturating_sub(work_item.cost);
            self.admission.release(&work_item, service_time);
        }
    }

    /// Frees the slot of a grant whose request surely does not run.
    pub(crate) fn free_grant(&mut self, grant: GrantRef, now: Instant) {
        self.release_ticket(grant, now);
        let Some(open) = self.open.remove(&grant) else {
            return;
        };
        if let Some(minion) = self.minions.get_mut(&open.minion) {
            minion.release(&open.holder, open.key.is_some());
            if !minion.live && minion.in_use == 0 && minion.slots == 0 {
                self.minions.remove(&open.minion);
            }
        }
    }

    /// Refuses a call that did not run, and lets the next call with its key take its place.
    pub(crate) fn refuse(
        &mut self,
        waiting: Waiting,
        refusal: Refusal,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let key = waiting.acquire.journaled_key().cloned();
        effects.extend(refusal_effects(&waiting, refusal));
        if let Some(key) = key {
            self.forget_key(&key, now, effects);
        }
    }

    /// Forgets a key that has not run; the first call that waited for it starts anew.
    pub(crate) fn forget_key(&mut self, key: &RequestKey, now: Instant, effects: &mut Vec<Effect>) {
        if self.keys.get(key).is_some_and(|record| record.in_journal) {
            self.close_unsent(key, None, effects);
            return;
        }
        let mut waiters = self.keys.remove(key);
        while let Some(first) = waiters.pop_front() {
            if first.ends <= now {
                let refusal = Refusal::not_run(RefusalReason::DeadlineExpired, "waited too long");
                effects.extend(refusal_effects(&first, refusal));
                continue;
            }
            self.reserve_key(key, &first, waiters);
            self.enqueue(first, now, effects);
            return;
        }
    }
}

/// The reply of a refusal and its count.
pub(crate) fn refusal_effects(waiting: &Waiting, refusal: Refusal) -> [Effect; 2] {
    [
        Effect::Refused {
            class: waiting.acquire.class.clone(),
            reason: refusal.reason,
        },
        Effect::Reply {
            call: waiting.call,
            result: Err(refusal),
        },
    ]
}
