//! Fair sharing: floors for classes, round robin among teams, and early refusals.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use jackdawchute_types::{ClassId, Refusal, RefusalReason, TeamId};

mod waiting;

use waiting::PeakCapacity;

use crate::{
    team_queues::TeamQueues, AdmissionPolicy, ClassLimits, Limits, ServiceTime, WorkItem,
    WorkItemId,
};

/// Bound of a team's queued items, as a multiple of the free places in its class's queue, so that
/// other teams can always queue some.
const TEAM_QUEUE_FACTOR: usize = 4;
/// Longest `retry_after` of a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);
/// Shortest `retry_after` of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Share of the capacity, in per cent, that classes above their floor leave free for more urgent
/// classes below theirs.
const HEADROOM_PERCENT: u32 = 2;

/// Serves classes below their floor first, then by priority, and the teams of a class in turn.
///
/// A class below its floor goes before every class that has reached its floor, whatever their
/// priorities.
/// Capacity that a class leaves unused serves the others; the class gets it back as units are
/// released.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use jackdawchute_admission::{AdmissionPolicy, ClassLimits, FairShare, Limits, WorkItem};
///
/// let limits = ClassLimits {
///     priority: 0,
///     queue_max: 10,
///     floor_percent: 50,
///     deadline: Duration::from_secs(1),
/// };
/// let now = Instant::now();
/// let mut policy = FairShare::default();
/// policy.set_limits(Limits {
///     classes: [("counter".into(), limits)].into(),
///     ..Limits::default()
/// });
/// policy.set_capacity(1);
/// let item = WorkItem {
///     id: 1,
///     class: "counter".into(),
///     team: "almaty".into(),
///     arrived: now,
///     deadline: None,
///     cost: 1,
/// };
/// policy.offer(item.clone(), now).unwrap();
/// assert_eq!(policy.next(now), Some(item));
/// ```
#[derive(Clone, Debug)]
pub struct FairShare {
    /// Sorted by priority, then by id.
    classes: Vec<Class>,
    quotas: BTreeMap<TeamId, u32>,
    used_by_team: HashMap<TeamId, u32>,
    locations: HashMap<WorkItemId, Location>,
    deadlines: BTreeSet<(Instant, WorkItemId)>,
    /// Items removed from the queues at their deadline and not yet returned by `expire`.
    expired: Vec<WorkItem>,
    headroom_percent: u32,
    capacity_units: u32,
    /// The highest capacity so far; what costs more is refused.
    capacity_units_max: u32,
    used_units: u32,
    peak: PeakCapacity,
}

/// A class with its queues and its use of the capacity.
#[derive(Clone, Debug)]
struct Class {
    id: ClassId,
    /// `None` for a class that is no longer configured but still has queued or running items.
    limits: Option<ClassLimits>,
    queues: TeamQueues,
    used_units: u32,
    floor_units: u32,
    service_time: ServiceTime,
}

/// What is needed to find a queued item in the queues.
#[derive(Clone, Debug)]
struct Location {
    class: ClassId,
    team: TeamId,
    arrived: Instant,
    deadline: Option<Instant>,
}

impl Default for FairShare {
    fn default() -> Self {
        Self::with_headroom(HEADROOM_PERCENT)
    }
}

impl Class {
    fn new(id: ClassId, limits: Option<ClassLimits>) -> Self {
        Self {
            id,
            limits,
            queues: TeamQueues::default(),
            used_units: 0,
            floor_units: 0,
            service_time: ServiceTime::default(),
        }
    }

    fn priority(&self) -> u32 {
        self.limits.as_ref().map_or(u32::MAX, |l| l.priority)
    }

    fn is_below_floor(&self) -> bool {
        self.used_units < self.floor_units
    }

    fn is_active(&self) -> bool {
        self.used_units > 0 || self.queues.len() > 0
    }
}

impl FairShare {
    /// Creates a policy in which classes above their floor leave this share of the capacity, in per
    /// cent, free for more urgent classes below theirs.
    ///
    /// ```
    /// let policy = jackdawchute_admission::FairShare::with_headroom(0);
    /// ```
    pub fn with_headroom(headroom_percent: u32) -> Self {
        Self {
            classes: Vec::new(),
            quotas: BTreeMap::new(),
            used_by_team: HashMap::new(),
            locations: HashMap::new(),
            deadlines: BTreeSet::new(),
            expired: Vec::new(),
            headroom_percent,
            capacity_units: 0,
            capacity_units_max: 0,
            peak: PeakCapacity::default(),
            used_units: 0,
        }
    }

    fn class_index(&self, id: &ClassId) -> Option<usize> {
        self.classes.iter().position(|class| class.id == *id)
    }

    /// Sets the floor of each class; shares that add up to more than 100 % are scaled down to it.
    fn assign_floors(&mut self) {
        let percent = |class: &Class| class.limits.as_ref().map_or(0, |l| l.floor_percent);
        let total = self.classes.iter().map(percent).sum::<u32>().max(100);
        let capacity = u64::from(self.capacity_units);
        for class in &mut self.classes {
            let floor = capacity * u64::from(percent(class)) / u64::from(total);
            // A class with a floor of 0 units could starve.
            class.floor_units = u32::try_from(floor).unwrap_or(u32::MAX).max(1);
        }
        self.fit_floors();
    }

