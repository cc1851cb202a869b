//! Takes in the answers to a commit, also the lost ones.

use std::time::Instant;

use jackdawchute_ports::{
    Commit, CommitOutcome, Error as TableError, Result as TableResult, RowVersion, WriteId,
};
use jackdawchute_types::IncarnationId;

use crate::{
    effect::Effect,
    plan::{GroupChange, GroupWrite, Plan},
    rows::{incarnation_key, IncarnationRow},
    settle::{fate, Fate},
    state::{Phase, State},
    view::Versioned,
    Error, GroupEvent,
};

/// What a commit waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The table's answer.
    Sent,
    /// The own row, to learn its fate.
    Reading,
    /// The answers of this many peers.
    Asking(usize),
    /// The next tick, to try again.
    Resting,
}

/// The one commit that is on its way.
#[derive(Clone, Debug)]
pub struct Pending {
    /// As it was sent; it is sent again unchanged.
    pub commit: Commit,
    /// The own row that it writes.
    pub row: IncarnationRow,
    /// What it does besides.
    pub plan: Plan,
    /// When it was first sent.
    pub started: Instant,
    /// Whether some attempt may have taken effect.
    pub in_doubt: bool,
    /// What it waits for.
    pub step: Step,
}

impl Pending {
    /// Whether no attempt can have taken effect, and none is under way.
    pub fn surely_failed(&self) -> bool {
        !self.in_doubt && self.step == Step::Resting
    }
}

impl State {
    /// The table answered a commit, or the answer was lost.
    pub fn committed(
        &mut self,
        write_id: &WriteId,
        result: TableResult<CommitOutcome>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !self.is_pending(write_id) {
            return effects;
        }
        match result {
            Ok(outcome) => self.answered(outcome, &mut effects),
            Err(TableError::Unavailable(..)) => self.ask_peers(&mut effects),
            Err(_) => self.doubt(&mut effects),
        }
        self.pump(now, &mut effects);
        effects
    }

    pub(crate) fn is_pending(&self, write_id: &WriteId) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|p| p.commit.write_id == *write_id)
    }

    pub(crate) fn answered(&mut self, outcome: CommitOutcome, effects: &mut Vec<Effect>) {
        match outcome {
            CommitOutcome::Committed { version } => self.landed(version, effects),
            CommitOutcome::Conflict { key, .. }
                if key == incarnation_key(&self.identity.incarnation) =>
            {
                self.read_own(effects);
            }
            CommitOutcome::Conflict { .. } => self.rejected(),
        }
    }

    fn doubt(&mut self, effects: &mut Vec<Effect>) {
        if let Some(pending) = &mut self.pending {
            pending.in_doubt = true;
        }
        self.read_own(effects);
    }

    pub(crate) fn read_own(&mut self, effects: &mut Vec<Effect>) {
        if let Some(pending) = &mut self.pending {
            pending.step = Step::Reading;
            effects.push(Effect::ReadOwn(pending.commit.write_id.clone()));
        }
    }

    /// The own row was read, or could not be.
    pub fn own_row_read(
        &mut self,
        write_id: &WriteId,
        row: TableResult<Option<Versioned<IncarnationRow>>>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !self.is_pending(write_id) {
            return effects;
        }
        match row {
            Ok(row) => self.settle(row.as_ref(), &mut effects),
            Err(_) => self.ask_peers(&mut effects),
        }
        self.pump(now, &mut effects);
        effects
    }

    pub(crate) fn settle(
        &mut self,
        row: Option<&Versioned<IncarnationRow>>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        match fate(&pending.commit.write_id, self.own_version, row) {
            Fate::Landed { version, fenced_by } => {
                self.landed(version, effects);
                if let Some(successor) = fenced_by {
                    self.fence_self(successor, effects);
                }
            }
            Fate::Pending => pending.step = Step::Resting,
            Fate::Never { fenced_by } => self.fence_self(fenced_by, effects),
            Fate::Forgotten => {
                let queued = std::mem::take(&mut pending.plan.appends);
                effects.extend(
                    queued
                        .into_iter()
                        .map(|queued| Effect::Forget(queued.append)),
                );
                self.fence_self("a successor whose row is gone too".into(), effects);
            }
        }
    }

    /// Sends a commit again whose fate is open, or that did not reach the table.
    pub(crate) fn retry(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.as_mut().filter(|p| p.step == Step::Resting) else {
            return;
        };
        pending.step = Step::Sent;
        self.last_commit = Some(now);
        effects.push(Effect::Commit(pending.commit.clone()));
    }

    fn landed(&mut self, version: RowVersion, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if self.own_version == 0 {
            self.joined = version;
        }
        self.own_version = version;
        self.own_row = pending.row;
        let confirmed = self.confirmation.confirmed.max(Some(pending.started));
        self.confirmation.confirmed = confirmed;
        self.know_own_row();
        self.perform(pending.plan, version, effects);
    }

    fn know_own_row(&mut self) {
        let known = Versioned {
            version: self.own_version,
            row: Some(self.own_row.clone()),
        };
        let me = self.identity.incarnation.clone();
        self.view.put_incarnation(me, known);
    }

    fn perform(&mut self, plan: Plan, version: RowVersion, effects: &mut Vec<Effect>) {
        if !plan.segment.is_empty() {
            let owned = &self.owned;
            let settled = |place: &(_, _)| {
                owned
                    .get(&place.0)
                    .is_none_or(|owned| owned.phase == Phase::Settled)
            };
            self.journal
                .landed(self.own_row.head - 1, plan.segment, settled);
        }
        self.journal.deleted(&plan.trimmed);
        self.collected(&plan.deleted);
        for queued in plan.appends {
            effects.push(Effect::Answer(queued.append, Ok(())));
        }
        if let Some(fence) = plan.fence {
            let row = Some(fence.row);
            self.view
                .put_incarnation(fence.incarnation, Versioned { version, row });
        }
        for write in plan.groups {
            self.changed(write, version, effects);
        }
        self.finish_hand_over(effects);
    }

    fn changed(&mut self, write: GroupWrite, version: RowVersion, effects: &mut Vec<Effect>) {
        let before = self.view.group(&write.group).cloned().unwrap_or_default();
        let row = Some(write.row.clone());
        let group = write.group.clone();
        self.view.put_group(group, Versioned { version, row });
        match write.change {
            GroupChange::Claim => self.claimed(write.group, write.row, before.owner, effects),
            GroupChange::Release => self.released(&write.group, effects),
            GroupChange::Settle => self.settled(&write.group),
        }
    }

    /// Another instance changed a group first: nothing of the commit took effect or will, since
    /// the versions of rows only grow. Its entries go out with the next one.
    fn rejected(&mut self) {
        self.withdraw();
        self.must_look = true;
    }

    /// Takes a commit back that surely has no effect.
    pub(crate) fn withdraw(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        for queued in pending.plan.appends.into_iter().rev() {
            self.queue.push_front(queued);
        }
    }

    /// A successor exists: nothing is done any more.
    pub(crate) fn fence_self(&mut self, successor: IncarnationId, effects: &mut Vec<Effect>) {
        self.withdraw();
        for queued in self.queue.drain(..) {
            let error = Error::Fenced(successor.to_string());
            effects.push(Effect::Answer(queued.append, Err(error)));
        }
        for (group, owned) in std::mem::take(&mut self.owned) {
            if owned.serves() {
                effects.push(Effect::Publish(GroupEvent::Lost { group }));
            }
        }
        effects.push(Effect::HandedOver(Err(Error::Fenced(
            successor.to_string(),
        ))));
        self.confirmation.fenced_by = Some(successor);
    }
}
