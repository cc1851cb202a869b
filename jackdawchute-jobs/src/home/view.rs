//! The whole fleet as rack owners last described it; it may lag, only rack owners guard capacity.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_placement::FleetWorker;
use jackdawchute_ports::{Member, MemberRole, MemberState, MembershipList};
use jackdawchute_types::{
    GroupId, JobKind, JobSpec, Refusal, RefusalReason, Resources, TaskId, WorkerId,
};
use smol_str::format_smolstr;

use crate::{
    effect::{AfterCall, Effect},
    home::state::HomeGroups,
    rack_group, Call, GroupEpoch, RackView,
};

/// The most rack owners that are asked for a view per tick.
const VIEWS_PER_TICK_MAX: usize = 64;

/// How often the capacity is shared anew.
const SHARE_PERIOD: Duration = Duration::from_secs(1);

impl HomeGroups {
    /// Takes in the membership list.
    pub fn set_members(&mut self, members: Arc<MembershipList>) {
        let listed: std::collections::BTreeSet<&WorkerId> = members
            .members
            .iter()
            .filter(|member| matches!(member.role, MemberRole::Worker { .. }))
            .map(|member| &member.id)
            .collect();
        let known: Vec<WorkerId> = self.view.workers().map(|slot| slot.id.clone()).collect();
        for worker in known.iter().filter(|id| !listed.contains(id)) {
            self.view.remove(worker);
            self.seen.remove(worker);
        }
        self.total = Resources::ZERO;
        for member in &members.members {
            self.set_worker(member);
        }
        self.members = Some(members);
        self.share_capacity();
    }

    fn set_worker(&mut self, member: &Member) {
        let MemberRole::Worker { rack, resources } = &member.role else {
            return;
        };
        self.total = self.total.saturating_add(resources);
        self.view.upsert(FleetWorker {
            id: member.id.clone(),
            rack: rack.clone(),
            failure_domain: member.failure_domain.clone(),
            capacity: *resources,
            accepting: member.state == MemberState::Live,
            charged: Resources::ZERO,
        });
    }

    /// Shares the capacity anew if that was not done for a while.
    pub(crate) fn share_capacity_at(&mut self, now: Instant) {
        let due = |at: Instant| now.saturating_duration_since(at) >= SHARE_PERIOD;
        if self.shared.is_none_or(due) {
            self.shared = Some(now);
            self.share_capacity();
            self.share_quotas();
        }
    }

    /// Leaves each team what its quota has beyond its use by jobs of other home owners.
    pub(crate) fn share_quotas(&mut self) {
        let mut limits = self.settings.limits.clone();
        for (team, quota) in &mut limits.quotas {
            let own = self.use_where(|job| job.spec().team == *team);
            let of_team = self.team_use.values().filter_map(|teams| teams.get(team));
            let all = of_team.fold(Resources::ZERO, |sum, used| sum.saturating_add(used));
            let others = all.saturating_sub(&own);
            if others != Resources::ZERO {
                *quota = quota.saturating_sub(self.units(&others));
            }
        }
        if self.limits != limits {
            self.limits = limits.clone();
            self.admission.set_limits(limits);
        }
    }

    /// What the placed tasks of some jobs declare.
    fn use_where(&self, holds: impl Fn(&crate::home::Job) -> bool) -> Resources {
        let jobs = self.jobs.values().filter(|job| !job.finished && holds(job));
        let used = jobs.map(|job| {
            let placed = job.tasks.iter().filter(|task| task.assigned.is_some());
            let placed = u32::try_from(placed.count()).unwrap_or(u32::MAX);
            job.spec().resources.saturating_mul(placed)
        });
        used.fold(Resources::ZERO, |sum, used| sum.saturating_add(&used))
    }

    /// What this instance may use: its share of the fleet by home groups, or all that the other
    /// instances leave, whichever is more.
    pub(crate) fn share_capacity(&mut self) {
        let total = self.units(&self.total);
        let partitions = self.settings.partitions.max(1);
        let owned = u32::try_from(self.owned.len()).unwrap_or(u32::MAX);
        let share = u64::from(total) * u64::from(owned.min(partitions)) / u64::from(partitions);
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        let left = total.saturating_sub(self.used_by_others());
        self.admission.set_capacity(share.max(left));
    }

