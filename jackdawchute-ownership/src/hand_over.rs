//! Gives groups up: all of them at a planned stop, one at a time for balance, and those that are
//! not desired any more.

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

/// The most groups that one commit gives up.
const RELEASED_GROUPS_MAX: usize = 128;

impl State {
    /// Begins to give every group to peers.
    pub fn hand_over(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.is_leaving = true;
        self.release_all(now, &mut effects);
        self.finish_hand_over(&mut effects);
        self.pump(now, &mut effects);
        effects
    }

    fn release_all(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.is_leaving && self.lease_state(now) == LeaseState::Confirmed {
            let groups: Vec<_> = self.owned.keys().cloned().collect();
            for group in groups {
                self.release(&group, effects);
            }
        }
    }

    /// Stops serving a settled group; the release goes out with the next commit. Until the table
    /// has it, no other instance can own the group.
    fn release(&mut self, group: &GroupId, effects: &mut Vec<Effect>) {
        let Some(owned) = self.owned.get_mut(group) else {
            return;
        };
        if owned.phase == ClaimPhase::Complete && !owned.is_releasing {
            owned.is_releasing = true;
            let group = group.clone();
            effects.push(Effect::Publish(GroupEvent::Lost { group }));
        }
    }

    /// Gives one group up if others have less than their share, and all of them when leaving.
    pub(crate) fn balance(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.release_all(now, effects);
        let period = self.timing.rebalance_period;
        let is_due = self
            .last_balance
            .is_none_or(|last| now.saturating_duration_since(last) >= period);
        if !is_due || self.is_leaving || self.lease_state(now) != LeaseState::Confirmed {
            return;
        }
        if self
            .owned
            .values()
            .any(|owned| owned.is_releasing || owned.phase != ClaimPhase::Complete)
        {
            return;
        }
        self.last_balance = Some(now);
        let me = &self.identity.incarnation;
        if let Some(group) = excess(&self.owners(), &self.takers(), me) {
            self.release(&group, effects);
        }
    }

    /// Gives up settled groups that nobody desires and that hold no state.
    pub(crate) fn let_go_undesired(&mut self, effects: &mut Vec<Effect>) {
        let Some(desired) = self.desired.clone() else {
            return;
        };
        let undesired = self.owned.iter().filter(|(group, owned)| {
            let group_epoch = ((*group).clone(), owned.epoch);
            !desired.contains(*group) && self.journal.is_empty(&group_epoch)
        });
        let groups: Vec<_> = undesired.map(|(group, _)| group.clone()).collect();
        for group in groups {
            self.release(&group, effects);
        }
    }

    pub(crate) fn plan_releases(&self, plan: &mut CommitPlan) {
        let me = &self.identity.incarnation;
        let releasing = self.owned.iter().filter(|(_, owned)| owned.is_releasing);
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
                expected: self.own_group_version(group),
                row,
                change: GroupChange::Release,
            });
        }
    }

    /// The table has the release: peers may claim the group, and are told to look.
    pub(crate) fn released(&mut self, group: &GroupId, effects: &mut Vec<Effect>) {
        self.owned.remove(group);
        self.forget_released();
        let me = &self.identity.incarnation;
        let others = self.view.unfenced().filter(|(id, _)| *id != me);
        let peers = others.filter(|(_, row)| !row.leaving);
        for (peer, row) in peers {
            let ask = Effect::CallPeer {
                peer: peer.clone(),
                address: row.peer_address,
                call: Call::RowsChanged,
            };
            if !effects.contains(&ask) {
                effects.push(ask);
            }
        }
    }

    /// Forgets the state of groups that were given up, once their new owners hold it.
    pub(crate) fn forget_released(&mut self) {
        let me = &self.identity.incarnation;
        let is_needed = |group: &GroupId, epoch: u64| {
            let is_owned = self
                .owned
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
        let forgotten: Vec<_> = group_epochs
            .filter(|(group, epoch)| !is_needed(group, *epoch))
            .cloned()
            .collect();
        for group_epoch in forgotten {
            self.journal.forget(&group_epoch);
        }
    }

    pub(crate) fn finish_hand_over(&mut self, effects: &mut Vec<Effect>) {
        if self.is_leaving && self.owned.is_empty() {
            effects.push(Effect::HandedOver(Ok(())));
        }
    }
}
