//! The state of an owned service group: its minions, queue, grants and keys.

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

/// Identifies a grant across the epochs of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct GrantRef {
    pub(crate) epoch: Epoch,
    pub(crate) id: GrantId,
}

/// A call that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct WaitingCall {
    pub(crate) call: CallId,
    pub(crate) acquire: Acquire,
    pub(crate) received_at: Instant,
    /// When the call is refused if it has not been answered.
    pub(crate) deadline: Instant,
}

/// Why a call waits outside the admission queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ParkedFor {
    /// The journal is unavailable, or as many intents as allowed are being journaled.
    Journal,
    /// The registration of its holder is not journaled yet.
    Registration(IncarnationId),
    /// Its holder uses its whole share of every minion that has free slots.
    Holder(IncarnationId),
}

/// The phase of a grant that counts against its minion's slots.
#[derive(Debug)]
pub(crate) enum GrantPhase {
    /// Its intent is being journaled; holds the call, or `None` once the call was refused.
    Journaling(Option<Box<WaitingCall>>),
    /// The holder may send the request.
    Granted,
    /// The response was lost or the grant was abandoned, but the request may still run.
    AwaitingEnd,
}

/// A grant that counts against its minion's slots.
#[derive(Debug)]
pub(crate) struct OpenGrant {
    pub(crate) minion: MinionId,
    pub(crate) holder: IncarnationId,
    /// The idempotency key of a journaled request; `None` for an idempotent one.
    pub(crate) key: Option<RequestKey>,
    /// The work item of the admission policy; `None` for a recovered grant and once released.
    pub(crate) work_item: Option<WorkItem>,
    /// When the grant was sent, or its intent was issued if it was not sent yet; equal to `ends_by`
    /// for a recovered grant, whose start is unknown.
    pub(crate) granted_at: Instant,
    /// When the request is known to have ended, however it was delayed.
    pub(crate) ends_by: Instant,
    pub(crate) phase: GrantPhase,
    /// Whether the holder has reported once, after `ends_by`, that it does not hold the grant.
    pub(crate) reported_missing: bool,
}

impl OpenGrant {
    /// Returns whether the holder should have released the grant by `now`.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        self.ends_by <= now && matches!(self.phase, GrantPhase::Granted)
    }
}

/// A holder registered by an earlier owner that has not reported its grants yet.
#[derive(Clone, Debug)]
pub(crate) struct UnaccountedHolder {
    /// When all requests that it may have sent are known to have ended.
    pub(crate) ends_by: Instant,
    /// When the last holdings query was issued.
    pub(crate) queried_at: Instant,
}

