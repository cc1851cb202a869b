//! The queue of entries that wait for the next commit.

use std::{collections::VecDeque, time::Instant};

use crate::{
    effect::{AppendId, Effect},
    plan::{CommitPlan, QueuedAppend},
    rows::SegmentEntry,
    state::State,
    Error, JournalEntry, LeaseState,
};

/// The most entries that one commit appends; a single larger append still goes out in one commit.
const COMMIT_ENTRIES_MAX: usize = 2_000;

/// The appends that are in no commit yet, in the order of their arrival.
pub type AppendQueue = VecDeque<QueuedAppend>;

impl State {
    /// Queues entries for the next commit, or answers with an error if they cannot be journaled
    /// now.
    pub fn append(
        &mut self,
        append: AppendId,
        entries: Vec<JournalEntry>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match self.refusal(&entries, now) {
            Some(error) => effects.push(Effect::AnswerAppend(append, Err(error))),
            None => self.queue.push_back(QueuedAppend { append, entries }),
        }
        self.send_next_commit(now, &mut effects);
        effects
    }

    /// Returns why entries cannot be journaled now, if so.
    fn refusal(&self, entries: &[JournalEntry], now: Instant) -> Option<Error> {
        if let Some(successor) = &self.owner_lease.fenced_by {
            return Some(Error::Fenced(successor.to_string()));
        }
        if self.lease_state(now) != LeaseState::Confirmed {
            return Some(unavailable());
        }
        self.not_owner_error(entries)
    }

    /// Returns an error if this incarnation does not serve the group of some entry.
    fn not_owner_error(&self, entries: &[JournalEntry]) -> Option<Error> {
        let is_served = |entry: &&JournalEntry| {
            self.owned_groups
                .get(&entry.group)
                .is_some_and(|owned| owned.is_served())
        };
        let foreign = entries.iter().find(|entry| !is_served(entry))?;
        Some(Error::NotOwner(foreign.group.clone()))
    }

    /// Moves queued entries into a commit; those of a group that was released in the meantime are
    /// refused.
    pub(crate) fn plan_appends(&mut self, plan: &mut CommitPlan, effects: &mut Vec<Effect>) {
        let mut entries_len = 0;
        while let Some(queued) = self.queue.pop_front() {
            if let Some(error) = self.not_owner_error(&queued.entries) {
                effects.push(Effect::AnswerAppend(queued.append, Err(error)));
                continue;
            }
            entries_len += queued.entries.len();
            plan.segment.extend(self.with_epochs(&queued.entries));
            plan.appends.push(queued);
            if entries_len >= COMMIT_ENTRIES_MAX {
                return;
            }
        }
    }

    fn with_epochs(&self, entries: &[JournalEntry]) -> Vec<SegmentEntry> {
        let epoch = |entry: &JournalEntry| {
            self.owned_groups
                .get(&entry.group)
                .map_or(0, |owned| owned.epoch)
        };
        entries
            .iter()
            .map(|entry| SegmentEntry::new(entry.clone(), epoch(entry)))
            .collect()
    }

    /// Refuses the queued appends while this incarnation is not confirmed. A pending commit that
    /// may have taken effect keeps its appends: they are answered once its outcome is known.
    pub(crate) fn refuse_unconfirmed_appends(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.lease_state(now) == LeaseState::Confirmed {
            return;
        }
        let is_known_failed = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.is_known_failed());
        if is_known_failed {
            self.withdraw_pending();
        }
        for queued in self.queue.drain(..) {
            effects.push(Effect::AnswerAppend(queued.append, Err(unavailable())));
        }
    }
}

fn unavailable() -> Error {
    Error::Unavailable("the table service does not answer".into())
}
