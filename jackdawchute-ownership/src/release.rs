//! Releases groups: all of them at a planned stop, one at a time for balance, and those that are no
//! longer desired.

use std::time::Instant;

use jackdawchute_types::GroupId;

use crate::{
    assign::excess,
    effect::Effect,
    messages::Call,
    plan::{CommitPlan, GroupChange, GroupWrite},
    replay::released_row,
    state::{ClaimPhase, State},
    GroupEvent, LeaseState,
};

/// The most groups that one commit releases.
const RELEASED_GROUPS_MAX: usize = 128;

impl State {
    /// Begins to release every group to peers; [`Effect::AnswerHandOvers`] follows once none is
    /// owned.
    pub fn hand_over(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.is_leaving = true;
        self.release_all_if_leaving(now, &mut effects);
        self.finish_hand_over(&mut effects);
        self.send_next_commit(now, &mut effects);
        effects
    }

    /// Releases every group when this incarnation is leaving and confirmed.
    fn release_all_if_leaving(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.is_leaving && self.lease_state(now) == LeaseState::Confirmed {
            let groups: Vec<_> = self.owned_groups.keys().cloned().collect();
            for group in groups {
                self.begin_release(&group, effects);
            }
        }
    }

    /// Stops serving a group whose claim is complete; the release goes out with the next commit.
    /// Until that commit takes effect, no other instance can own the group.
    fn begin_release(&mut self, group: &GroupId, effects: &mut Vec<Effect>) {
        let Some(owned) = self.owned_groups.get_mut(group) else {
            return;
        };
        if owned.phase == ClaimPhase::Complete && !owned.is_releasing {
            owned.is_releasing = true;
            let group = group.clone();
            effects.push(Effect::Publish(GroupEvent::Lost { group }));
        }
    }

    /// Releases one group if this incarnation has more than its share, or all of them when it is
    /// leaving.
    pub(crate) fn release_for_balance(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.release_all_if_leaving(now, effects);
        let period = self.timing.rebalance_period;
        let is_due = self
            .last_balance
            .is_none_or(|last| now.saturating_duration_since(last) >= period);
        if !is_due || self.is_leaving || self.lease_state(now) != LeaseState::Confirmed {
            return;
        }
        if self
            .owned_groups
            .values()
            .any(|owned| owned.is_releasing || owned.phase != ClaimPhase::Complete)
        {
            return;
        }
        self.last_balance = Some(now);
        let me = &self.identity.incarnation;
        if let Some(group) = excess(&self.group_owners(), &self.candidate_owners(), me) {
            self.begin_release(&group, effects);
        }
    }

    /// Releases groups that are no longer desired and have no live entry.
    pub(crate) fn release_undesired(&mut self, effects: &mut Vec<Effect>) {
        let Some(desired) = self.desired_groups.clone() else {
            return;
        };
        let undesired = self.owned_groups.iter().filter(|(group, owned)| {
            let group_epoch = ((*group).clone(), owned.epoch);
            !desired.contains(*group) && self.journal.is_empty(&group_epoch)
        });
        let groups: Vec<_> = undesired.map(|(group, _)| group.clone()).collect();
        for group in groups {
            self.begin_release(&group, effects);
        }
    }

    /// Adds the releases that have begun; a group without live entries does not inherit from this
    /// journal.
    pub(crate) fn plan_releases(&self, plan: &mut CommitPlan) {
        let me = &self.identity.incarnation;
        let releasing = self
            .owned_groups
            .iter()
            .filter(|(_, owned)| owned.is_releasing);
        for (group, owned) in releasing.take(RELEASED_GROUPS_MAX) {
            let Some(old) = self.view.group(group) else {
                continue;
            };
            let mut row = released_row(old);
            if self.journal.is_empty(&(group.clone(), owned.epoch)) {
                row.inherited.retain(|source| source.incarnation != *me);
            }
            plan.groups.push(GroupWrite {
                group: group.clone(),
                expected_version: self.group_row_version(group),
                row,
                change: GroupChange::Release,
            });
        }
    }

    /// Records that the release of a group took effect, and notifies peers, which may claim the
    /// group.
    pub(crate) fn group_released(&mut self, group: &GroupId, effects: &mut Vec<Effect>) {
        self.owned_groups.remove(group);
        self.drop_released_groups();
        let me = &self.identity.incarnation;
        let others = self.view.unfenced().filter(|(id, _)| *id != me);
        let peers = others.filter(|(_, row)| !row.leaving);
        for (peer, row) in peers {
            let notice = Effect::CallPeer {
                peer: peer.clone(),
                address: row.peer_address,
                call: Call::RowsChanged,
            };
            if !effects.contains(&notice) {
                effects.push(notice);
            }
        }
    }

    /// Drops the index of groups that were released, once no group row lists this journal as their
    /// source.
    pub(crate) fn drop_released_groups(&mut self) {
        let me = &self.identity.incarnation;
        let is_needed = |group: &GroupId, epoch: u64| {
            let is_owned = self
                .owned_groups
                .get(group)
                .is_some_and(|owned| owned.epoch == epoch);
            let row = self.view.group(group);
            let is_source = row.is_some_and(|row| {
                row.inherited
                    .iter()
                    .any(|s| s.incarnation == *me && s.epoch == epoch)
            });
            is_owned || is_source
        };
        let group_epochs = self.journal.group_epochs();
        let unneeded: Vec<_> = group_epochs
            .filter(|(group, epoch)| !is_needed(group, *epoch))
            .cloned()
            .collect();
        for group_epoch in unneeded {
            self.journal.remove(&group_epoch);
        }
    }

    /// Answers the handover once no group is owned any more.
    pub(crate) fn finish_hand_over(&mut self, effects: &mut Vec<Effect>) {
        if self.is_leaving && self.owned_groups.is_empty() {
            effects.push(Effect::AnswerHandOvers(Ok(())));
        }
    }
}
