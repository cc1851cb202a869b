//! Reports of rack owners: acknowledged once the journal holds what they end.

use jackdawchute_types::{GroupId, Refusal, RefusalReason};

use crate::{
    effect::{CallId, Effect, Now},
    home::state::HomeGroups,
    TaskEvent,
};

impl HomeGroups {
    /// Takes in what a rack owner reports.
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
            self.note_state(&event.id, event.state, now.instant);
        }
        let mut effects = self.flush(Some(call));
        effects.extend(self.dispatch(now));
        effects
    }
}
