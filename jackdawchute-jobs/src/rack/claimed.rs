//! Racks that come and go, with the intents that their former owner journaled.

use std::{collections::BTreeSet, time::Instant};

use jackdawchute_ownership::EntryKey;
use jackdawchute_placement::FleetWorker;
use jackdawchute_ports::{Member, MemberRole, MemberState, MembershipList};
use jackdawchute_types::{Epoch, GroupId, Resources, WorkerId};

use crate::{
    rack::state::{charge_key, Intent, IntentPhase, Rack, RackGroups, WorkerState},
    record::{parse, IntentRecord},
    Error,
};

impl RackGroups {
    /// Adopts a rack. Each open intent counts as possibly running, at its full size.
    ///
    /// Entries that cannot be read are returned; they block nothing.
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
        let former_until = if fenced {
            now + self.settings.holder_stop_max
        } else {
            now
        };
        let rack = Rack {
            epoch,
            former_until,
        };
        self.owned.insert(group.clone(), rack);
        self.set_members(members, now);
        let mut errors = Vec::new();
        for (key, value) in entries {
            match parse::<IntentRecord>(group, key, value) {
                Ok(record) => self.adopt_intent(group, record),
                Err(error) => errors.push(error),
            }
        }
        errors
    }

    fn adopt_intent(&mut self, group: &GroupId, record: IntentRecord) {
        if !self.workers.contains_key(&record.worker) {
            self.add_missing_worker(group, &record.worker);
        }
        self.fleet
            .charge(&record.worker, &charge_key(&record.id), record.resources);
        let intent = Intent {
            group: group.clone(),
            phase: IntentPhase::Sent,
            until: record.until,
            record,
        };
        self.charge_team(group, &intent.record.team, &intent.record.resources);
        self.note_open(&intent.record.worker, &intent.record.id);
        self.intents.insert(intent.record.id.clone(), intent);
    }

    /// A worker that left the list may still run what is journaled.
    fn add_missing_worker(&mut self, group: &GroupId, worker: &WorkerId) {
        let state = WorkerState {
            group: group.clone(),
            leaving: true,
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

    /// Lets a rack go; its successor counts what is journaled.
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
        self.teams.remove(group);
        self.held.retain(|_, held| held.group != *group);
        let gone: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.group == *group)
            .map(|(id, _)| id.clone())
            .collect();
        for worker in gone {
            self.workers.remove(&worker);
            self.fleet.remove(&worker);
        }
    }

    /// Takes in the membership list. A worker that left it stays while it may run something.
    pub fn set_members(&mut self, members: &MembershipList, now: Instant) {
        let mut listed = BTreeSet::new();
        for member in &members.members {
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
            self.unlist(&worker);
        }
        self.refresh_accepting(now);
    }

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

    fn unlist(&mut self, worker: &WorkerId) {
        if self.on_worker(worker).is_empty() {
            self.workers.remove(worker);
            self.fleet.remove(worker);
        } else if let Some(state) = self.workers.get_mut(worker) {
            state.leaving = true;
        }
    }

    /// Brings the fleet's view of which workers take tasks up to date.
    pub(crate) fn refresh_accepting(&mut self, now: Instant) {
        self.health.update_quarantine(self.workers.keys(), now);
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.refresh_worker(&worker, now);
        }
    }

    /// Brings the fleet's view of whether one worker takes tasks up to date.
    pub(crate) fn refresh_worker(&mut self, id: &WorkerId, now: Instant) {
        let (Some(worker), Some(slot)) = (self.workers.get(id), self.fleet.get(id)) else {
            return;
        };
        let healthy = self.health.accepts(id, slot.charged == Resources::ZERO);
        let accepting = healthy && worker.accepting(&self.settings, now);
        self.fleet.set_accepting(id, accepting);
    }
}

impl WorkerState {
    /// Whether its clock is known well enough for a start.
    fn accepting(&self, settings: &crate::Settings, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= settings.report_age_limit();
        !self.leaving && self.trusted && self.seen.is_some_and(fresh)
    }
}
