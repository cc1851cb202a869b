//! The queue of one class: a queue for each team, served in turn.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Instant,
};

use jackdawchute_types::TeamId;

use crate::{WorkItem, WorkItemId};

/// The place of a ticket: by arrival, then by id.
type Place = (Instant, WorkItemId);

/// The queued tickets of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamQueues {
    teams: HashMap<TeamId, TeamQueue>,
    /// Teams with tickets, the next one first; without those that wait for their quota.
    turns: VecDeque<TeamId>,
    queued: usize,
}

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    tickets: BTreeMap<Place, WorkItem>,
    waits_for_quota: bool,
}

fn place(ticket: &WorkItem) -> Place {
    (ticket.arrived, ticket.id)
}

impl TeamQueues {
    pub(crate) fn len(&self) -> usize {
        self.queued
    }

    pub(crate) fn team_len(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.tickets.len())
    }

    pub(crate) fn team_count(&self) -> usize {
        self.teams.len()
    }

    pub(crate) fn has_turn(&self) -> bool {
        !self.turns.is_empty()
    }

    pub(crate) fn push(&mut self, ticket: WorkItem) {
        let team = ticket.team.clone();
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.tickets.is_empty() {
            self.turns.push_back(team);
        }
        queue.tickets.insert(place(&ticket), ticket);
        self.queued += 1;
    }

    /// The team whose turn it is, and the cost of its first ticket.
    pub(crate) fn turn(&self) -> Option<(&TeamId, u32)> {
        let team = self.turns.front()?;
        let (_, ticket) = self.teams.get(team)?.tickets.first_key_value()?;
        Some((team, ticket.cost))
    }

    /// Passes the turn over until [`Self::quota_freed`].
    pub(crate) fn wait_for_quota(&mut self) {
        let Some(team) = self.turns.pop_front() else {
            return;
        };
        if let Some(queue) = self.teams.get_mut(&team) {
            queue.waits_for_quota = true;
        }
    }

    /// Lets a team take turns again.
    pub(crate) fn quota_freed(&mut self, team: &TeamId) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        if queue.waits_for_quota {
            queue.waits_for_quota = false;
            self.turns.push_back(team.clone());
        }
    }

    /// Lets every team take turns again.
    pub(crate) fn quotas_changed(&mut self) {
        let teams: Vec<TeamId> = self.teams.keys().cloned().collect();
        for team in teams {
            self.quota_freed(&team);
        }
    }

    /// Takes the first ticket of the team whose turn it is, which then goes to the end.
    pub(crate) fn pop(&mut self) -> Option<WorkItem> {
        let team = self.turns.pop_front()?;
        let queue = self.teams.get_mut(&team)?;
        let (_, ticket) = queue.tickets.pop_first()?;
        self.queued -= 1;
        if queue.tickets.is_empty() {
            self.teams.remove(&team);
        } else {
            self.turns.push_back(team);
        }
        Some(ticket)
    }

    /// Takes one ticket out.
    pub(crate) fn remove(
        &mut self,
        team: &TeamId,
        arrived: Instant,
        id: WorkItemId,
    ) -> Option<WorkItem> {
        let queue = self.teams.get_mut(team)?;
        let ticket = queue.tickets.remove(&(arrived, id))?;
        self.queued -= 1;
        if queue.tickets.is_empty() {
            self.teams.remove(team);
            self.turns.retain(|other| other != team);
        }
        Some(ticket)
    }
}