    /// Reduces the largest floors until their sum fits the capacity.
    fn fit_floors(&mut self) {
        let sum: u32 = self.classes.iter().map(|class| class.floor_units).sum();
        for _ in self.capacity_units..sum {
            let largest = self
                .classes
                .iter_mut()
                .max_by_key(|class| class.floor_units);
            if let Some(class) = largest.filter(|class| class.floor_units > 0) {
                class.floor_units -= 1;
            }
        }
    }

    /// Moves items whose deadline has passed from the queues to `expired`.
    fn collect_expired(&mut self, now: Instant) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            match self.remove_queued(id) {
                Some(item) => self.expired.push(item),
                None => {
                    self.deadlines.pop_first();
                }
            }
        }
    }

    /// Removes an item from its queue.
    fn remove_queued(&mut self, id: WorkItemId) -> Option<WorkItem> {
        let location = self.locations.remove(&id)?;
        if let Some(deadline) = location.deadline {
            self.deadlines.remove(&(deadline, id));
        }
        let index = self.class_index(&location.class)?;
        let queues = &mut self.classes[index].queues;
        queues.remove(&location.team, location.arrived, id)
    }

    /// Returns the units that a team may still use under its quota.
    fn quota_left(&self, team: &TeamId) -> u32 {
        let quota = self.quotas.get(team).copied().unwrap_or(u32::MAX);
        quota.saturating_sub(self.used_by_team.get(team).copied().unwrap_or(0))
    }

    /// Suspends teams of a class that are at their quota, up to the first team that is not.
    ///
    /// Returns whether there is such a team.
    fn skip_teams_at_quota(&mut self, index: usize) -> bool {
        while let Some((team, cost)) = self.classes[index].queues.next_team() {
            if cost <= self.quota_left(team) {
                return true;
            }
            self.classes[index].queues.suspend_next_team();
        }
        false
    }

    /// Returns the class to serve next: the most urgent one below its floor, else the most urgent,
    /// and of equally urgent ones the one that uses the least of its floor.
    ///
    /// Returns `None` if no class has an item within its team's quota, or if only the headroom for
    /// more urgent classes is free.
    fn choose_class(&mut self) -> Option<usize> {
        let mut best = None;
        for index in 0..self.classes.len() {
            if !self.classes[index].queues.has_next_team() || !self.skip_teams_at_quota(index) {
                continue;
            }
            let class = &self.classes[index];
            if class.is_below_floor() {
                return Some(index);
            }
            let use_of_floor = u64::from(class.used_units) * 100 / u64::from(class.floor_units + 1);
            let rank = (class.priority(), use_of_floor);
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, index));
            }
        }
        let (_, index) = best?;
        let free = self.capacity_units.saturating_sub(self.used_units);
        (free > self.headroom_units(index)).then_some(index)
    }

    /// Returns the units that the class at `index` leaves free for more urgent classes below their
    /// floor.
    fn headroom_units(&self, index: usize) -> u32 {
        let priority = self.classes[index].priority();
        let is_needed = self
            .classes
            .iter()
            .any(|class| class.priority() < priority && class.is_below_floor());
        if !is_needed {
            return 0;
        }
        let headroom = u64::from(self.capacity_units) * u64::from(self.headroom_percent) / 100;
        u32::try_from(headroom).unwrap_or(u32::MAX)
    }

    /// Checks whether an item can be queued in the class at `index` and start by its deadline.
    fn check_offer(&self, index: usize, item: &WorkItem, now: Instant) -> Result<(), Refusal> {
        let class = &self.classes[index];
        let Some(limits) = &class.limits else {
            return Err(unknown_class(item));
        };
        if self.capacity_units_max > 0 && item.cost > self.capacity_units_max {
            let detail = format!("cost {} exceeds the capacity", item.cost);
            return Err(Refusal::not_run(RefusalReason::NeverFits, detail));
        }
        if self
            .quotas
            .get(&item.team)
            .is_some_and(|quota| item.cost > *quota)
        {
            let detail = format!("team {} has a quota below the cost", item.team);
            return Err(Refusal::not_run(RefusalReason::QuotaExceeded, detail));
        }
        let wait = self.expected_wait(index, &item.team);
        let places_left = limits.queue_max.saturating_sub(class.queues.len());
        if places_left == 0 {
            let detail = format!("queue of class {}", class.id);
            return Err(refusal(RefusalReason::QueueFull, detail, wait));
        }
        if class.queues.team_len(&item.team) >= TEAM_QUEUE_FACTOR * places_left {
            let detail = format!("team {} in the queue of class {}", item.team, class.id);
            let at_quota = self.quota_left(&item.team) < item.cost;
            let reason = if at_quota {
                RefusalReason::QuotaExceeded
            } else {
                RefusalReason::QueueFull
            };
            return Err(refusal(reason, detail, wait));
        }
        let start = wait.map(|wait| now + wait);
        let start_after = |deadline: Instant| start.filter(|start| *start > deadline);
        match item
            .deadline
            .and_then(|deadline| Some((deadline, start_after(deadline)?)))
        {
            None => Ok(()),
            Some((deadline, start)) => {
                let detail = format!("class {} has too much queued", class.id);
                let excess = Some(start - deadline);
                Err(refusal(RefusalReason::DeadlineUnreachable, detail, excess))
            }
        }
    }
}