    fn used_by_others(&self) -> u32 {
        let seen = self.seen.values();
        let seen = seen.fold(Resources::ZERO, |sum, used| sum.saturating_add(used));
        let own = self.use_where(|_| true);
        match seen.saturating_sub(&own) {
            Resources::ZERO => 0,
            others => self.units(&others),
        }
    }

    /// Takes in what a rack owner said is charged to its workers.
    pub(crate) fn note_view(&mut self, view: &RackView) {
        self.team_use.insert(view.group.clone(), view.teams.clone());
        for worker in &view.workers {
            if self.view.get(&worker.worker).is_none() {
                continue;
            }
            self.view.set_accepting(&worker.worker, worker.accepting);
            self.set_seen(&worker.worker, worker.charged);
        }
    }

    /// Counts a task as gone before its rack owner says so.
    pub(crate) fn note_gone(&mut self, worker: &WorkerId, amount: &Resources) {
        let seen = self.seen.get(worker).copied().unwrap_or_default();
        self.set_seen(worker, seen.saturating_sub(amount));
    }

    fn set_seen(&mut self, worker: &WorkerId, charged: Resources) {
        self.seen.insert(worker.clone(), charged);
        self.view.charge(worker, &seen_key(worker), charged);
    }

    /// Asks rack owners for views that are old, while something waits for room.
    pub(crate) fn ask_for_views(&mut self, now: Instant) -> Vec<Effect> {
        let racks: std::collections::BTreeSet<GroupId> =
            self.view.workers().map(|w| rack_group(&w.rack)).collect();
        let mut due: Vec<(Option<Instant>, GroupId)> = racks
            .into_iter()
            .map(|rack| (self.asked_views.get(&rack).copied(), rack))
            .filter(|(asked, _)| {
                asked.is_none_or(|at| now.saturating_duration_since(at) >= self.settings.resend)
            })
            .collect();
        due.sort();
        due.truncate(VIEWS_PER_TICK_MAX);
        let mut effects = Vec::new();
        for (_, rack) in due {
            self.asked_views.insert(rack.clone(), now);
            effects.extend(self.call_rack(&rack, |rack| Call::View { rack }, AfterCall::Nothing));
        }
        effects
    }

    /// A call to the owner of a rack, if it has one.
    pub(crate) fn call_rack(
        &self,
        rack: &GroupId,
        call: impl FnOnce(GroupEpoch) -> Call,
        after: AfterCall,
    ) -> Option<Effect> {
        let owner = self.directory.owners.get(rack)?.clone();
        let rack = GroupEpoch {
            group: rack.clone(),
            epoch: owner.epoch,
        };
        let call = call(rack);
        Some(Effect::Call { owner, call, after })
    }

    /// Refuses a job whose tasks fit no worker of the fleet, even when it is empty.
    pub(crate) fn check_fits(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if self.members.is_none() {
            let detail = "the list of workers is not known yet";
            return Err(Refusal::not_run(RefusalReason::OwnerUnavailable, detail));
        }
        let fitting = self
            .view
            .workers()
            .map(|slot| fitting(spec, &slot.capacity));
        let fitting = fitting.fold(0_u64, u64::saturating_add);
        let needed = if spec.kind == JobKind::Gang {
            u64::from(spec.tasks)
        } else {
            1
        };
        if fitting >= needed {
            return Ok(());
        }
        let detail = format!("the fleet holds {fitting} of its tasks when it is empty");
        Err(Refusal::not_run(RefusalReason::NeverFits, detail))
    }
}

/// How many tasks fit a size.
fn fitting(spec: &JobSpec, size: &Resources) -> u64 {
    let need = &spec.resources;
    let ratios = [
        size.processor_millicores
            .checked_div(need.processor_millicores),
        size.memory_mib.checked_div(need.memory_mib),
        size.accelerators
            .checked_div(need.accelerators)
            .map(u64::from),
    ];
    ratios.into_iter().flatten().min().unwrap_or(0)
}

fn seen_key(worker: &WorkerId) -> TaskId {
    format_smolstr!("seen#{worker}")
}
