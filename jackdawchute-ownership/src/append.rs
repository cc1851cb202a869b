//! Entries that wait for the next commit.

use std::{collections::VecDeque, time::Instant};

use crate::{
    effect::{AppendId, Effect},
    plan::{CommitPlan, QueuedAppend},
    rows::SegmentEntry,
    state::State,
    Error, JournalEntry, LeaseState,
};

/// The most entries that one commit appends, unless a single append has more.
const BATCH_ENTRIES_MAX: usize = 2_000;

/// The appends that no commit carries yet, in the order of their arrival.
pub type Queue = VecDeque<QueuedAppend>;

impl State {
    /// Entries to journal with the next commit.
    pub fn append(
        &mut self,
        append: AppendId,
        entries: Vec<JournalEntry>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match self.refusal(&entries, now) {
            Some(error) => effects.push(Effect::Answer(append, Err(error))),
            None => self.queue.push_back(QueuedAppend { append, entries }),
        }
        self.pump(now, &mut effects);
        effects
    }

    fn refusal(&self, entries: &[JournalEntry], now: Instant) -> Option<Error> {
        if let Some(successor) = &self.owner_lease.fenced_by {
            return Some(Error::Fenced(successor.to_string()));
        }
        if self.lease_state(now) != LeaseState::Confirmed {
            return Some(unavailable());
        }
        self.not_owned(entries)
    }

    fn not_owned(&self, entries: &[JournalEntry]) -> Option<Error> {
        let is_served =
            |entry: &&JournalEntry| self.owned.get(&entry.group).is_some_and(|o| o.serves());
        let foreign = entries.iter().find(|entry| !is_served(entry))?;
        Some(Error::NotOwner(foreign.group.clone()))
    }

    /// Moves waiting entries into a commit; those whose group was given up are refused.
    pub(crate) fn plan_appends(&mut self, plan: &mut CommitPlan, effects: &mut Vec<Effect>) {
        let mut entries_len = 0;
        while let Some(queued) = self.queue.pop_front() {
            if let Some(error) = self.not_owned(&queued.entries) {
                effects.push(Effect::Answer(queued.append, Err(error)));
                continue;
            }
            entries_len += queued.entries.len();
            plan.segment.extend(self.with_epochs(&queued.entries));
            plan.appends.push(queued);
            if entries_len >= BATCH_ENTRIES_MAX {
                return;
            }
        }
    }

    fn with_epochs(&self, entries: &[JournalEntry]) -> Vec<SegmentEntry> {
        let epoch = |entry: &JournalEntry| self.owned.get(&entry.group).map_or(0, |o| o.epoch);
        entries
            .iter()
            .map(|entry| SegmentEntry::new(entry.clone(), epoch(entry)))
            .collect()
    }

    /// Refuses what waits while the table is out of reach. A commit that may have taken effect
    /// keeps its appends: they wait until its fate is known.
    pub(crate) fn refuse_without_table(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.lease_state(now) == LeaseState::Confirmed {
            return;
        }
        let is_known_failed = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.is_known_failed());
        if is_known_failed {
            self.withdraw();
        }
        for queued in self.queue.drain(..) {
            effects.push(Effect::Answer(queued.append, Err(unavailable())));
        }
    }
}

fn unavailable() -> Error {
    Error::Unavailable("the table service does not answer".into())
}
