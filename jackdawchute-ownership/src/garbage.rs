//! Garbage collection: deletes the rows and journals of fenced incarnations that no group inherits
//! from.

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
/// How many times `newcomer_takeover` a fenced row is retained (a minute by default), so that a
/// holder that was cut off can read who fenced it and what it had committed: outages last minutes
/// at most, and a row has some hundred bytes.
const RETENTION_TAKEOVERS: u32 = 6;

impl State {
    /// Lists the journals of fenced incarnations whose rows may be deleted. A fenced incarnation
    /// gains no groups any more: once a scan of the groups after its fence shows that no group
    /// refers to it, none ever will again.
    pub(crate) fn list_garbage(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.update_unreferenced(now);
        let retention = self.retention();
        let candidate_owners = self.candidate_owners();
        let me = &self.identity.incarnation;
        let past_retention = self
            .unreferenced_since
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= retention);
        let unlisted: Vec<_> = past_retention
            .map(|(id, _)| id.clone())
            .filter(|id| preferred(id, &candidate_owners) == Some(me))
            .filter(|id| !self.garbage_rows.contains_key(id) && !self.listing_journals.contains(id))
            .collect();
        for incarnation in unlisted {
            self.listing_journals.insert(incarnation.clone());
            effects.push(Effect::ListJournal(incarnation));
        }
    }

    /// Records since when each fenced incarnation has been seen without groups.
    fn update_unreferenced(&mut self, now: Instant) {
        let fenced = self.view.incarnations.iter().filter(|(id, known)| {
            known
                .row
                .as_ref()
                .is_some_and(|row| row.fenced_by.is_some())
                && known.version <= self.view.groups_version
                && !self.view.is_referenced(id)
        });
        self.unreferenced_since = fenced
            .map(|(id, _)| {
                let since = self.unreferenced_since.get(id).copied().unwrap_or(now);
                (id.clone(), since)
            })
            .collect();
    }

    fn retention(&self) -> Duration {
        self.timing.newcomer_takeover * RETENTION_TAKEOVERS
    }

    /// Handles the list of the rows in a fenced incarnation's journal; `None` if it could not be
    /// read.
    pub fn journal_listed(
        &mut self,
        incarnation: IncarnationId,
        rows: Option<Vec<RowKey>>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.listing_journals.remove(&incarnation);
        if let Some(rows) = rows {
            let incarnation_row = incarnation_key(&incarnation);
            let rows = rows.into_iter().chain([incarnation_row]).collect();
            self.garbage_rows.insert(incarnation, rows);
        }
        self.send_next_commit(now, &mut effects);
        effects
    }

    /// Adds rows to delete, up to the limit of one commit.
    pub(crate) fn plan_deletions(&self, plan: &mut CommitPlan) {
        let rows = self.garbage_rows.values().flatten();
        plan.deleted = rows.take(DELETED_ROWS_MAX).cloned().collect();
    }

    /// Records that rows were deleted.
    pub(crate) fn rows_deleted(&mut self, deleted: &[RowKey]) {
        for rows in self.garbage_rows.values_mut() {
            rows.retain(|row| !deleted.contains(row));
        }
        self.garbage_rows.retain(|_, rows| !rows.is_empty());
        for key in deleted {
            if let Some(id) = key.strip_prefix(INCARNATION_PREFIX) {
                self.view.remove_incarnation(id);
            }
        }
    }
}
