//! Floors for classes, turns for teams, and early refusals.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use jackdawchute_types::{ClassId, Refusal, RefusalReason, TeamId};

mod waiting;

use waiting::Peak;

use crate::{
    team_queues::TeamQueues, AdmissionPolicy, ClassLimits, Limits, ServiceTime, WorkItem,
    WorkItemId,
};

/// A team may queue this many times what is left of its class's queue, so that room for other
/// teams always remains.
const TEAM_QUEUE_FACTOR: usize = 4;
/// The longest advice to wait before a retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);
/// The shortest advice to wait before a retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// The share of capacity, in per cent, that classes above their floor leave free for more urgent
/// classes below theirs.
const HEADROOM_PERCENT: u32 = 2;

/// Gives each class its floor share first, the rest by priority, and each team of a class its turn.
///
/// A class below its floor goes before every class at or above its own, whatever the priorities.
/// What a class leaves unused is lent to the others and comes back with the next units that are
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
/// let ticket = WorkItem {
///     id: 1,
///     class: "counter".into(),
///     team: "almaty".into(),
///     arrived: now,
///     deadline: None,
///     cost: 1,
/// };
/// policy.offer(ticket.clone(), now).unwrap();
/// assert_eq!(policy.next(now), Some(ticket));
/// ```
#[derive(Clone, Debug)]
pub struct FairShare {
    /// By priority, then by name.
    classes: Vec<Class>,
    quotas: BTreeMap<TeamId, u32>,
    used_by_team: HashMap<TeamId, u32>,
    places: HashMap<WorkItemId, Place>,
    deadlines: BTreeSet<(Instant, WorkItemId)>,
    /// Taken out of the queues because of their deadline, and not yet reported.
    expired: Vec<WorkItem>,
    headroom_percent: u32,
    capacity_units: u32,
    capacity_units_max: u32,
    used_units: u32,
    peak: Peak,
}

#[derive(Clone, Debug)]
struct Class {
    id: ClassId,
    /// `None` for a class that is not configured any more and still has tickets.
    limits: Option<ClassLimits>,
    queues: TeamQueues,
    used_units: u32,
    floor_units: u32,
    service_time: ServiceTime,
}

#[derive(Clone, Debug)]
struct Place {
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
    /// A policy in which classes above their floor leave a share of the capacity free for more
    /// urgent classes below theirs, in per cent.
    ///
    /// ```
    /// let policy = jackdawchute_admission::FairShare::with_headroom(0);
    /// ```
    pub fn with_headroom(headroom_percent: u32) -> Self {
        Self {
            classes: Vec::new(),
            quotas: BTreeMap::new(),
            used_by_team: HashMap::new(),
            places: HashMap::new(),
            deadlines: BTreeSet::new(),
            expired: Vec::new(),
            headroom_percent,
            capacity_units: 0,
            capacity_units_max: 0,
            peak: Peak::default(),
            used_units: 0,
        }
    }

    fn class_index(&self, id: &ClassId) -> Option<usize> {
        self.classes.iter().position(|class| class.id == *id)
    }

    /// Shares the floors out; a sum above the whole is scaled down to it.
    fn share_floors(&mut self) {
        let percent = |class: &Class| class.limits.as_ref().map_or(0, |l| l.floor_percent);
        let total = self.classes.iter().map(percent).sum::<u32>().max(100);
        let capacity = u64::from(self.capacity_units);
        for class in &mut self.classes {
            let floor = capacity * u64::from(percent(class)) / u64::from(total);
            // Without a unit of its own a class could starve.
            class.floor_units = u32::try_from(floor).unwrap_or(u32::MAX).max(1);
        }
        self.fit_floors();
    }

    /// Takes units from the largest floors until together they fit the capacity.
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

