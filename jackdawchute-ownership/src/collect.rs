//! Deletes the rows and journals of fenced incarnations that no group inherits from.

use std::time::Instant;

use jackdawchute_ports::RowKey;
use jackdawchute_types::IncarnationId;

use crate::{
    assign::preferred,
    effect::Effect,
    plan::Plan,
    rows::{incarnation_key, INCARNATION_PREFIX},
    state::State,
};

/// The most rows that one commit deletes.
const DELETED_ROWS_MAX: usize = 100;

impl State {
    /// Looks for incarnations that are done with. A fenced one gains no groups any more, so once
    /// a scan of the groups that is younger than its fence shows none, none ever will.
    pub(crate) fn list_garbage(&mut self, effects: &mut Vec<Effect>) {
        let takers = self.takers();
        let me = &self.identity.incarnation;
        let done = self.view.incarnations.iter().filter(|(id, known)| {
            known
                .row
                .as_ref()
                .is_some_and(|row| row.fenced_by.is_some())
                && known.version <= self.view.groups_version
                && !self.view.is_referenced(id)
                && preferred(id, &takers) == Some(me)
        });
        let fresh: Vec<_> = done
            .map(|(id, _)| id.clone())
            .filter(|id| !self.garbage.contains_key(id) && !self.listing.contains(id))
            .collect();
        for incarnation in fresh {
            self.listing.insert(incarnation.clone());
            effects.push(Effect::List(incarnation));
        }
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

    pub(crate) fn plan_garbage(&self, plan: &mut Plan) {
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
