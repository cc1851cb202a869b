//! The home owner's view of the whole fleet. It may be out of date: only rack owners make sure that
//! no worker is overfilled.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_ownership::Directory;
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

/// The most views that are requested from rack owners in one tick.
const VIEWS_PER_TICK_MAX: usize = 64;

/// The time between two computations of this instance's share of the capacity.
const SHARE_PERIOD: Duration = Duration::from_secs(1);

impl HomeGroups {
    /// Applies a membership list.
    pub fn set_members(&mut self, members: Arc<MembershipList>) {
        let listed: std::collections::BTreeSet<&WorkerId> = members
            .members
            .iter()
            .filter(|member| matches!(member.role, MemberRole::Worker { .. }))
            .map(|member| &member.id)
            .collect();
        let known: Vec<WorkerId> = self
            .fleet_view
            .workers()
            .map(|worker| worker.id.clone())
            .collect();
        for worker in known.iter().filter(|id| !listed.contains(id)) {
            self.fleet_view.remove(worker);
            self.reported_charges.remove(worker);
        }
        self.fleet_capacity = Resources::ZERO;
        for member in &members.members {
            self.set_worker(member);
        }
        self.members = Some(members);
        self.share_capacity();
    }

    /// Adds or updates a listed worker in the fleet view; other members are ignored.
    fn set_worker(&mut self, member: &Member) {
        let MemberRole::Worker { rack, resources } = &member.role else {
            return;
        };
        self.fleet_capacity = self.fleet_capacity.saturating_add(resources);
        self.fleet_view.upsert(FleetWorker {
            id: member.id.clone(),
            rack: rack.clone(),
            failure_domain: member.failure_domain.clone(),
            capacity: *resources,
            accepting: member.state == MemberState::Live,
            charged: Resources::ZERO,
        });
    }

    /// Computes the shares of the capacity and of the quotas anew, once in each [`SHARE_PERIOD`].
    pub(crate) fn refresh_shares_if_due(&mut self, now: Instant) {
        let due = |at: Instant| now.saturating_duration_since(at) >= SHARE_PERIOD;
        if self.shares_computed_at.is_none_or(due) {
            self.shares_computed_at = Some(now);
            self.share_capacity();
            self.share_quotas();
        }
    }

    /// Reduces each team's quota by what its jobs of other home owners use.
    pub(crate) fn share_quotas(&mut self) {
        let mut limits = self.settings.limits.clone();
        for (team, quota) in &mut limits.quotas {
            let own_use = self.placed_resources(|job| job.spec().team == *team);
            let of_team = self
                .reported_team_charges
                .values()
                .filter_map(|teams| teams.get(team));
            let all = of_team.fold(Resources::ZERO, |sum, used| sum.saturating_add(used));
            let others = all.saturating_sub(&own_use);
            if others != Resources::ZERO {
                *quota = quota.saturating_sub(self.capacity_units(&others));
            }
        }
        if self.admission_limits != limits {
            self.admission_limits = limits.clone();
            self.admission.set_limits(limits);
        }
    }

    /// Returns the declared resources of all placed tasks of the unfinished jobs that match.
    fn placed_resources(&self, predicate: impl Fn(&crate::home::Job) -> bool) -> Resources {
        let jobs = self
            .jobs
            .values()
            .filter(|job| !job.finished && predicate(job));
        let used = jobs.map(|job| {
            let placed = job.tasks.iter().filter(|task| task.assigned_at.is_some());
            let placed = u32::try_from(placed.count()).unwrap_or(u32::MAX);
            job.spec().resources.saturating_mul(placed)
        });
        used.fold(Resources::ZERO, |sum, used| sum.saturating_add(&used))
    }

    /// Sets the capacity that admission may use: this instance's share of the fleet by the number
    /// of its home groups, or all that the other instances leave, whichever is more.
    pub(crate) fn share_capacity(&mut self) {
        let total = self.capacity_units(&self.fleet_capacity);
        let partitions = self.settings.partitions.max(1);
        let owned = u32::try_from(self.owned.len()).unwrap_or(u32::MAX);
        let share = u64::from(total) * u64::from(owned.min(partitions)) / u64::from(partitions);
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        let left = total.saturating_sub(self.used_by_others());
        self.admission.set_capacity(share.max(left));
    }

