//! The state of the racks that this instance owns.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use jackdawchute_ownership::{Directory, LeaseState};
use jackdawchute_placement::Fleet;
use jackdawchute_ports::WorkerClock;
use jackdawchute_types::{
    Epoch, GroupId, JobId, RackId, Refusal, RefusalReason, Resources, TaskId, TeamId, WorkerId,
};
use smol_str::{format_smolstr, SmolStr};

use crate::{
    pause::Ticks,
    rack::{
        predecessor::FencedOwnerNote,
        quarantine::{Health, QuarantineSettings},
    },
    record::IntentRecord,
    AttemptEnd, GroupEpoch, RackView, Settings, TaskAttempt, WorkerView,
};

/// The progress of an attempt, from its intent to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentPhase {
    /// The intent is being journaled; no start was sent.
    Journaling,
    /// The start was sent, or may have been by a predecessor; the task may run.
    Sent,
    /// The worker confirmed that the task runs.
    Running,
    /// The worker is asked to stop the task, or to refuse its start; `true` if the attempt then
    /// counts as lost, `false` if as stopped.
    Stopping(bool),
    /// The task does not run and never will; the home owner has not acknowledged the end yet.
    Ended(AttemptEnd),
}

/// An attempt on an owned rack, from its intent until the home owner acknowledged its end.
#[derive(Clone, Debug)]
pub struct Intent {
    /// The journaled intent.
    pub record: IntentRecord,
    /// The rack's group.
    pub group: GroupId,
    /// The progress of the attempt.
    pub phase: IntentPhase,
    /// The latest time on the worker's clock until which the task may hold a lease.
    pub lease_until: WorkerClock,
}

/// A rack that this instance owns.
#[derive(Debug)]
pub(crate) struct OwnedRack {
    /// The epoch of this ownership.
    pub epoch: Epoch,
    /// The time until which a fenced predecessor may still renew leases.
    pub predecessor_renews_until: Instant,
    /// Whether the journal tells later owners of that predecessor.
    pub fenced_owner_note: FencedOwnerNote,
    /// Whether an append for lapsed attempts has no result yet.
    pub is_journaling_lapses: bool,
}

/// The state of a worker, from the membership list and its last report.
#[derive(Debug, Default)]
pub(crate) struct WorkerState {
    /// The group of its rack.
    pub group: GroupId,
    /// The address that calls go to; `None` for a worker that was never listed.
    pub address: Option<SocketAddr>,
    /// When the leases of processes at former addresses have lapsed; `None` without any.
    pub former_leases_until: Option<Instant>,
    /// Whether the worker is leaving or no longer listed.
    pub leaving: bool,
    /// Whether the last report call succeeded and no start failed since.
    pub responsive: bool,
    /// The worker's clock in its last report.
    pub clock: WorkerClock,
    /// The boot id in its last report.
    pub boot: SmolStr,
    /// When the last report arrived.
    pub reported_at: Option<Instant>,
    /// When the outstanding report was requested; `None` if no request is outstanding.
    pub report_requested_at: Option<Instant>,
    /// When the next report is due; `None` means at once.
    pub next_report_due: Option<Instant>,
    /// When leases were last renewed.
    pub renewed_at: Option<Instant>,
    /// Attempts on the worker that have not ended.
    pub open_attempts: BTreeSet<TaskAttempt>,
    /// Attempts that the worker reports as running and for which there is no open intent.
    pub unknown_attempts: BTreeSet<TaskAttempt>,
}

/// Capacity held on a rack for one task of a gang.
#[derive(Debug)]
pub(crate) struct Hold {
    /// The number of the attempt that the capacity is held for.
    pub attempt: u32,
    /// The rack's group.
    pub group: GroupId,
    /// When the hold ends by itself.
    pub lapses_at: Instant,
}

