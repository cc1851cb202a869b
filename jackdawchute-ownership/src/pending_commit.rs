//! Takes in the answers to a commit, also the lost ones.

use std::time::Instant;

use jackdawchute_ports::{
    Commit, CommitOutcome, Error as TableError, Result as TableResult, RowVersion, WriteId,
};
use jackdawchute_types::IncarnationId;

use crate::{
    commit_status::{commit_status, CommitStatus},
    effect::Effect,
    plan::{CommitPlan, GroupChange, GroupWrite},
    rows::{incarnation_key, IncarnationRow},
    state::{ClaimPhase, State},
    view::Versioned,
    Error, GroupEvent,
};

/// What a commit waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitStep {
    /// The table's answer.
    Sent,
    /// The own row, to learn its fate.
    Reading,
    /// The answers of this many peers.
    Asking(usize),
    /// The next tick, to try again.
    AwaitingRetry,
}

/// The one commit that is on its way.
#[derive(Clone, Debug)]
pub struct PendingCommit {
    /// As it was sent; it is sent again unchanged.
    pub commit: Commit,
    /// The own row that it writes.
    pub row: IncarnationRow,
    /// What it does besides.
    pub plan: CommitPlan,
    /// When it was first sent.
    pub started: Instant,
    /// Whether some attempt may have taken effect.
    pub outcome_unknown: bool,
    /// What it waits for.
    pub step: CommitStep,
}

impl PendingCommit {
    /// Whether no attempt can have taken effect, and none is under way.
    pub fn is_known_failed(&self) -> bool {
        !self.outcome_unknown && self.step == CommitStep::AwaitingRetry
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
            pending.outcome_unknown = true;
        }
        self.read_own(effects);
    }

    pub(crate) fn read_own(&mut self, effects: &mut Vec<Effect>) {
        if let Some(pending) = &mut self.pending {
            pending.step = CommitStep::Reading;
            effects.push(Effect::ReadOwnRow(pending.commit.write_id.clone()));
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
        match commit_status(&pending.commit.write_id, self.own_version, row) {
            CommitStatus::Committed { version, fenced_by } => {
                self.landed(version, effects);
                if let Some(successor) = fenced_by {
                    self.fence_self(successor, effects);
                }
            }
            CommitStatus::Pending => pending.step = CommitStep::AwaitingRetry,
            CommitStatus::Rejected { fenced_by } => self.fence_self(fenced_by, effects),
            CommitStatus::RowDeleted => {
                let queued = std::mem::take(&mut pending.plan.appends);
                effects.extend(
                    queued
                        .into_iter()
                        .map(|queued| Effect::DropAppend(queued.append)),
                );
                self.fence_self("a successor whose row is gone too".into(), effects);
            }
        }
    }

    /// Sends a commit again whose fate is open, or that did not reach the table.
    pub(crate) fn retry(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(pending) = self
            .pending
            .as_mut()
            .filter(|p| p.step == CommitStep::AwaitingRetry)
        else {
            return;
        };
        pending.step = CommitStep::Sent;
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
        let confirmed = self.owner_lease.confirmed.max(Some(pending.started));
        self.owner_lease.confirmed = confirmed;
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

    fn perform(&mut self, plan: CommitPlan, version: RowVersion, effects: &mut Vec<Effect>) {
        if !plan.segment.is_empty() {
            let owned = &self.owned;
            let without_inherited = |group_epoch: &(_, _)| {
                owned
                    .get(&group_epoch.0)
                    .is_none_or(|owned| owned.phase == ClaimPhase::Complete)
            };
            self.journal
                .segment_committed(self.own_row.head - 1, plan.segment, without_inherited);
        }
        self.journal.segments_deleted(&plan.trimmed);
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
            GroupChange::ClearInherited => self.inherited_cleared(&write.group),
        }
    }

    /// Another instance changed a group first: nothing of the commit took effect or will, since
    /// the versions of rows only grow. Its entries go out with the next one.
    fn rejected(&mut self) {
        self.withdraw();
        self.scan_requested = true;
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
        self.owner_lease.fenced_by = Some(successor);
    }
}