    /// Returns the reported charges beyond those of this instance's own jobs, in capacity units.
    fn used_by_others(&self) -> u32 {
        let reported = self.reported_charges.values();
        let reported = reported.fold(Resources::ZERO, |sum, used| sum.saturating_add(used));
        let own_use = self.placed_resources(|_| true);
        match reported.saturating_sub(&own_use) {
            Resources::ZERO => 0,
            others => self.capacity_units(&others),
        }
    }

    /// Applies a rack owner's view of the charges on its workers.
    pub(crate) fn apply_view(&mut self, view: &RackView) {
        self.reported_team_charges
            .insert(view.group.clone(), view.teams.clone());
        for worker in &view.workers {
            if self.fleet_view.get(&worker.worker).is_none() {
                continue;
            }
            self.fleet_view
                .set_accepting(&worker.worker, worker.accepting);
            self.set_reported_charge(&worker.worker, worker.charged);
        }
    }

    /// Places nothing on the workers of a rack until its owner has answered with its view.
    pub(crate) fn close_rack(&mut self, rack: &GroupId) {
        let workers = self.fleet_view.workers();
        let of_rack = workers.filter(|worker| rack_group(&worker.rack) == *rack);
        let ids: Vec<WorkerId> = of_rack.map(|worker| worker.id.clone()).collect();
        for id in ids {
            self.fleet_view.set_accepting(&id, false);
        }
    }

    /// Deducts an ended task from the reported charge of its worker, ahead of the rack owner's next
    /// view.
    pub(crate) fn deduct_ended_task(&mut self, worker: &WorkerId, amount: &Resources) {
        let reported = self
            .reported_charges
            .get(worker)
            .copied()
            .unwrap_or_default();
        self.set_reported_charge(worker, reported.saturating_sub(amount));
    }

    fn set_reported_charge(&mut self, worker: &WorkerId, charged: Resources) {
        self.reported_charges.insert(worker.clone(), charged);
        self.fleet_view
            .charge(worker, &reported_charge_key(worker), charged);
    }

    /// Requests the views of racks that were last requested at least the resend time ago, longest
    /// ago first.
    pub(crate) fn request_views(&mut self, now: Instant) -> Vec<Effect> {
        let racks: std::collections::BTreeSet<GroupId> = self
            .fleet_view
            .workers()
            .map(|w| rack_group(&w.rack))
            .collect();
        let mut due: Vec<(Option<Instant>, GroupId)> = racks
            .into_iter()
            .map(|rack| (self.views_requested_at.get(&rack).copied(), rack))
            .filter(|(requested_at, _)| {
                requested_at
                    .is_none_or(|at| now.saturating_duration_since(at) >= self.settings.resend)
            })
            .collect();
        due.sort();
        due.truncate(VIEWS_PER_TICK_MAX);
        let mut effects = Vec::new();
        for (_, rack) in due {
            self.views_requested_at.insert(rack.clone(), now);
            effects.extend(self.call_rack(&rack, |rack| Call::View { rack }, AfterCall::Nothing));
        }
        effects
    }

    /// Makes the views due again of the racks that have a later owner than in the `former` directory.
    pub(crate) fn request_views_of_replaced_racks(&mut self, former: &Directory) {
        let epoch =
            |directory: &Directory, rack: &GroupId| directory.owners.get(rack).map(|o| o.epoch);
        let directory = &self.directory;
        self.views_requested_at
            .retain(|rack, _| epoch(directory, rack) <= epoch(former, rack));
    }

    /// Returns a call to the owner of a rack, or `None` if the directory knows no owner.
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

    /// Refuses a job that would not fit even an empty fleet: one of its tasks fits no worker, or
    /// the tasks of a gang do not fit all workers together.
    pub(crate) fn check_fits(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if self.members.is_none() {
            let detail = "the list of workers is not known yet";
            return Err(Refusal::not_run(RefusalReason::OwnerUnavailable, detail));
        }
        let fitting = self
            .fleet_view
            .workers()
            .map(|worker| tasks_that_fit(spec, &worker.capacity));
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

/// Returns how many tasks of a job fit a worker of this size.
fn tasks_that_fit(spec: &JobSpec, size: &Resources) -> u64 {
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

/// Returns the key under which the fleet view holds the reported charge of a worker.
fn reported_charge_key(worker: &WorkerId) -> TaskId {
    format_smolstr!("seen#{worker}")
}