/// The state of one owned group.
pub(crate) struct Group {
    pub(crate) id: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) settings: Arc<Settings>,
    /// Until when grants by replaced settings may run; `None` if settings were not replaced.
    pub(crate) replaced_grants_until: Option<Instant>,
    pub(crate) admission: Box<dyn AdmissionPolicy>,
    pub(crate) minions: BTreeMap<MinionId, Minion>,
    /// Calls in the admission queue.
    pub(crate) queued: HashMap<WorkItemId, WaitingCall>,
    /// Calls that wait outside the admission queue.
    pub(crate) parked: BTreeMap<ParkedFor, VecDeque<WaitingCall>>,
    /// The class of the call that was last removed from each queue of `parked`.
    pub(crate) last_unparked_class: BTreeMap<ParkedFor, ClassId>,
    /// The grants that count against the slots of the minions.
    pub(crate) open_grants: BTreeMap<GrantRef, OpenGrant>,
    pub(crate) keys: Keys,
    /// The incarnations that may hold grants, as registered in the journal.
    pub(crate) holders: BTreeMap<IncarnationId, Registration>,
    /// Registered holders for which slots are held back until they report their grants.
    pub(crate) unaccounted: BTreeMap<IncarnationId, UnaccountedHolder>,
    /// Incarnations to be asked which grants they hold.
    pub(crate) holdings_queries: BTreeSet<IncarnationId>,
    /// When the holders of overdue grants were last asked.
    pub(crate) overdue_queried_at: BTreeMap<IncarnationId, Instant>,
    /// Grants of earlier epochs that were released before their holder reported them.
    pub(crate) released_early: BTreeSet<GrantRef>,
    /// The cost of the work items that left the admission queue and were not released yet.
    pub(crate) used_units: u32,
    /// The number of intents that are being journaled.
    pub(crate) pending_intents: usize,
    /// Whether the store is known to be unavailable, from a failed append or the owner lease.
    pub(crate) journal_down: bool,
    /// When unsaved outcomes are next retried and `journal_down` is cleared.
    pub(crate) next_journal_probe: Instant,
    /// Whether this incarnation may act as the owner now; updated before each decision.
    pub(crate) may_grant: bool,
    /// The last id that was used for a grant or a work item.
    next_id: u64,
    /// The number of grants so far, which rotates the choice among equal minions.
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
            replaced_grants_until: None,
            admission,
            minions: BTreeMap::new(),
            queued: HashMap::new(),
            parked: BTreeMap::new(),
            last_unparked_class: BTreeMap::new(),
            open_grants: BTreeMap::new(),
            keys: Keys::default(),
            holders: BTreeMap::new(),
            unaccounted: BTreeMap::new(),
            holdings_queries: BTreeSet::new(),
            overdue_queried_at: BTreeMap::new(),
            released_early: BTreeSet::new(),
            used_units: 0,
            pending_intents: 0,
            journal_down: false,
            next_journal_probe: now,
            may_grant: true,
            next_id: 0,
            rotation: 0,
        }
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Returns when the grants that an earlier owner gave until `now` are known to have ended.
    pub(crate) fn earlier_grants_end_by(&self, now: Instant) -> Instant {
        let usual = now + self.settings.grants.ended_after();
        usual.max(self.replaced_grants_until.unwrap_or(usual))
    }

    /// Returns how many slots of each minion are held back for grants that were not reported yet.
    pub(crate) fn held_back(&self) -> u32 {
        let holders = u32::try_from(self.unaccounted.len()).unwrap_or(u32::MAX);
        holders.saturating_mul(self.settings.grants.hold_back_slots)
    }

    pub(crate) fn free_slots(&self, now: Instant) -> u32 {
        let held_back = self.held_back();
        self.minions
            .values()
            .map(|minion| minion.free_slots(held_back, now))
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

    /// Updates the minions from the membership list; an unlisted one stays while requests granted
    /// to it may run.
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

    /// Replaces the settings for later decisions; grants that are counted stay counted.
    pub(crate) fn change_settings(&mut self, settings: Arc<Settings>) {
        self.admission.set_limits(settings.limits.clone());
        self.settings = settings;
    }

    pub(crate) fn holder_of(&self, grant: &Grant) -> Option<IncarnationId> {
        let grant = GrantRef {
            epoch: grant.epoch,
            id: grant.id,
        };
        self.open_grants.get(&grant).map(|open| open.holder.clone())
    }

    /// Returns whether a lost group has no intent or outcome left that is being journaled.
    pub(crate) fn is_drained(&self) -> bool {
        self.pending_intents == 0 && !self.keys.any_saving()
    }

    /// Releases the work item of a grant to the admission policy; the slot stays counted.
    pub(crate) fn release_work_item(&mut self, grant: GrantRef, now: Instant) {
        let Some(open) = self.open_grants.get_mut(&grant) else {
            return;
        };
        if let Some(work_item) = open.work_item.take() {
            let service_time = now.saturating_duration_since(open.granted_at);
            self.used_units = self.used_units.saturating_sub(work_item.cost);
            self.admission.release(&work_item, service_time);
        }
    }

    /// Frees the slot of a grant whose request is known not to run: its grant was never sent, its
    /// holder reported the outcome, or `ends_by` has passed.
    pub(crate) fn free_grant(&mut self, grant: GrantRef, now: Instant) {
        self.release_work_item(grant, now);
        let Some(open) = self.open_grants.remove(&grant) else {
            return;
        };
        if let Some(minion) = self.minions.get_mut(&open.minion) {
            minion.release_slot(&open.holder, open.key.is_some());
            if !minion.live && minion.in_use == 0 && minion.slots == 0 {
                self.minions.remove(&open.minion);
            }
        }
    }

    /// Refuses a call whose request did not run; the next call with its key replaces it.
    pub(crate) fn refuse(
        &mut self,
        waiting: WaitingCall,
        refusal: Refusal,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let key = waiting.acquire.journaled_key().cloned();
        effects.extend(refusal_effects(&waiting, refusal));
        if let Some(key) = key {
            self.remove_key(&key, now, effects);
        }
    }

    /// Removes a key whose request has not run, and queues the first call that waits for the key.
    /// An intent that may be journaled is removed first, and the key only after that.
    pub(crate) fn remove_key(&mut self, key: &RequestKey, now: Instant, effects: &mut Vec<Effect>) {
        if self
            .keys
            .get(key)
            .is_some_and(|record| record.may_be_journaled)
        {
            self.remove_intent(key, None, effects);
            return;
        }
        let mut waiters = self.keys.remove(key);
        while let Some(first) = waiters.pop_front() {
            if first.deadline <= now {
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

/// Returns the effects of a refusal: its count in the metrics, and the reply.
pub(crate) fn refusal_effects(waiting: &WaitingCall, refusal: Refusal) -> [Effect; 2] {
    [
        Effect::CountRefusal {
            class: waiting.acquire.class.clone(),
            reason: refusal.reason,
        },
        Effect::Reply {
            call: waiting.call,
            result: Err(refusal),
        },
    ]
}
