//! The state of the home groups that this instance owns.

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
    pause::Ticks,
    Settings,
};

/// What is queued and placed as one: a single task, or all the waiting tasks of a gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Unit {
    pub job: JobId,
    /// The index of the task, or `None` for a gang.
    pub index: Option<u32>,
}

/// The key by which admitted units are placed in order: priority of the class, 0 first, then the id
/// of the work item.
pub(crate) type ReadyKey = (u32, u64);

/// The state of every home group that this instance owns.
pub struct HomeGroups {
    pub(crate) settings: Arc<Settings>,
    pub(crate) lease_state: LeaseState,
    pub(crate) ticks: Ticks,
    pub(crate) directory: Arc<Directory>,
    pub(crate) members: Option<Arc<MembershipList>>,
    /// The epochs of the owned home groups.
    pub(crate) owned: BTreeMap<GroupId, Epoch>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) admission: Box<dyn AdmissionPolicy>,
    pub(crate) policy: Box<dyn PlacementPolicy>,
    /// All workers, with the charges that rack owners last reported and those of this owner's
    /// assignments that no rack owner has answered yet.
    pub(crate) fleet_view: Fleet,
    /// The charge on each worker, as last reported by its rack owner.
    pub(crate) reported_charges: HashMap<WorkerId, Resources>,
    /// The charges of each team, as last reported by rack owners, by rack group.
    pub(crate) reported_team_charges: BTreeMap<GroupId, BTreeMap<TeamId, Resources>>,
    /// The limits that the admission policy applies: those of the settings, with the quotas reduced
    /// by what other home owners use.
    pub(crate) admission_limits: Limits,
    /// When a tick last computed the shares of the fleet's capacity and of the quotas.
    pub(crate) shares_computed_at: Option<Instant>,
    /// When the view of each rack was last requested.
    pub(crate) views_requested_at: BTreeMap<GroupId, Instant>,
    /// The capacity of all listed workers together.
    pub(crate) fleet_capacity: Resources,
    /// Units that wait in the admission policy.
    pub(crate) queued: HashMap<WorkItemId, Unit>,
    /// Admitted units that wait for a worker.
    pub(crate) ready: BTreeMap<ReadyKey, (Unit, WorkItem)>,
    /// Units that wait for their next try, by its time and a sequence number; with a work item if
    /// they are admitted already.
    pub(crate) delayed: BTreeMap<(Instant, u64), (Unit, Option<WorkItem>)>,
    /// Assigned tasks for which a start or stop call to the rack owner is pending, and when the
    /// last such call was made.
    pub(crate) pending_rack_calls: BTreeMap<(JobId, u32), Option<Instant>>,
    /// Entries to journal before the rack owners' reports that they follow from are acknowledged.
    pub(crate) unjournaled: BTreeMap<(GroupId, EntryKey), JournalEntry>,
    /// Whether an append of those entries is under way.
    pub(crate) append_in_flight: bool,
    /// Finished jobs, oldest first, to forget them after the retention.
    pub(crate) finished_jobs: VecDeque<(Instant, JobId)>,
    /// The retry budget of each class, in hundredths of a retry.
    pub(crate) retry_budgets: BTreeMap<ClassId, u32>,
    /// The random source for the jitter of retry delays.
    pub(crate) jitter: SmallRng,
    /// When tasks were stopped for more urgent ones within the budget period.
    pub(crate) preempted_at: VecDeque<Instant>,
    /// The unit that tasks were last stopped for, and when.
    pub(crate) preempting_for: Option<(ReadyKey, Instant)>,
    /// The last number given by `next_sequence`.
    pub(crate) last_sequence: u64,
    /// Submitted jobs that are not journaled yet.
    pub(crate) unaccepted: BTreeSet<JobId>,
    /// Effects of functions that do not return them, carried out after the current message.
    pub(crate) deferred_effects: Vec<Effect>,
    /// Events to count in the metrics after the current message.
    pub(crate) counts: Vec<Count>,
}

impl HomeGroups {
    /// Creates a state that owns no group; `seed` is for the jitter of retry delays.
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
        let admission_limits = settings.limits.clone();
        admission.set_limits(admission_limits.clone());
        Self {
            settings,
            lease_state: LeaseState::CutOff,
            ticks: Ticks::default(),
            directory: Arc::default(),
            members: None,
            owned: BTreeMap::new(),
            jobs: BTreeMap::new(),
            admission,
            policy,
            fleet_view: Fleet::default(),
            reported_charges: HashMap::new(),
            reported_team_charges: BTreeMap::new(),
            admission_limits,
            shares_computed_at: None,
            views_requested_at: BTreeMap::new(),
            fleet_capacity: Resources::ZERO,
            queued: HashMap::new(),
            ready: BTreeMap::new(),
            delayed: BTreeMap::new(),
            pending_rack_calls: BTreeMap::new(),
            unjournaled: BTreeMap::new(),
            append_in_flight: false,
            finished_jobs: VecDeque::new(),
            retry_budgets: BTreeMap::new(),
            jitter: SmallRng::seed_from_u64(seed),
            preempted_at: VecDeque::new(),
            preempting_for: None,
            last_sequence: 0,
            unaccepted: BTreeSet::new(),
            deferred_effects: Vec::new(),
            counts: Vec::new(),
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Arc<Settings>) {
        self.settings = settings;
        self.share_quotas();
    }

    /// Sets the state of this incarnation's owner lease, which decides whether it may act.
    pub fn set_lease_state(&mut self, lease_state: LeaseState) {
        self.lease_state = lease_state;
    }

    /// Replaces the directory of owners. The next tick calls the successors of rack owners.
    pub fn set_directory(&mut self, directory: Arc<Directory>) {
        let former = std::mem::replace(&mut self.directory, directory);
        self.call_replaced_racks_again();
        self.request_views_of_replaced_racks(&former);
    }

    /// Returns whether this instance owns the group.
    pub fn owns(&self, group: &GroupId) -> bool {
        self.owned.contains_key(group)
    }

    /// Returns a job of an owned group, or `None` if it is unknown or forgotten.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns the deferred effects and the events to count, and clears both.
    pub fn take_deferred_effects(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.deferred_effects);
        effects.extend(self.counts.drain(..).map(Effect::Count));
        effects
    }

    /// Returns a number above all earlier ones, which serves as work item id and as tie-breaker.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Queues an entry for the next append; a later entry of the same key replaces it.
    pub(crate) fn add_unjournaled(&mut self, entry: JournalEntry) {
        let key = (entry.group.clone(), entry.key.clone());
        self.unjournaled.insert(key, entry);
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        self.lease_state == LeaseState::Confirmed
    }
}
