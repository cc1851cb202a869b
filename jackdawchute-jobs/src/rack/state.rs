//! What the owner of racks knows.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
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
    rack::quarantine::{Health, HealthBounds},
    record::IntentRecord,
    AttemptEnd, GroupEpoch, RackView, Settings, TaskAttempt, WorkerView,
};

/// How far a start is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentPhase {
    /// The intent waits for the journal; nothing was sent.
    Journaling,
    /// The start was or may have been sent; the task may run.
    Sent,
    /// The worker said that it runs.
    Running,
    /// The worker is told to stop it, or never to start it; `true` if it counts as lost.
    Stopping(bool),
    /// It runs no more and never will; the home owner is to be told.
    Ended(AttemptEnd),
}

/// A start that may be under way.
#[derive(Clone, Debug)]
pub struct Intent {
    /// What is journaled.
    pub record: IntentRecord,
    /// The rack's group.
    pub group: GroupId,
    /// How far it is.
    pub phase: IntentPhase,
    /// The last instant on the worker's clock that its lease may reach.
    pub until: WorkerClock,
}

/// A rack that this instance owns.
#[derive(Debug)]
pub(crate) struct Rack {
    pub epoch: Epoch,
    /// Until then a fenced former owner may still renew leases.
    pub former_until: Instant,
}

/// What was last learnt of a worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerState {
    pub group: GroupId,
    pub leaving: bool,
    /// Whether the last call brought an answer.
    pub trusted: bool,
    pub clock: WorkerClock,
    pub boot: SmolStr,
    /// When its last report arrived.
    pub seen: Option<Instant>,
    /// When the last report was asked for, until it arrives or fails.
    pub asked: Option<Instant>,
    /// When the next report is due.
    pub due: Option<Instant>,
    pub renewed: Option<Instant>,
    /// Attempts on it that are not over.
    pub open: BTreeSet<TaskAttempt>,
    /// Tasks that it runs and nobody here knows.
    pub unknown: BTreeSet<TaskAttempt>,
}

#[derive(Debug)]
pub(crate) struct Held {
    pub attempt: u32,
    pub group: GroupId,
    pub lapses: Instant,
}

/// The state of every rack that this instance owns.
pub struct RackGroups {
    pub(crate) settings: Arc<Settings>,
    pub(crate) lease_state: LeaseState,
    pub(crate) directory: Arc<Directory>,
    pub(crate) owned: BTreeMap<GroupId, Rack>,
    pub(crate) fleet: Fleet,
    pub(crate) workers: BTreeMap<WorkerId, WorkerState>,
    /// What open attempts charge to teams, by rack.
    pub(crate) teams: BTreeMap<GroupId, BTreeMap<TeamId, Resources>>,
    pub(crate) intents: HashMap<TaskAttempt, Intent>,
    pub(crate) held: HashMap<TaskId, Held>,
    pub(crate) closed: HashMap<TaskId, u32>,
    pub(crate) closed_order: VecDeque<(Instant, TaskAttempt)>,
    pub(crate) home_epochs: HashMap<GroupId, Epoch>,
    pub(crate) health: Health,
    /// When the last tick came.
    pub(crate) ticked: Option<Instant>,
    /// When the first tick after a pause came.
    pub(crate) resumed: Option<Instant>,
    /// Attempts whose home owner is to be told, and when last tried.
    pub(crate) unacknowledged: BTreeMap<TaskAttempt, Option<Instant>>,
}

