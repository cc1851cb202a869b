//! What the owner of home groups knows.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Instant,
};

use jackdawchute_admission::{AdmissionPolicy, Limits, WorkItem, WorkItemId};
use jackdawchute_ownership::{Directory, EntryKey, JournalEntry, LeaseState};
use jackdawchute_placement::{Fleet, PlacementPolicy};
use jackdawchute_ports::MembershipList;
use jackdawchute_types::{ClassId, Epoch, GroupId, JobId, Resources, TeamId, WorkerId};
use rand::{rngs::SmallRng, SeedableRng};

use crate::{
    effect::{Count, Effect},
    home::Job,
    Settings,
};

/// What is queued as one: a task, or all the waiting tasks of a gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Unit {
    pub job: JobId,
    /// `None` for a gang.
    pub index: Option<u32>,
}

/// The order in which admitted units are placed: by priority, then by admission.
pub(crate) type ReadyKey = (u32, u64);

/// The state of every home group that this instance owns.
pub struct HomeGroups {
    pub(crate) settings: Arc<Settings>,
    pub(crate) lease_state: LeaseState,
    pub(crate) directory: Arc<Directory>,
    pub(crate) members: Option<Arc<MembershipList>>,
    pub(crate) owned: BTreeMap<GroupId, Epoch>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) admission: Box<dyn AdmissionPolicy>,
    pub(crate) policy: Box<dyn PlacementPolicy>,
    /// The whole fleet, as rack owners last described it.
    pub(crate) view: Fleet,
    /// What rack owners last said is charged to a worker.
    pub(crate) seen: HashMap<WorkerId, Resources>,
    /// What rack owners last said is charged to teams, by rack.
    pub(crate) team_use: BTreeMap<GroupId, BTreeMap<TeamId, Resources>>,
    /// The bounds that admission keeps now.
    pub(crate) limits: Limits,
    /// When the capacity was shared last.
    pub(crate) shared: Option<Instant>,
    pub(crate) asked_views: BTreeMap<GroupId, Instant>,
    /// The size of the fleet.
    pub(crate) total: Resources,
    pub(crate) queued: HashMap<WorkItemId, Unit>,
    pub(crate) ready: BTreeMap<ReadyKey, (Unit, WorkItem)>,
    pub(crate) delayed: BTreeMap<(Instant, u64), (Unit, Option<WorkItem>)>,
    /// Assigned tasks whose rack owner is to be asked, and when it was asked last.
    pub(crate) to_ask: BTreeMap<(JobId, u32), Option<Instant>>,
    /// Entries that must get into the journal before a rack owner may forget what they say.
    pub(crate) unjournaled: BTreeMap<(GroupId, EntryKey), JournalEntry>,
    pub(crate) journaling: bool,
    pub(crate) finished: VecDeque<(Instant, JobId)>,
    /// Saved retries by class, in hundredths.
    pub(crate) retry_budgets: BTreeMap<ClassId, u32>,
    pub(crate) random: SmallRng,
    /// When tasks were stopped for more urgent ones.
    pub(crate) preempted: VecDeque<Instant>,
    /// The unit that room is made for, and since when.
    pub(crate) preempting: Option<(ReadyKey, Instant)>,
    pub(crate) sequence: u64,
    /// Jobs that the journal does not hold yet.
    pub(crate) unaccepted: BTreeSet<JobId>,
    /// Effects of decisions that return none themselves.
    pub(crate) late_effects: Vec<Effect>,
    /// What is to be counted after the current message.
    pub(crate) counts: Vec<Count>,
}

impl HomeGroups {
    /// Starts with no group; `seed` is for the jitter of retries.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use jackdawchute_admission::Fifo;
    /// use jackdawchute_jobs::{home::HomeGroups, Settings};
    /// use jackdawchute_placement::FirstFit;
    ///
    /// let settings = Arc::new(Settings::default());
    /// let homes = HomeGroups::new(settings, Box::new(FirstFit), Box::new(Fifo::default()), 7);
    /// assert!(homes.job(&"j7".into()).is_none());
    /// ```
    pub fn new(
        settings: Arc<Settings>,
        policy: Box<dyn PlacementPolicy>,
        mut admission: Box<dyn AdmissionPolicy>,
        seed: u64,
    ) -> Self {
        let limits = settings.limits.clone();
        admission.set_limits(limits.clone());
        Self {
            settings,
            lease_state: LeaseState::CutOff,
            directory: Arc::default(),
            members: None,
            owned: BTreeMap::new(),
            jobs: BTreeMap::new(),
            admission,
            policy,
            view: Fleet::default(),
            seen: HashMap::new(),
            team_use: BTreeMap::new(),
            limits,
            shared: None,
            asked_views: BTreeMap::new(),
            total: Resources::ZERO,
            queued: HashMap::new(),
            ready: BTreeMap::new(),
            delayed: BTreeMap::new(),
            to_ask: BTreeMap::new(),
            unjournaled: BTreeMap::new(),
            journaling: false,
            finished: VecDeque::new(),
            retry_budgets: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            preempted: VecDeque::new(),
            preempting: None,
            sequence: 0,
            unaccepted: BTreeSet::new(),
            late_effects: Vec::new(),
            counts: Vec::new(),
        }
    }

    /// Replaces the bounds.
    pub fn set_settings(&mut self, settings: Arc<Settings>) {
        self.settings = settings;
        self.share_quotas();
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

    /// A job, if it is known.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// What is left to do and to count after a decision.
    pub fn take_late_effects(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.late_effects);
        effects.extend(self.counts.drain(..).map(Effect::Count));
        effects
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Notes an entry for the next append; a later one of the same key replaces it.
    pub(crate) fn journal_later(&mut self, entry: JournalEntry) {
        let key = (entry.group.clone(), entry.key.clone());
        self.unjournaled.insert(key, entry);
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        self.lease_state == LeaseState::Confirmed
    }
}