/// Returns a refusal that advises a retry after `wait`, within the bounds.
fn refusal(reason: RefusalReason, detail: String, wait: Option<Duration>) -> Refusal {
    let mut refusal = Refusal::not_run(reason, detail);
    if let Some(wait) = wait {
        refusal.retry_after = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    }
    refusal
}

fn unknown_class(item: &WorkItem) -> Refusal {
    let detail = format!("class {} is not configured", item.class);
    Refusal::not_run(RefusalReason::Invalid, detail)
}

impl AdmissionPolicy for FairShare {
    fn set_limits(&mut self, limits: Limits) {
        for class in &mut self.classes {
            class.limits = limits.classes.get(&class.id).cloned();
        }
        for (id, class) in &limits.classes {
            if self.class_index(id).is_none() {
                self.classes
                    .push(Class::new(id.clone(), Some(class.clone())));
            }
        }
        self.classes
            .retain(|class| class.limits.is_some() || class.is_active());
        self.classes
            .sort_by_key(|class| (class.priority(), class.id.clone()));
        self.quotas = limits.quotas;
        for class in &mut self.classes {
            class.queues.resume_all_teams();
        }
        self.assign_floors();
    }

    fn set_capacity(&mut self, units: u32) {
        if units != self.capacity_units {
            self.capacity_units = units;
            self.capacity_units_max = self.capacity_units_max.max(units);
            self.assign_floors();
        }
    }

    fn offer(&mut self, item: WorkItem, now: Instant) -> Result<(), Refusal> {
        self.collect_expired(now);
        self.record_capacity(now);
        let index = self
            .class_index(&item.class)
            .ok_or_else(|| unknown_class(&item))?;
        self.check_offer(index, &item, now)?;
        let location = Location {
            class: item.class.clone(),
            team: item.team.clone(),
            arrived: item.arrived,
            deadline: item.deadline,
        };
        if let Some(deadline) = item.deadline {
            self.deadlines.insert((deadline, item.id));
        }
        self.locations.insert(item.id, location);
        self.classes[index].queues.push(item);
        Ok(())
    }

    fn next(&mut self, now: Instant) -> Option<WorkItem> {
        self.collect_expired(now);
        let index = self.choose_class()?;
        let (_, cost) = self.classes[index].queues.next_team()?;
        if self.used_units.saturating_add(cost) > self.capacity_units {
            return None;
        }
        let item = self.classes[index].queues.pop()?;
        self.locations.remove(&item.id);
        if let Some(deadline) = item.deadline {
            self.deadlines.remove(&(deadline, item.id));
        }
        self.used_units += item.cost;
        self.classes[index].used_units += item.cost;
        *self.used_by_team.entry(item.team.clone()).or_default() += item.cost;
        Some(item)
    }

    fn expire(&mut self, now: Instant) -> Vec<(WorkItem, Refusal)> {
        self.collect_expired(now);
        let expired = std::mem::take(&mut self.expired);
        let refuse = |item: WorkItem| {
            let wait = self
                .class_index(&item.class)
                .and_then(|index| self.expected_wait(index, &item.team));
            let detail = format!("waited too long in class {}", item.class);
            let refusal = refusal(RefusalReason::DeadlineExpired, detail, wait);
            (item, refusal)
        };
        expired.into_iter().map(refuse).collect()
    }

    fn cancel(&mut self, id: WorkItemId) -> Option<WorkItem> {
        if let Some(index) = self.expired.iter().position(|item| item.id == id) {
            return Some(self.expired.swap_remove(index));
        }
        self.remove_queued(id)
    }

    fn release(&mut self, item: &WorkItem, service_time: Duration) {
        self.used_units = self.used_units.saturating_sub(item.cost);
        if let Some(used) = self.used_by_team.get_mut(&item.team) {
            *used = used.saturating_sub(item.cost);
            if *used == 0 {
                self.used_by_team.remove(&item.team);
            }
        }
        for class in &mut self.classes {
            class.queues.resume_team(&item.team);
        }
        if let Some(index) = self.class_index(&item.class) {
            let class = &mut self.classes[index];
            class.used_units = class.used_units.saturating_sub(item.cost);
            class.service_time.record(service_time);
        }
    }

    fn queued(&self) -> BTreeMap<ClassId, usize> {
        let classes = self.classes.iter();
        classes
            .map(|class| (class.id.clone(), class.queues.len()))
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}
