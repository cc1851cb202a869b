//! Queues calls for a slot, and answers those that need none.

use std::{collections::VecDeque, time::Instant};

use jackdawchute_admission::WorkItem;
use jackdawchute_types::{Refusal, RefusalReason, RequestKey};

use crate::{
    group::{refusal_effects, Group, ParkedFor, WaitingCall},
    keys::{KeyPhase, KeyRecord},
    Acquire, CallId, Effect, Reply,
};

/// The most calls that wait for the outcome of one key.
const WAITERS_MAX: usize = 64;
/// How long a call waits if neither the call nor its class sets a deadline.
const DEADLINE_DEFAULT: std::time::Duration = std::time::Duration::from_secs(30);

impl Acquire {
    /// Returns the key if the request must run at most once.
    pub(crate) fn journaled_key(&self) -> Option<&RequestKey> {
        self.key.as_ref().filter(|_| !self.idempotent)
    }
}

impl Group {
    /// Queues a call, or answers it at once if the outcome of its key is known or it is refused.
    pub(crate) fn acquire(
        &mut self,
        call: CallId,
        acquire: Acquire,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let deadline = now + self.wait_max(&acquire);
        let waiting = WaitingCall {
            call,
            acquire,
            received_at: now,
            deadline,
        };
        if let Some(refusal) = self.refuse_on_arrival(&waiting) {
            effects.extend(refusal_effects(&waiting, refusal));
            return;
        }
        match waiting.acquire.journaled_key().cloned() {
            Some(key) if self.keys.get(&key).is_some() => self.wait_for_key(&key, waiting, effects),
            Some(key) => {
                self.reserve_key(&key, &waiting, VecDeque::new());
                self.enqueue(waiting, now, effects);
            }
            None => self.enqueue(waiting, now, effects),
        }
        self.grant_waiting(now, effects);
    }

    fn wait_max(&self, acquire: &Acquire) -> std::time::Duration {
        if !acquire.deadline.is_zero() {
            return acquire.deadline;
        }
        self.settings
            .limits
            .classes
            .get(&acquire.class)
            .map_or(DEADLINE_DEFAULT, |class| class.deadline)
    }

    fn refuse_on_arrival(&self, waiting: &WaitingCall) -> Option<Refusal> {
        let acquire = &waiting.acquire;
        if !acquire.idempotent && acquire.key.is_none() {
            let detail = "a non-idempotent request needs an idempotency key";
            return Some(Refusal::not_run(RefusalReason::Invalid, detail));
        }
        let known = acquire
            .journaled_key()
            .is_some_and(|key| self.keys.get(key).is_some());
        if known {
            return None;
        }
        if !self.minions.values().any(|minion| minion.live) {
            let detail = format!("group {} has no live minion", self.id);
            return Some(Refusal::not_run(RefusalReason::NoMinion, detail));
        }
        let full = self.keys.len() >= self.settings.retention.keys_max;
        if full && acquire.journaled_key().is_some() {
            let detail = "the group keeps as many idempotency keys as it may";
            return Some(Refusal::not_run(RefusalReason::QueueFull, detail));
        }
        None
    }

    /// Records a key whose request `waiting` is to be queued, with the further calls that wait for
    /// its outcome.
    pub(crate) fn reserve_key(
        &mut self,
        key: &RequestKey,
        waiting: &WaitingCall,
        waiters: VecDeque<WaitingCall>,
    ) {
        let record = KeyRecord::new(Some(waiting.acquire.digest), KeyPhase::Queued);
        self.keys.insert(key.clone(), record);
        for waiter in waiters {
            self.keys.add_waiter(key, waiter);
        }
    }

    /// Lets a call wait for the outcome of an earlier one with the same key, or answers it if the
    /// outcome is known.
    fn wait_for_key(&mut self, key: &RequestKey, waiting: WaitingCall, effects: &mut Vec<Effect>) {
        let Some(record) = self.keys.get(key) else {
            return;
        };
        if record.digest.is_some_and(|d| d != waiting.acquire.digest) {
            let detail = format!("key {key} was used with another request");
            let refusal = Refusal::not_run(RefusalReason::KeyMismatch, detail);
            effects.extend(refusal_effects(&waiting, refusal));
            return;
        }
        if let Some(known) = known_outcome(&record.phase) {
            effects.extend(outcome_effects(&waiting, known));
            return;
        }
        if record.waiters.len() >= WAITERS_MAX {
            let detail = format!("too many calls wait for key {key}");
            let refusal = Refusal::unknown(RefusalReason::KeyInProgress, detail);
            effects.extend(refusal_effects(&waiting, refusal));
            return;
        }
        self.keys.add_waiter(key, waiting);
    }

    /// Puts a call into the admission queue, or parks it while the journal is unavailable.
    pub(crate) fn enqueue(
        &mut self,
        waiting: WaitingCall,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if self.journal_down && waiting.acquire.journaled_key().is_some() {
            self.park(ParkedFor::Journal, waiting, now, effects);
            return;
        }
        let id = self.next_id();
        let work_item = WorkItem {
            id,
            class: waiting.acquire.class.clone(),
            team: waiting.acquire.team.clone(),
            arrived: waiting.received_at,
            deadline: Some(waiting.deadline),
            cost: 1,
        };
        match self.admission.offer(work_item, now) {
            Ok(()) => {
                self.queued.insert(id, waiting);
            }
            Err(refusal) => self.refuse(waiting, refusal, now, effects),
        }
    }

    /// Lets a call wait outside the admission queue, where it blocks no other call.
    pub(crate) fn park(
        &mut self,
        reason: ParkedFor,
        waiting: WaitingCall,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let parked: usize = self.parked.values().map(VecDeque::len).sum();
        if parked < self.settings.grants.parked_max {
            self.parked.entry(reason).or_default().push_back(waiting);
            return;
        }
        let refusal = match reason {
            ParkedFor::Journal | ParkedFor::Registration(_) => Refusal::not_run(
                RefusalReason::StoreUnavailable,
                "too many calls wait for the journal",
            ),
            ParkedFor::Holder(_) => Refusal::not_run(
                RefusalReason::QueueFull,
                "too many calls of one entry instance",
            ),
        };
        self.refuse(waiting, refusal, now, effects);
    }
}

/// Returns the answer to a further call with a key whose outcome is known.
pub(crate) fn known_outcome(phase: &KeyPhase) -> Option<std::result::Result<Reply, Refusal>> {
    match phase {
        KeyPhase::Answered(Some(answer)) if answer.body.is_some() => {
            Some(Ok(Reply::Answered(answer.clone())))
        }
        KeyPhase::Answered(_) => Some(Err(Refusal::unknown(
            RefusalReason::AnswerNotRetained,
            "it ran, and its answer is not kept any more",
        ))),
        KeyPhase::OutcomeUnknown => Some(Err(Refusal::unknown(
            RefusalReason::AnswerLost,
            "it may have run, and its answer was lost",
        ))),
        KeyPhase::Queued | KeyPhase::Journaling | KeyPhase::Granted | KeyPhase::RemovingIntent => {
            None
        }
    }
}

pub(crate) fn outcome_effects(
    waiting: &WaitingCall,
    outcome: std::result::Result<Reply, Refusal>,
) -> Vec<Effect> {
    match outcome {
        Err(refusal) => refusal_effects(waiting, refusal).into(),
        Ok(_) => vec![Effect::Reply {
            call: waiting.call,
            result: outcome,
        }],
    }
}