    /// Takes tickets out of the queues whose deadline has passed.
    fn sweep(&mut self, now: Instant) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            match self.take(id) {
                Some(ticket) => self.expired.push(ticket),
                None => {
                    self.deadlines.pop_first();
                }
            }
        }
    }

    fn take(&mut self, id: WorkItemId) -> Option<WorkItem> {
        let place = self.places.remove(&id)?;
        if let Some(deadline) = place.deadline {
            self.deadlines.remove(&(deadline, id));
        }
        let index = self.class_index(&place.class)?;
        let queues = &mut self.classes[index].queues;
        queues.remove(&place.team, place.arrived, id)
    }

    fn quota_left(&self, team: &TeamId) -> u32 {
        let quota = self.quotas.get(team).copied().unwrap_or(u32::MAX);
        quota.saturating_sub(self.used_by_team.get(team).copied().unwrap_or(0))
    }

    /// Passes over teams at their quota; `true` if a team with a ticket is left.
    fn find_turn(&mut self, index: usize) -> bool {
        while let Some((team, cost)) = self.classes[index].queues.turn() {
            if cost <= self.quota_left(team) {
                return true;
            }
            self.classes[index].queues.wait_for_quota();
        }
        false
    }

    /// The class that goes next: the most urgent below its floor, else the most urgent.
    fn choose(&mut self) -> Option<usize> {
        let mut best = None;
        for index in 0..self.classes.len() {
            if !self.classes[index].queues.has_turn() || !self.find_turn(index) {
                continue;
            }
            let class = &self.classes[index];
            if class.is_below_floor() {
                return Some(index);
            }
            let use_of_floor = u64::from(class.used_units) * 100 / u64::from(class.floor_units + 1);
            let rank = (class.priority(), use_of_floor);
            if best.is_none_or(|(known, _)| rank < known) {
                best = Some((rank, index));
            }
        }
        let (_, index) = best?;
        let free = self.capacity_units.saturating_sub(self.used_units);
        (free > self.headroom_units(index)).then_some(index)
    }

    /// What the class at `index` leaves free for more urgent classes below their floor.
    fn headroom_units(&self, index: usize) -> u32 {
        let priority = self.classes[index].priority();
        let wanted = self
            .classes
            .iter()
            .any(|class| class.priority() < priority && class.is_below_floor());
        if !wanted {
            return 0;
        }
        let headroom = u64::from(self.capacity_units) * u64::from(self.headroom_percent) / 100;
        u32::try_from(headroom).unwrap_or(u32::MAX)
    }

    fn check(&self, index: usize, ticket: &WorkItem, now: Instant) -> Result<(), Refusal> {
        let class = &self.classes[index];
        let Some(limits) = &class.limits else {
            return Err(unknown_class(ticket));
        };
        if self.capacity_units_max > 0 && ticket.cost > self.capacity_units_max {
            let detail = format!("cost {} exceeds the capacity", ticket.cost);
            return Err(Refusal::not_run(RefusalReason::NeverFits, detail));
        }
        if self
            .quotas
            .get(&ticket.team)
            .is_some_and(|quota| ticket.cost > *quota)
        {
            let detail = format!("team {} has a quota below the cost", ticket.team);
            return Err(Refusal::not_run(RefusalReason::QuotaExceeded, detail));
        }
        let wait = self.expected_wait(index, &ticket.team);
        let left = limits.queue_max.saturating_sub(class.queues.len());
        if left == 0 {
            let detail = format!("queue of class {}", class.id);
            return Err(refusal(RefusalReason::QueueFull, detail, wait));
        }
        if class.queues.team_len(&ticket.team) >= TEAM_QUEUE_FACTOR * left {
            let detail = format!("team {} in the queue of class {}", ticket.team, class.id);
            let at_quota = self.quota_left(&ticket.team) < ticket.cost;
            let reason = if at_quota {
                RefusalReason::QuotaExceeded
            } else {
                RefusalReason::QueueFull
            };
            return Err(refusal(reason, detail, wait));
        }
        let start = wait.map(|wait| now + wait);
        let late = |deadline: Instant| start.filter(|start| *start > deadline);
        match ticket
            .deadline
            .and_then(|deadline| Some((deadline, late(deadline)?)))
        {
            None => Ok(()),
            Some((deadline, start)) => {
                let detail = format!("class {} has too much queued", class.id);
                let too_long = Some(start - deadline);
                Err(refusal(
                    RefusalReason::DeadlineUnreachable,
                    detail,
                    too_long,
                ))
            }
        }
    }
}

