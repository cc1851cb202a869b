//! The pending commit, and how its outcome is found out, also when an answer is lost.

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
    state::{ClaimPhase, State, ViewState},
    view::Versioned,
    Error, GroupEvent,
};

/// What a pending commit waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitStep {
    /// The answer of the table.
    Sent,
    /// This incarnation's row, to find out whether the commit took effect.
    ReadingOwnRow,
    /// The answers of this many peers.
    AskingPeers(usize),
    /// The next tick, which sends the commit again.
    AwaitingRetry,
}

/// The one commit that is in flight or to be sent again.
#[derive(Clone, Debug)]
pub struct PendingCommit {
    /// The transaction; a retry sends it unchanged.
    pub commit: Commit,
    /// The new content of this incarnation's row.
    pub own_row: IncarnationRow,
    /// All that the commit does besides renewing that row.
    pub plan: CommitPlan,
    /// When the commit was first sent; a confirmed lease counts from here.
    pub first_sent: Instant,
    /// Whether some attempt may have taken effect.
    pub outcome_unknown: bool,
    /// What the commit waits for.
    pub step: CommitStep,
}

impl PendingCommit {
    /// Whether the commit is known not to have taken effect: no attempt can have done so, and none
    /// is in flight.
    pub fn is_known_failed(&self) -> bool {
        !self.outcome_unknown && self.step == CommitStep::AwaitingRetry
    }
}