/// The state of every rack that this instance owns.
pub struct RackGroups {
    pub(crate) settings: Arc<Settings>,
    pub(crate) lease_state: LeaseState,
    pub(crate) directory: Arc<Directory>,
    pub(crate) owned: BTreeMap<GroupId, OwnedRack>,
    /// The workers of the owned racks with everything charged to them.
    pub(crate) fleet: Fleet,
    pub(crate) workers: BTreeMap<WorkerId, WorkerState>,
    /// The resources that open attempts charge to each team, by rack group.
    pub(crate) team_charges: BTreeMap<GroupId, BTreeMap<TeamId, Resources>>,
    /// The attempts on the owned racks, until the home owner acknowledged their end.
    pub(crate) intents: HashMap<TaskAttempt, Intent>,
    /// The holds for gangs, by task.
    pub(crate) holds: HashMap<TaskId, Hold>,
    /// The highest closed attempt of each task: it and earlier ones must not start any more.
    pub(crate) closed_attempts: HashMap<TaskId, u32>,
    /// Closed attempts in the order of their closing, to forget them after the retention.
    pub(crate) closed_order: VecDeque<(Instant, TaskAttempt)>,
    /// The highest epoch seen in calls from the owner of each home group.
    pub(crate) home_epochs: HashMap<GroupId, Epoch>,
    pub(crate) health: Health,
    pub(crate) ticks: Ticks,
    /// Attempts whose state the home owner has not acknowledged, and when it was last reported.
    pub(crate) unacknowledged: BTreeMap<TaskAttempt, Option<Instant>>,
}

