//! Gain and loss of racks, with recovery of the intents in the journal, and changes of the
//! membership list.

use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

use jackdawchute_ownership::EntryKey;
use jackdawchute_placement::FleetWorker;
use jackdawchute_ports::{Member, MemberRole, MemberState, MembershipList};
use jackdawchute_types::{Epoch, GroupId, Resources, WorkerId};

use crate::{
    rack::{
        predecessor::FencedOwnerNote,
        state::{charge_key, Intent, IntentPhase, OwnedRack, RackGroups, WorkerState},
    },
    record::{parse, IntentRecord, FENCED_OWNER_KEY},
    Error,
};

impl RackGroups {
    /// Starts owning a rack. Each journaled intent counts as possibly running, at its declared
    /// size; `fenced` tells whether the predecessor was fenced rather than released the rack. The
    /// journal may tell that an earlier one was fenced.
    ///
    /// Returns an error for each entry that cannot be parsed; the others are recovered.
    pub fn claimed(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        entries: &[(EntryKey, String)],
        fenced: bool,
        members: &MembershipList,
        now: Instant,
    ) -> Vec<Error> {
        self.lost(group);
        let is_noted = entries.iter().any(|(key, _)| key == FENCED_OWNER_KEY);
        let predecessor_renews_until = if fenced || is_noted {
            now + self.settings.holder_stop_max
        } else {
            now
        };
        let rack = OwnedRack {
            epoch,
            predecessor_renews_until,
            fenced_owner_note: FencedOwnerNote::at_claim(is_noted, fenced),
            is_journaling_lapses: false,
        };
        self.owned.insert(group.clone(), rack);
        self.set_members(members, now);
        let mut errors = Vec::new();
        let intents = entries.iter().filter(|(key, _)| key != FENCED_OWNER_KEY);
        for (key, value) in intents {
            match parse::<IntentRecord>(group, key, value) {
                Ok(record) => self.recover_intent(group, record),
                Err(error) => errors.push(error),
            }
        }
        errors
    }

    /// Restores the open attempt of a journaled intent and its charges.
    fn recover_intent(&mut self, group: &GroupId, record: IntentRecord) {
        if !self.workers.contains_key(&record.worker) {
            self.add_unlisted_worker(group, &record.worker, record.address);
        }
        self.fleet
            .charge(&record.worker, &charge_key(&record.id), record.resources);
        let intent = Intent {
            group: group.clone(),
            phase: IntentPhase::Sent,
            lease_until: record.lease_until,
            record,
        };
        self.charge_team(group, &intent.record.team, &intent.record.resources);
        let (id, worker) = (intent.record.id.clone(), intent.record.worker.clone());
        let address = intent.record.address;
        self.add_open_attempt(&worker, &id);
        self.intents.insert(id, intent);
        self.note_former_address(&worker, address);
    }

    /// Adds a worker that is not in the membership list but may still run journaled attempts.
    fn add_unlisted_worker(
        &mut self,
        group: &GroupId,
        worker: &WorkerId,
        address: Option<SocketAddr>,
    ) {
        let state = WorkerState {
            group: group.clone(),
            leaving: true,
            address,
            ..WorkerState::default()
        };
        self.workers.insert(worker.clone(), state);
        self.fleet.upsert(FleetWorker {
            id: worker.clone(),
            rack: group.clone(),
            failure_domain: Default::default(),
            capacity: Resources::ZERO,
            accepting: false,
            charged: Resources::ZERO,
        });
    }

    /// Returns the workers that were not listed when an intent in the journal named them, with the
    /// addresses that calls to them go to.
    pub(crate) fn unlisted_workers(&self) -> Vec<(WorkerId, SocketAddr)> {
        let leaving = self.workers.iter().filter(|(_, worker)| worker.leaving);
        leaving
            .filter_map(|(id, worker)| Some((id.clone(), worker.address?)))
            .collect()
    }

    /// Stops owning a rack and forgets its state; the successor recovers the journaled intents.
    pub fn lost(&mut self, group: &GroupId) {
        self.owned.remove(group);
        let ids: Vec<_> = self
            .intents
            .iter()
            .filter(|(_, intent)| intent.group == *group)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.intents.remove(&id);
            self.unacknowledged.remove(&id);
        }
        self.team_charges.remove(group);
        self.holds.retain(|_, hold| hold.group != *group);
        let workers: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.group == *group)
            .map(|(id, _)| id.clone())
            .collect();
        for worker in workers {
            self.workers.remove(&worker);
            self.fleet.remove(&worker);
        }
    }

    /// Applies a membership list. A worker that is no longer listed is kept, without new tasks,
    /// while attempts on it are open.
    pub fn set_members(&mut self, members: &MembershipList, now: Instant) {
        let mut listed = BTreeSet::new();
        for member in &members.members {
            self.set_address(member);
            if self.set_member(member, now) {
                listed.insert(member.id.clone());
            }
        }
        let unlisted: Vec<WorkerId> = self
            .workers
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for worker in unlisted {
            self.remove_or_retire(&worker);
        }
        self.refresh_accepting(now);
    }

    /// Adds or updates a worker of an owned rack; returns whether the member is one.
    fn set_member(&mut self, member: &Member, now: Instant) -> bool {
        let MemberRole::Worker { rack, resources } = &member.role else {
            return false;
        };
        let group = Self::group_of(rack);
        if !self.owned.contains_key(&group) {
            return false;
        }
        let state = self.workers.entry(member.id.clone()).or_default();
        state.group = group;
        state.address = Some(member.address);
        state.leaving = member.state == MemberState::Leaving;
        let accepting = state.accepting(&self.settings, now);
        self.fleet.upsert(FleetWorker {
            id: member.id.clone(),
            rack: rack.clone(),
            failure_domain: member.failure_domain.clone(),
            capacity: *resources,
            accepting,
            charged: Resources::ZERO,
        });
        true
    }

    /// Removes an unlisted worker, or gives it no new tasks while attempts on it are open.
    fn remove_or_retire(&mut self, worker: &WorkerId) {
        if self.open_attempts_on(worker).is_empty() {
            self.workers.remove(worker);
            self.fleet.remove(worker);
        } else if let Some(state) = self.workers.get_mut(worker) {
            state.leaving = true;
        }
    }

    /// Updates quarantines, and which workers accept new tasks.
    pub(crate) fn refresh_accepting(&mut self, now: Instant) {
        self.health.update_quarantine(self.workers.keys(), now);
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.refresh_worker(&worker, now);
        }
    }

    /// Updates whether one worker accepts new tasks.
    pub(crate) fn refresh_worker(&mut self, id: &WorkerId, now: Instant) {
        let (Some(worker), Some(fleet_worker)) = (self.workers.get(id), self.fleet.get(id)) else {
            return;
        };
        let healthy = self
            .health
            .accepts(id, fleet_worker.charged == Resources::ZERO);
        let accepting = healthy && worker.accepting(&self.settings, now);
        self.fleet.set_accepting(id, accepting);
    }
}

impl WorkerState {
    /// Returns whether the worker is staying, responsive and known from a recent report, so that a
    /// lease can be granted by its clock.
    fn accepting(&self, settings: &crate::Settings, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= settings.report_age_limit();
        !self.leaving && self.responsive && self.reported_at.is_some_and(fresh)
    }
}