impl RackGroups {
    /// Starts with no rack.
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
            health: Health::new(HealthBounds::from(&*settings)),
            settings,
            lease_state: LeaseState::CutOff,
            directory: Arc::default(),
            owned: BTreeMap::new(),
            fleet: Fleet::default(),
            workers: BTreeMap::new(),
            teams: BTreeMap::new(),
            intents: HashMap::new(),
            held: HashMap::new(),
            closed: HashMap::new(),
            closed_order: VecDeque::new(),
            home_epochs: HashMap::new(),
            ticked: None,
            resumed: None,
            unacknowledged: BTreeMap::new(),
        }
    }

    /// Replaces the bounds.
    pub fn set_settings(&mut self, settings: Arc<Settings>) {
        self.health.set_bounds(HealthBounds::from(&*settings));
        self.settings = settings;
    }

    /// Takes in whether this incarnation may act.
    pub fn set_lease_state(&mut self, lease_state: LeaseState) {
        self.lease_state = lease_state;
    }

    /// Takes in who owns what.
    pub fn set_directory(&mut self, directory: Arc<Directory>) {
        self.directory = directory;
    }

    /// Whether this instance owns the group.
    pub fn owns(&self, group: &GroupId) -> bool {
        self.owned.contains_key(group)
    }

    /// The number of starts that are not surely over.
    pub fn open_intents(&self) -> usize {
        let open = |intent: &&Intent| !matches!(intent.phase, IntentPhase::Ended(_));
        self.intents.values().filter(open).count()
    }

    /// An intent, if it is known.
    pub fn intent(&self, id: &TaskAttempt) -> Option<&Intent> {
        self.intents.get(id)
    }

    /// The workers in quarantine.
    pub fn quarantined(&self) -> Vec<WorkerId> {
        self.health.quarantined()
    }

    /// What is charged to each worker.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The rack's workers as placement sees them.
    pub fn view(&self, group: &GroupId) -> RackView {
        let of_group = |id: &WorkerId| self.workers.get(id).is_some_and(|w| w.group == *group);
        let workers = self.fleet.workers().filter(|slot| of_group(&slot.id));
        RackView {
            group: group.clone(),
            teams: self.teams.get(group).cloned().unwrap_or_default(),
            workers: workers
                .map(|slot| WorkerView {
                    worker: slot.id.clone(),
                    charged: slot.charged,
                    accepting: slot.accepting,
                })
                .collect(),
        }
    }

    /// Checks that a call names the epoch that this instance owns.
    pub(crate) fn check_epoch(&self, rack: &GroupEpoch) -> Result<(), Refusal> {
        match self.owned.get(&rack.group) {
            Some(owned) if owned.epoch == rack.epoch => Ok(()),
            _ => Err(Refusal::not_run(
                RefusalReason::OwnerUnavailable,
                format!("{} has another owner or epoch", rack.group),
            )),
        }
    }

    /// Checks that no later owner of the home group has called before.
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

    /// Whether the attempt is over and was forgotten, or a later one was.
    pub(crate) fn is_closed(&self, id: &TaskAttempt) -> bool {
        self.closed.get(&id.task).is_some_and(|&a| a >= id.attempt)
    }

    /// Remembers that the attempt must never start.
    pub(crate) fn close(&mut self, id: &TaskAttempt, now: Instant) {
        let highest = self.closed.entry(id.task.clone()).or_default();
        *highest = (*highest).max(id.attempt);
        self.closed_order.push_back((now, id.clone()));
    }

    pub(crate) fn forget_closed(&mut self, now: Instant) {
        while let Some((at, id)) = self.closed_order.front() {
            if now.saturating_duration_since(*at) < self.settings.closed_retention {
                return;
            }
            if self.closed.get(&id.task) == Some(&id.attempt) {
                self.closed.remove(&id.task);
            }
            self.closed_order.pop_front();
        }
    }

    /// Ends an intent: gives its capacity back and has its home owner told.
    pub(crate) fn end(&mut self, id: &TaskAttempt, end: AttemptEnd, now: Instant) {
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
        self.release_team(&group, &team, &resources);
        self.fleet.release(&charge_key(id));
        self.unacknowledged.insert(id.clone(), None);
        self.note_over(&worker, id);
        self.note_health(&worker, &job, end, now);
    }

    pub(crate) fn charge_team(&mut self, group: &GroupId, team: &TeamId, amount: &Resources) {
        let teams = self.teams.entry(group.clone()).or_default();
        let charged = teams.entry(team.clone()).or_default();
        *charged = charged.saturating_add(amount);
    }

    pub(crate) fn release_team(&mut self, group: &GroupId, team: &TeamId, amount: &Resources) {
        let Some(teams) = self.teams.get_mut(group) else {
            return;
        };
        if let Some(charged) = teams.get_mut(team) {
            *charged = charged.saturating_sub(amount);
            if *charged == Resources::ZERO {
                teams.remove(team);
            }
        }
    }

    pub(crate) fn note_over(&mut self, worker: &WorkerId, id: &TaskAttempt) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.open.remove(id);
        }
    }

    pub(crate) fn note_open(&mut self, worker: &WorkerId, id: &TaskAttempt) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.open.insert(id.clone());
        }
    }

    fn note_health(&mut self, worker: &WorkerId, job: &JobId, end: AttemptEnd, now: Instant) {
        match end {
            AttemptEnd::Succeeded => self.health.record(worker, job, true, now),
            AttemptEnd::Failed => self.health.record(worker, job, false, now),
            _ => return,
        }
        self.refresh_worker(worker, now);
    }

    pub(crate) fn epoch_of(&self, group: &GroupId) -> Epoch {
        self.owned.get(group).map_or(0, |rack| rack.epoch)
    }

    pub(crate) fn group_of(rack: &RackId) -> GroupId {
        crate::rack_group(rack)
    }
}

/// The fleet's name for the charge of an attempt.
pub(crate) fn charge_key(id: &TaskAttempt) -> TaskId {
    format_smolstr!("{}#{}", id.task, id.attempt)
}