impl State {
    /// Handles the table's answer to a commit, or its loss.
    pub fn commit_finished(
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
            Ok(outcome) => self.commit_answered(outcome, &mut effects),
            Err(TableError::Unavailable(..)) => self.ask_peers_to_forward(&mut effects),
            Err(_) => self.mark_outcome_unknown(&mut effects),
        }
        self.send_next_commit(now, &mut effects);
        effects
    }

    pub(crate) fn is_pending(&self, write_id: &WriteId) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| pending.commit.write_id == *write_id)
    }

    /// Handles the table's answer to the pending commit, which may come through a peer.
    pub(crate) fn commit_answered(&mut self, outcome: CommitOutcome, effects: &mut Vec<Effect>) {
        match outcome {
            CommitOutcome::Committed { version } => self.commit_succeeded(version, effects),
            CommitOutcome::Conflict { key, .. }
                if key == incarnation_key(&self.identity.incarnation) =>
            {
                self.read_own_row(effects);
            }
            CommitOutcome::Conflict { .. } => self.commit_rejected(),
        }
    }

    /// Records that the outcome is unknown, and reads this incarnation's row to find it out.
    fn mark_outcome_unknown(&mut self, effects: &mut Vec<Effect>) {
        if let Some(pending) = &mut self.pending {
            pending.outcome_unknown = true;
        }
        self.read_own_row(effects);
    }

    pub(crate) fn read_own_row(&mut self, effects: &mut Vec<Effect>) {
        if let Some(pending) = &mut self.pending {
            pending.step = CommitStep::ReadingOwnRow;
            effects.push(Effect::ReadOwnRow(pending.commit.write_id.clone()));
        }
    }

    /// Handles the result of the read of this incarnation's row, which shows the outcome of the
    /// commit `write_id`.
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
            Ok(row) => self.resolve_pending(row.as_ref(), &mut effects),
            Err(_) => self.ask_peers_to_forward(&mut effects),
        }
        self.send_next_commit(now, &mut effects);
        effects
    }

    /// Resolves the pending commit from this incarnation's row.
    pub(crate) fn resolve_pending(
        &mut self,
        row: Option<&Versioned<IncarnationRow>>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        match commit_status(&pending.commit.write_id, self.own_row_version, row) {
            CommitStatus::Committed { version, fenced_by } => {
                self.commit_succeeded(version, effects);
                if let Some(successor) = fenced_by {
                    self.mark_fenced(successor, effects);
                }
            }
            CommitStatus::Pending => pending.step = CommitStep::AwaitingRetry,
            CommitStatus::Rejected { fenced_by } => self.mark_fenced(fenced_by, effects),
            CommitStatus::RowDeleted => {
                let queued = std::mem::take(&mut pending.plan.appends);
                effects.extend(
                    queued
                        .into_iter()
                        .map(|queued| Effect::DropAppend(queued.append)),
                );
                self.mark_fenced("a successor whose row is gone too".into(), effects);
            }
        }
    }

    /// Sends the pending commit again if it did not reach the table or has not taken effect yet.
    pub(crate) fn retry_pending(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(pending) = self
            .pending
            .as_mut()
            .filter(|pending| pending.step == CommitStep::AwaitingRetry)
        else {
            return;
        };
        pending.step = CommitStep::Sent;
        self.last_commit = Some(now);
        effects.push(Effect::Commit(pending.commit.clone()));
    }

    /// Handles the success of the pending commit at this version.
    fn commit_succeeded(&mut self, version: RowVersion, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if self.own_row_version == 0 {
            self.joined_version = version;
        }
        self.own_row_version = version;
        self.own_row = pending.own_row;
        let confirmed = self.owner_lease.confirmed.max(Some(pending.first_sent));
        self.owner_lease.confirmed = confirmed;
        self.store_own_row_in_view();
        self.apply_plan(pending.plan, version, effects);
    }

    fn store_own_row_in_view(&mut self) {
        let known = Versioned {
            version: self.own_row_version,
            row: Some(self.own_row.clone()),
        };
        let me = self.identity.incarnation.clone();
        self.view.put_incarnation(me, known);
    }

    /// Applies the changes of a committed plan to the state.
    fn apply_plan(&mut self, plan: CommitPlan, version: RowVersion, effects: &mut Vec<Effect>) {
        if !plan.segment.is_empty() {
            let owned = &self.owned_groups;
            let without_inherited = |group_epoch: &(_, _)| {
                owned
                    .get(&group_epoch.0)
                    .is_none_or(|owned| owned.phase == ClaimPhase::Complete)
            };
            self.journal
                .segment_committed(self.own_row.head - 1, plan.segment, without_inherited);
        }
        self.journal.segments_deleted(&plan.trimmed);
        self.rows_deleted(&plan.deleted);
        for queued in plan.appends {
            effects.push(Effect::AnswerAppend(queued.append, Ok(())));
        }
        if let Some(fence) = plan.fence {
            let row = Some(fence.row);
            self.view
                .put_incarnation(fence.incarnation, Versioned { version, row });
        }
        for write in plan.groups {
            self.apply_group_write(write, version, effects);
        }
        self.finish_hand_over(effects);
    }

    /// Applies the committed write of a group row.
    fn apply_group_write(
        &mut self,
        write: GroupWrite,
        version: RowVersion,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.view.group(&write.group).cloned().unwrap_or_default();
        let row = Some(write.row.clone());
        let group = write.group.clone();
        self.view.put_group(group, Versioned { version, row });
        match write.change {
            GroupChange::Claim => self.group_claimed(write.group, write.row, before.owner, effects),
            GroupChange::Release => self.group_released(&write.group, effects),
            GroupChange::ClearInherited => self.inherited_cleared(&write.group),
        }
    }

    /// Handles the rejection of a commit because another instance changed a row first. Nothing of
    /// the commit took effect, nor ever will, since the versions of rows only grow. Its entries go
    /// out with the next commit.
    fn commit_rejected(&mut self) {
        self.withdraw_pending();
        self.view_state = ViewState::Outdated;
        self.scan_requested = true;
    }

    /// Drops a pending commit that is known to have no effect, and puts its appends back into the
    /// queue.
    pub(crate) fn withdraw_pending(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        for queued in pending.plan.appends.into_iter().rev() {
            self.queue.push_front(queued);
        }
    }

    /// Stops acting after a successor has fenced this incarnation: refuses the queued appends, and
    /// reports all groups as lost.
    pub(crate) fn mark_fenced(&mut self, successor: IncarnationId, effects: &mut Vec<Effect>) {
        self.withdraw_pending();
        for queued in self.queue.drain(..) {
            let error = Error::Fenced(successor.to_string());
            effects.push(Effect::AnswerAppend(queued.append, Err(error)));
        }
        for (group, owned) in std::mem::take(&mut self.owned_groups) {
            if owned.is_served() {
                effects.push(Effect::Publish(GroupEvent::Lost { group }));
            }
        }
        effects.push(Effect::AnswerHandOvers(Err(Error::Fenced(
            successor.to_string(),
        ))));
        self.owner_lease.fenced_by = Some(successor);
    }
}
