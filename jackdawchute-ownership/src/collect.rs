//! Deletes the rows and journals of fenced incarnations that no group inherits from.

use std::time::{Duration, Instant};

use jackdawchute_ports::RowKey;
use jackdawchute_types::IncarnationId;

use crate::{
    assign::preferred,
    effect::Effect,
    plan::CommitPlan,
    rows::{incarnation_key, INCARNATION_PREFIX},
    state::State,
};

/// The most rows that one commit deletes.
const DELETED_ROWS_MAX: usize = 100;
/// How many newcomer takeovers long a fenced row is kept (a minute by default), so that a holder
/// that was cut off reads who fenced it and what it had committed: outages last minutes at most,
/// and a row is some hundred bytes.
const RETENTION_TAKEOVERS: u32 = 6;

impl State {
    /// Looks for incarnations that are done with. A fenced one gains no groups any more, so once
    /// a scan of the groups that is younger than its fence shows none, none ever will.
    pub(crate) fn list_garbage(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.note_unreferenced(now);
        let retention = self.retention();
        let takers = self.takers();
        let me = &self.identity.incarnation;
        let kept_long_enough = self
            .unreferenced
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= retention);
        let fresh: Vec<_> = kept_long_enough
            .map(|(id, _)| id.clone())
            .filter(|id| preferred(id, &takers) == Some(me))
            .filter(|id| !self.garbage.contains_key(id) && !self.listing.contains(id))
            .collect();
        for incarnation in fresh {
            self.listing.insert(incarnation.clone());
            effects.push(Effect::ListJournal(incarnation));
        }
    }

    /// Keeps since when each fenced incarnation has been seen without groups.
    fn note_unreferenced(&mut self, now: Instant) {
        let fenced = self.view.incarnations.iter().filter(|(id, known)| {
            known
                .row
                .as_ref()
                .is_some_and(|row| row.fenced_by.is_some())
                && known.version <= self.view.groups_version
                && !self.view.is_referenced(id)
        });
        self.unreferenced = fenced
            .map(|(id, _)| {
                let since = self.unreferenced.get(id).copied().unwrap_or(now);
                (id.clone(), since)
            })
            .collect();
    }

    fn retention(&self) -> Duration {
        self.timing.newcomer_takeover * RETENTION_TAKEOVERS
    }

    /// The rows of a fenced incarnation's journal, or `None` if they could not be read.
    pub fn listed(
        &mut self,
        incarnation: IncarnationId,
        rows: Option<Vec<RowKey>>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.listing.remove(&incarnation);
        if let Some(rows) = rows {
            let own = incarnation_key(&incarnation);
            let rows = rows.into_iter().chain([own]).collect();
            self.garbage.insert(incarnation, rows);
        }
        self.pump(now, &mut effects);
        effects
    }

    pub(crate) fn plan_garbage(&self, plan: &mut CommitPlan) {
        let rows = self.garbage.values().flatten();
        plan.deleted = rows.take(DELETED_ROWS_MAX).cloned().collect();
    }

    pub(crate) fn collected(&mut self, deleted: &[RowKey]) {
        for rows in self.garbage.values_mut() {
            rows.retain(|row| !deleted.contains(row));
        }
        self.garbage.retain(|_, rows| !rows.is_empty());
        for key in deleted {
            if let Some(id) = key.strip_prefix(INCARNATION_PREFIX) {
                self.view.remove_incarnation(id);
            }
        }
    }
}