fn refusal(reason: RefusalReason, detail: String, wait: Option<Duration>) -> Refusal {
    let mut refusal = Refusal::not_run(reason, detail);
    if let Some(wait) = wait {
        refusal.retry_after = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    }
    refusal
}

fn unknown_class(ticket: &WorkItem) -> Refusal {
    let detail = format!("class {} is not configured", ticket.class);
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
            class.queues.quotas_changed();
        }
        self.share_floors();
    }

    fn set_capacity(&mut self, units: u32) {
        if units != self.capacity_units {
            self.capacity_units = units;
            self.capacity_units_max = self.capacity_units_max.max(units);
            self.share_floors();
        }
    }

    fn offer(&mut self, ticket: WorkItem, now: Instant) -> Result<(), Refusal> {
        self.sweep(now);
        self.note_capacity(now);
        let index = self
            .class_index(&ticket.class)
            .ok_or_else(|| unknown_class(&ticket))?;
        self.check(index, &ticket, now)?;
        let place = Place {
            class: ticket.class.clone(),
            team: ticket.team.clone(),
            arrived: ticket.arrived,
            deadline: ticket.deadline,
        };
        if let Some(deadline) = ticket.deadline {
            self.deadlines.insert((deadline, ticket.id));
        }
        self.places.insert(ticket.id, place);
        self.classes[index].queues.push(ticket);
        Ok(())
    }

    fn next(&mut self, now: Instant) -> Option<WorkItem> {
        self.sweep(now);
        let index = self.choose()?;
        let (_, cost) = self.classes[index].queues.turn()?;
        if self.used_units.saturating_add(cost) > self.capacity_units {
            return None;
        }
        let ticket = self.classes[index].queues.pop()?;
        self.places.remove(&ticket.id);
        if let Some(deadline) = ticket.deadline {
            self.deadlines.remove(&(deadline, ticket.id));
        }
        self.used_units += ticket.cost;
        self.classes[index].used_units += ticket.cost;
        *self.used_by_team.entry(ticket.team.clone()).or_default() += ticket.cost;
        Some(ticket)
    }

    fn expire(&mut self, now: Instant) -> Vec<(WorkItem, Refusal)> {
        self.sweep(now);
        let expired = std::mem::take(&mut self.expired);
        let refuse = |ticket: WorkItem| {
            let wait = self
                .class_index(&ticket.class)
                .and_then(|index| self.expected_wait(index, &ticket.team));
            let detail = format!("waited too long in class {}", ticket.class);
            let refusal = refusal(RefusalReason::DeadlineExpired, detail, wait);
            (ticket, refusal)
        };
        expired.into_iter().map(refuse).collect()
    }

    fn cancel(&mut self, id: WorkItemId) -> Option<WorkItem> {
        if let Some(index) = self.expired.iter().position(|ticket| ticket.id == id) {
            return Some(self.expired.swap_remove(index));
        }
        self.take(id)
    }

    fn release(&mut self, ticket: &WorkItem, service_time: Duration) {
        self.used_units = self.used_units.saturating_sub(ticket.cost);
        if let Some(used) = self.used_by_team.get_mut(&ticket.team) {
            *used = used.saturating_sub(ticket.cost);
            if *used == 0 {
                self.used_by_team.remove(&ticket.team);
            }
        }
        for class in &mut self.classes {
            class.queues.quota_freed(&ticket.team);
        }
        if let Some(index) = self.class_index(&ticket.class) {
            let class = &mut self.classes[index];
            class.used_units = class.used_units.saturating_sub(ticket.cost);
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
