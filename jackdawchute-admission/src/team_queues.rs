//! The queues of one class: one for each team, served round robin.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Instant,
};

use jackdawchute_types::TeamId;

use crate::{WorkItem, WorkItemId};

/// The order of items in a queue: by arrival, then by id.
type QueueKey = (Instant, WorkItemId);

/// The queued items of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamQueues {
    teams: HashMap<TeamId, TeamQueue>,
    /// Teams with queued items, the next one first; without those that wait for their quota.
    round_robin: VecDeque<TeamId>,
    queued: usize,
}

/// The queued items of one team.
#[derive(Clone, Debug, Default)]
struct TeamQueue {
    items: BTreeMap<QueueKey, WorkItem>,
    waits_for_quota: bool,
}

fn queue_key(item: &WorkItem) -> QueueKey {
    (item.arrived, item.id)
}

impl TeamQueues {
    pub(crate) fn len(&self) -> usize {
        self.queued
    }

    pub(crate) fn team_len(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.items.len())
    }

    pub(crate) fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Returns whether any team with queued items is not waiting for its quota.
    pub(crate) fn has_next_team(&self) -> bool {
        !self.round_robin.is_empty()
    }

    /// Adds an item to the queue of its team.
    pub(crate) fn push(&mut self, item: WorkItem) {
        let team = item.team.clone();
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.items.is_empty() {
            self.round_robin.push_back(team);
        }
        queue.items.insert(queue_key(&item), item);
        self.queued += 1;
    }

    /// Returns the team that goes next and the cost of its first item.
    pub(crate) fn next_team(&self) -> Option<(&TeamId, u32)> {
        let team = self.round_robin.front()?;
        let (_, item) = self.teams.get(team)?.items.first_key_value()?;
        Some((team, item.cost))
    }

    /// Suspends the team that goes next until [`Self::resume_team`].
    pub(crate) fn suspend_next_team(&mut self) {
        let Some(team) = self.round_robin.pop_front() else {
            return;
        };
        if let Some(queue) = self.teams.get_mut(&team) {
            queue.waits_for_quota = true;
        }
    }

    /// Resumes a team that waits for its quota, behind the other teams.
    pub(crate) fn resume_team(&mut self, team: &TeamId) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        if queue.waits_for_quota {
            queue.waits_for_quota = false;
            self.round_robin.push_back(team.clone());
        }
    }

    /// Resumes every team that waits for its quota.
    pub(crate) fn resume_all_teams(&mut self) {
        let teams: Vec<TeamId> = self.teams.keys().cloned().collect();
        for team in teams {
            self.resume_team(&team);
        }
    }

    /// Removes the first item of the team that goes next and moves that team to the end.
    pub(crate) fn pop(&mut self) -> Option<WorkItem> {
        let team = self.round_robin.pop_front()?;
        let queue = self.teams.get_mut(&team)?;
        let (_, item) = queue.items.pop_first()?;
        self.queued -= 1;
        if queue.items.is_empty() {
            self.teams.remove(&team);
        } else {
            self.round_robin.push_back(team);
        }
        Some(item)
    }

    /// Removes one item.
    pub(crate) fn remove(
        &mut self,
        team: &TeamId,
        arrived: Instant,
        id: WorkItemId,
    ) -> Option<WorkItem> {
        let queue = self.teams.get_mut(team)?;
        let item = queue.items.remove(&(arrived, id))?;
        self.queued -= 1;
        if queue.items.is_empty() {
            self.teams.remove(team);
            self.round_robin.retain(|other| other != team);
        }
        Some(item)
    }
}
