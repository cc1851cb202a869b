//! Reports of rack owners, which are acknowledged once the ends in them are journaled.

use jackdawchute_types::{GroupId, Refusal, RefusalReason};

use crate::{
    effect::{CallId, Effect, Now},
    home::state::HomeGroups,
    TaskEvent,
};

impl HomeGroups {
    /// Applies the attempt states that a rack owner reports.
    pub fn report(
        &mut self,
        call: CallId,
        home: &GroupId,
        events: &[TaskEvent],
        now: Now,
    ) -> Vec<Effect> {
        if !self.owns(home) {
            let detail = format!("{home} has another owner");
            let result = Err(Refusal::not_run(RefusalReason::OwnerUnavailable, detail));
            return vec![Effect::Answer { call, result }];
        }
        for event in events {
            self.apply_attempt_state(&event.id, event.state, now.instant);
        }
        let mut effects = self.journal_pending_entries(Some(call), now.instant);
        effects.extend(self.dispatch(now));
        effects
    }
}
