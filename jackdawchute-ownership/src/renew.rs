//! Puts together the next commit: one transaction renews the own row, appends a segment, reports
//! the configuration version and changes what else is due.

use std::time::Instant;

use jackdawchute_ports::WriteId;

use crate::{
    effect::Effect,
    pending_commit::{CommitStep, PendingCommit},
    plan::{CommitPlan, Fence},
    rows::IncarnationRow,
    state::State,
    LeaseState,
};

impl State {
    /// Sends the next commit if none is on its way and there is something to write.
    pub(crate) fn pump(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.pending.is_some() || self.is_fenced() {
            return;
        }
        let mut plan = CommitPlan::default();
        if self.own_version > 0 {
            self.plan_work(&mut plan, now, effects);
        }
        if plan.is_empty() && !self.must_renew(now) {
            return;
        }
        self.send(plan, now, effects);
    }

    fn plan_work(&mut self, plan: &mut CommitPlan, now: Instant, effects: &mut Vec<Effect>) {
        if self.lease_state(now) == LeaseState::Confirmed
            && !self.scan_requested
            && !self.is_scanning
        {
            self.plan_fence(plan, now);
            self.plan_claims(plan);
            self.plan_garbage(plan);
        }
        self.plan_releases(plan);
        let trim = self.journal.trim();
        plan.segment.extend(trim.entries);
        plan.trimmed = trim.segments;
        self.plan_adoption(plan);
        self.plan_appends(plan, effects);
    }

    fn plan_fence(&self, plan: &mut CommitPlan, now: Instant) {
        let me = &self.identity.incarnation;
        let expired = self.failure_detector.expired(
            &self.view,
            me,
            self.joined,
            &self.held_off,
            &self.timing,
            now,
        );
        let target = expired.into_iter().next();
        plan.fence = target.and_then(|(incarnation, expected)| {
            let row = self.view.incarnation(&incarnation)?.clone();
            let row = IncarnationRow {
                fenced_by: Some(me.clone()),
                ..row
            };
            Some(Fence {
                incarnation,
                expected,
                row,
            })
        });
    }

    fn must_renew(&self, now: Instant) -> bool {
        let due = self
            .last_commit
            .is_none_or(|last| now.saturating_duration_since(last) >= self.timing.renewal_period);
        let reports = self.configuration_version > self.own_row.configuration_version;
        let leaves = self.is_leaving && !self.own_row.leaving;
        due || reports || leaves
    }

    fn send(&mut self, plan: CommitPlan, now: Instant, effects: &mut Vec<Effect>) {
        self.next_write += 1;
        let write_id = WriteId::from(format!("{}/{}", self.identity.incarnation, self.next_write));
        let row = self.next_row(&plan, &write_id);
        let commit = plan.commit(&self.identity.incarnation, self.own_version, &row, write_id);
        effects.push(Effect::Commit(commit.clone()));
        self.last_commit = Some(now);
        self.pending = Some(PendingCommit {
            commit,
            row,
            plan,
            started: now,
            outcome_unknown: false,
            step: CommitStep::Sent,
        });
    }

    fn next_row(&self, plan: &CommitPlan, write_id: &str) -> IncarnationRow {
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