impl RackGroups {
    /// Creates a state that owns no rack.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use jackdawchute_jobs::{rack::RackGroups, Settings};
    ///
    /// let racks = RackGroups::new(Arc::new(Settings::default()));
    /// assert_eq!(racks.open_intents(), 0);
    /// ```
    pub fn new(settings: Arc<Settings>) -> Self {
        Self {
            health: Health::new(QuarantineSettings::from(&*settings)),
            settings,
            lease_state: LeaseState::CutOff,
            directory: Arc::default(),
            owned: BTreeMap::new(),
            fleet: Fleet::default(),
            workers: BTreeMap::new(),
            team_charges: BTreeMap::new(),
            intents: HashMap::new(),
            holds: HashMap::new(),
            closed_attempts: HashMap::new(),
            closed_order: VecDeque::new(),
            home_epochs: HashMap::new(),
            ticks: Ticks::default(),
            unacknowledged: BTreeMap::new(),
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Arc<Settings>) {
        self.health
            .set_settings(QuarantineSettings::from(&*settings));
        self.settings = settings;
    }

    /// Sets the state of this incarnation's owner lease, which decides whether it may act.
    pub fn set_lease_state(&mut self, lease_state: LeaseState) {
        self.lease_state = lease_state;
    }

    /// Replaces the directory of owners. The next tick reports to the successors of home owners.
    pub fn set_directory(&mut self, directory: Arc<Directory>) {
        let former = std::mem::replace(&mut self.directory, directory);
        self.report_to_replaced_homes_again(&former);
    }

    /// Returns whether this instance owns the group.
    pub fn owns(&self, group: &GroupId) -> bool {
        self.owned.contains_key(group)
    }

    /// Returns the number of attempts that are not known to be over.
    pub fn open_intents(&self) -> usize {
        let open = |intent: &&Intent| !matches!(intent.phase, IntentPhase::Ended(_));
        self.intents.values().filter(open).count()
    }

    /// Returns the intent of an attempt, or `None` if there is none or its end was acknowledged.
    pub fn intent(&self, id: &TaskAttempt) -> Option<&Intent> {
        self.intents.get(id)
    }

    /// Returns the workers in quarantine or being probed after it.
    pub fn quarantined(&self) -> Vec<WorkerId> {
        self.health.quarantined()
    }

    /// Returns the workers of the owned racks with their charges.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the charges on a rack, for the placement decisions of home owners.
    pub fn view(&self, group: &GroupId) -> RackView {
        let of_group = |id: &WorkerId| self.workers.get(id).is_some_and(|w| w.group == *group);
        let workers = self.fleet.workers().filter(|worker| of_group(&worker.id));
        RackView {
            group: group.clone(),
            teams: self.team_charges.get(group).cloned().unwrap_or_default(),
            workers: workers
                .map(|worker| WorkerView {
                    worker: worker.id.clone(),
                    charged: worker.charged,
                    accepting: worker.accepting,
                })
                .collect(),
        }
    }

    /// Refuses a call that does not name the epoch at which this instance owns the rack.
    pub(crate) fn check_epoch(&self, rack: &GroupEpoch) -> Result<(), Refusal> {
        match self.owned.get(&rack.group) {
            Some(owned) if owned.epoch == rack.epoch => Ok(()),
            _ => Err(Refusal::not_run(
                RefusalReason::OwnerUnavailable,
                format!("{} has another owner or epoch", rack.group),
            )),
        }
    }

    /// Refuses a call from a home owner if a later owner of the home group has called before.
    pub(crate) fn check_home(&mut self, home: &GroupEpoch) -> Result<(), Refusal> {
        let known = self.home_epochs.entry(home.group.clone()).or_default();
        if home.epoch < *known {
            return Err(Refusal::not_run(
                RefusalReason::OwnerUnavailable,
                format!("{} has a later owner", home.group),
            ));
        }
        *known = home.epoch;
        Ok(())
    }

    /// Returns whether this attempt or a later one of its task was closed.
    pub(crate) fn is_closed(&self, id: &TaskAttempt) -> bool {
        self.closed_attempts
            .get(&id.task)
            .is_some_and(|&a| a >= id.attempt)
    }

    /// Records that this attempt and earlier ones of its task must never start.
    pub(crate) fn close_attempt(&mut self, id: &TaskAttempt, now: Instant) {
        let highest = self.closed_attempts.entry(id.task.clone()).or_default();
        *highest = (*highest).max(id.attempt);
        self.closed_order.push_back((now, id.clone()));
    }

    /// Forgets closed attempts after their retention.
    pub(crate) fn forget_closed(&mut self, now: Instant) {
        while let Some((at, id)) = self.closed_order.front() {
            if now.saturating_duration_since(*at) < self.settings.closed_retention {
                return;
            }
            if self.closed_attempts.get(&id.task) == Some(&id.attempt) {
                self.closed_attempts.remove(&id.task);
            }
            self.closed_order.pop_front();
        }
    }

    /// Ends an attempt: releases its capacity and queues the report to its home owner.
    pub(crate) fn end_attempt(&mut self, id: &TaskAttempt, end: AttemptEnd, now: Instant) {
        let Some(intent) = self.intents.get_mut(id) else {
            return;
        };
        if matches!(intent.phase, IntentPhase::Ended(_)) {
            return;
        }
        intent.phase = IntentPhase::Ended(end);
        let (worker, job) = (intent.record.worker.clone(), intent.record.job.clone());
        let (group, team) = (intent.group.clone(), intent.record.team.clone());
        let resources = intent.record.resources;
        self.release_from_team(&group, &team, &resources);
        self.fleet.release(&charge_key(id));
        self.unacknowledged.insert(id.clone(), None);
        self.remove_open_attempt(&worker, id);
        self.record_health(&worker, &job, end, now);
    }

    /// Adds to the resources charged to a team on a rack.
    pub(crate) fn charge_team(&mut self, group: &GroupId, team: &TeamId, amount: &Resources) {
        let teams = self.team_charges.entry(group.clone()).or_default();
        let charged = teams.entry(team.clone()).or_default();
        *charged = charged.saturating_add(amount);
    }

    /// Subtracts from the resources charged to a team on a rack.
    pub(crate) fn release_from_team(&mut self, group: &GroupId, team: &TeamId, amount: &Resources) {
        let Some(teams) = self.team_charges.get_mut(group) else {
            return;
        };
        if let Some(charged) = teams.get_mut(team) {
            *charged = charged.saturating_sub(amount);
            if *charged == Resources::ZERO {
                teams.remove(team);
            }
        }
    }

    pub(crate) fn remove_open_attempt(&mut self, worker: &WorkerId, id: &TaskAttempt) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.open_attempts.remove(id);
        }
    }

    pub(crate) fn add_open_attempt(&mut self, worker: &WorkerId, id: &TaskAttempt) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.open_attempts.insert(id.clone());
        }
    }

    /// Counts a success or failure for the quarantine of the worker; other ends count for nothing.
    fn record_health(&mut self, worker: &WorkerId, job: &JobId, end: AttemptEnd, now: Instant) {
        match end {
            AttemptEnd::Succeeded => self.health.record(worker, job, true, now),
            AttemptEnd::Failed => self.health.record(worker, job, false, now),
            _ => return,
        }
        self.refresh_worker(worker, now);
    }

    /// Returns the epoch at which a rack is owned, or 0 if it is not.
    pub(crate) fn epoch_of(&self, group: &GroupId) -> Epoch {
        self.owned.get(group).map_or(0, |rack| rack.epoch)
    }

    pub(crate) fn group_of(rack: &RackId) -> GroupId {
        crate::rack_group(rack)
    }
}

/// Returns the key under which the fleet holds the charge of an attempt.
pub(crate) fn charge_key(id: &TaskAttempt) -> TaskId {
    format_smolstr!("{}#{}", id.task, id.attempt)
}
