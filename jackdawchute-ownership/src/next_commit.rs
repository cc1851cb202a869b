//! Builds the next commit. One transaction renews this incarnation's row, appends a segment,
//! reports the configuration version and makes all other changes that are due.

use std::time::Instant;

use jackdawchute_ports::WriteId;

use crate::{
    effect::Effect,
    pending_commit::{CommitStep, PendingCommit},
    plan::{CommitPlan, Fence},
    rows::IncarnationRow,
    state::{State, ViewState},
    LeaseState,
};

impl State {
    /// Sends the next commit, unless one is pending or there is nothing to write.
    pub(crate) fn send_next_commit(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.pending.is_some() || self.is_fenced() {
            return;
        }
        let mut plan = CommitPlan::default();
        if self.own_row_version > 0 {
            self.plan_changes(&mut plan, now, effects);
        }
        if plan.is_empty() && !self.is_renewal_due(now) {
            return;
        }
        self.send_commit(plan, now, effects);
    }

    /// Adds to the plan all changes that are due besides the renewal.
    fn plan_changes(&mut self, plan: &mut CommitPlan, now: Instant, effects: &mut Vec<Effect>) {
        if self.lease_state(now) == LeaseState::Confirmed && self.view_state == ViewState::Current {
            // A scan in flight may fail, which restarts the observations that a fence relies on.
            if !self.is_scanning {
                self.plan_fence(plan, now);
            }
            // A claim depends on the row's version: from an old view it has no effect.
            self.plan_claims(plan);
            if !self.is_scanning && !self.scan_requested {
                self.plan_deletions(plan);
            }
        }
        self.plan_releases(plan);
        let trim = self.journal.trim();
        plan.segment.extend(trim.entries);
        plan.trimmed = trim.segments;
        self.plan_inherited_copies(plan);
        self.plan_appends(plan, effects);
    }

    /// Adds a fence of one incarnation whose row has expired, if there is one.
    fn plan_fence(&self, plan: &mut CommitPlan, now: Instant) {
        let me = &self.identity.incarnation;
        let expired = self.failure_detector.expired(
            &self.view,
            me,
            self.joined_version,
            &self.promises_given,
            &self.timing,
            now,
        );
        let target = expired.into_iter().next();
        plan.fence = target.and_then(|(incarnation, expected_version)| {
            let row = self.view.incarnation(&incarnation)?.clone();
            let row = IncarnationRow {
                fenced_by: Some(me.clone()),
                ..row
            };
            Some(Fence {
                incarnation,
                expected_version,
                row,
            })
        });
    }

    /// Whether the row has to be renewed even if there is nothing else to write.
    fn is_renewal_due(&self, now: Instant) -> bool {
        let period_over = self
            .last_commit
            .is_none_or(|last| now.saturating_duration_since(last) >= self.timing.renewal_period);
        let has_version_to_report = self.configuration_version > self.own_row.configuration_version;
        let has_leaving_to_report = self.is_leaving && !self.own_row.leaving;
        period_over || has_version_to_report || has_leaving_to_report
    }

    fn send_commit(&mut self, plan: CommitPlan, now: Instant, effects: &mut Vec<Effect>) {
        self.last_write_number += 1;
        let write_id = WriteId::from(format!(
            "{}/{}",
            self.identity.incarnation, self.last_write_number
        ));
        let own_row = self.next_own_row(&plan, &write_id);
        let commit = plan.commit(
            &self.identity.incarnation,
            self.own_row_version,
            &own_row,
            write_id,
        );
        effects.push(Effect::Commit(commit.clone()));
        self.last_commit = Some(now);
        self.pending = Some(PendingCommit {
            commit,
            own_row,
            plan,
            first_sent: now,
            outcome_unknown: false,
            step: CommitStep::Sent,
        });
    }

    fn next_own_row(&self, plan: &CommitPlan, write_id: &str) -> IncarnationRow {
        IncarnationRow {
            counter: self.own_row.counter + 1,
            head: self.own_row.head + u64::from(!plan.segment.is_empty()),
            write_id: write_id.into(),
            configuration_version: self.configuration_version,
            seen_version: self.view.incarnations_version,
            leaving: self.is_leaving,
            ..self.own_row.clone()
        }
    }
}
