//! Takes calls for a slot.

use std::{collections::VecDeque, time::Instant};

use jackdawchute_admission::WorkItem;
use jackdawchute_types::{Refusal, RefusalReason, RequestKey};

use crate::{
    group::{refusal_effects, Group, ParkedFor, Waiting},
    keys::{KeyRecord, Phase},
    Acquire, CallId, Effect, Reply,
};

/// The most calls that wait for the same key.
const WAITERS_MAX: usize = 64;
/// How long a call waits if neither it nor its class names a deadline.
const DEADLINE_DEFAULT: std::time::Duration = std::time::Duration::from_secs(30);

impl Acquire {
    /// The key, if the request must run at most once.
    pub(crate) fn journaled_key(&self) -> Option<&RequestKey> {
        self.key.as_ref().filter(|_| !self.idempotent)
    }
}

impl Group {
    /// Queues a call, or answers it at once.
    pub(crate) fn acquire(
        &mut self,
        call: CallId,
        acquire: Acquire,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let ends = now + self.wait_max(&acquire);
        let waiting = Waiting {
            call,
            acquire,
            received: now,
            ends,
        };
        if let Some(refusal) = self.refuse_at_once(&waiting) {
            effects.extend(refusal_effects(&waiting, refusal));
            return;
        }
        match waiting.acquire.journaled_key().cloned() {
            Some(key) if self.keys.get(&key).is_some() => self.join_key(&key, waiting, effects),
            Some(key) => {
                self.reserve_key(&key, &waiting, VecDeque::new());
                self.enqueue(waiting, now, effects);
            }
            None => self.enqueue(waiting, now, effects),
        }
        self.pump(now, effects);
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

    fn refuse_at_once(&self, waiting: &Waiting) -> Option<Refusal> {
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

    pub(crate) fn reserve_key(
        &mut self,
        key: &RequestKey,
        waiting: &Waiting,
        waiters: VecDeque<Waiting>,
    ) {
        let record = KeyRecord::new(Some(waiting.acquire.digest), Phase::Queued);
        self.keys.insert(key.clone(), record);
        for waiter in waiters {
            self.keys.add_waiter(key, waiter);
        }
    }

    /// Lets a call wait for the answer to an earlier one with the same key, or gives the answer.
    fn join_key(&mut self, key: &RequestKey, waiting: Waiting, effects: &mut Vec<Effect>) {
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

    /// Puts a call into the admission queue.
    pub(crate) fn enqueue(&mut self, waiting: Waiting, now: Instant, effects: &mut Vec<Effect>) {
        if self.journal_down && waiting.acquire.journaled_key().is_some() {
            self.park(ParkedFor::Journal, waiting, now, effects);
            return;
        }
        let id = self.next_id();
        let work_item = WorkItem {
            id,
            class: waiting.acquire.class.clone(),
            team: waiting.acquire.team.clone(),
            arrived: waiting.received,
            deadline: Some(waiting.ends),
            cost: 1,
        };
        match self.admission.offer(work_item, now) {
            Ok(()) => {
                self.waiting.insert(id, waiting);
            }
            Err(refusal) => self.refuse(waiting, refusal, now, effects),
        }
    }

    /// Lets a call wait outside the admission queue, so that it blocks no other.
    pub(crate) fn park(
        &mut self,
        reason: ParkedFor,
        waiting: Waiting,
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

/// The answer to a further call with a key whose outcome is known.
pub(crate) fn known_outcome(phase: &Phase) -> Option<std::result::Result<Reply, Refusal>> {
    match phase {
        Phase::Answered(Some(answer)) if answer.body.is_some() => {
            Some(Ok(Reply::Answered(answer.clone())))
        }
        Phase::Answered(_) => Some(Err(Refusal::unknown(
            RefusalReason::AnswerNotRetained,
            "it ran, and its answer is not kept any more",
        ))),
        Phase::Unknown => Some(Err(Refusal::unknown(
            RefusalReason::AnswerLost,
            "it may have run, and its answer was lost",
        ))),
        Phase::Queued | Phase::Journaling | Phase::Open | Phase::Closing => None,
    }
}

pub(crate) fn outcome_effects(
    waiting: &Waiting,
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
