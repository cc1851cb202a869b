//! The caps of tenants during one scheduling round.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use jackdawchute_tenants::{holds_cap_for_gang, tasks_below_cap, CapUse, TenantPolicies};
use jackdawchute_types::{Resources, TenantId};
use rustc_hash::FxHashMap;
use spdlog::info;

use super::RunningByTenant;
use crate::{job::Job, Scheduler, StepName, StepSpec};

/// The most steps that a round logs as waiting for a cap; a flood has thousands.
const CAP_WAITS_LOGGED_MAX: usize = 16;

/// What tenants have running during a round; without tenants in the configuration nothing limits.
#[derive(Debug, Default)]
pub(crate) struct TenantRound {
    pub(super) policies: Option<Arc<TenantPolicies>>,
    pub(super) running: RunningByTenant,
    caps: FxHashMap<TenantId, CapUse>,
    /// The steps that wait for the caps of their tenants.
    waiting: BTreeSet<StepName>,
    /// When the round began; `None` without tenants.
    now: Option<Instant>,
    /// Since when gangs wait for the caps of their tenants, as of the round before.
    gangs_waiting_since: FxHashMap<TenantId, Instant>,
    /// The same as of this round.
    gangs_waiting: FxHashMap<TenantId, Instant>,
}

impl TenantRound {
    /// Returns the use of a tenant's cap; `None` for work without a tenant and without tenants.
    pub(super) fn cap_use(&mut self, tenant: Option<&TenantId>) -> Option<&mut CapUse> {
        let (policies, tenant) = (self.policies.as_ref()?, tenant?);
        if !self.caps.contains_key(tenant) {
            let unused = CapUse::new(policies.cap_of(tenant), Resources::ZERO);
            self.caps.insert(tenant.clone(), unused);
        }
        self.caps.get_mut(tenant)
    }

    /// Returns how many tasks of a step may start below the cap of its tenant: of a gang all or
    /// none.
    pub(crate) fn tasks_allowed(
        &mut self,
        tenant: Option<&TenantId>,
        name: &StepName,
        spec: &StepSpec,
    ) -> u32 {
        let Some(cap_use) = self.cap_use(tenant) else {
            return u32::MAX;
        };
        let allowed = cap_use.tasks_allowed(&spec.resources);
        if allowed >= spec.unit_size() {
            return allowed;
        }
        if spec.gang {
            self.hold_while_waiting(tenant, spec);
        }
        self.waiting.insert(name.clone());
        0
    }

    /// Keeps room below the cap of its tenant for a gang that waits for the cap.
    fn hold_while_waiting(&mut self, tenant: Option<&TenantId>, spec: &StepSpec) {
        let Some((tenant, now)) = tenant.zip(self.now) else {
            return;
        };
        let since = self.gangs_waiting_since.get(tenant).copied().unwrap_or(now);
        self.gangs_waiting.insert(tenant.clone(), since);
        let waited = now.saturating_duration_since(since);
        if let Some(cap_use) = self.cap_use(Some(tenant)) {
            if holds_cap_for_gang(waited, cap_use.is_below_half()) {
                cap_use.hold_for_gang(&spec.resources.saturating_mul(spec.tasks));
            }
        }
    }

    /// Counts tasks of a step that have been started.
    pub(crate) fn started(&mut self, tenant: Option<&TenantId>, spec: &StepSpec, tasks: usize) {
        if let Some(cap_use) = self.cap_use(tenant) {
            let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
            cap_use.start(&spec.resources.saturating_mul(tasks));
        }
    }

    /// Keeps room below the cap of its tenant for a gang that has reserved workers.
    pub(crate) fn hold_for_gang(&mut self, tenant: Option<&TenantId>, spec: &StepSpec) {
        if let Some(cap_use) = self.cap_use(tenant) {
            cap_use.hold_for_gang(&spec.resources.saturating_mul(spec.tasks));
        }
    }
}

/// Returns whether a unit of a step is no larger than a cap.
pub(crate) fn can_ever_start(cap: Resources, spec: &StepSpec) -> bool {
    let unit = spec.resources.saturating_mul(spec.unit_size());
    tasks_below_cap(&cap, &Resources::ZERO, &unit) > 0
}

impl Scheduler {
    /// Returns the cap of a job's tenant, where 0 of a resource is none.
    pub(crate) fn cap_of(&self, job: &Job) -> Resources {
        let policies = self.tenants.as_ref().zip(job.tenant.as_ref());
        policies.map_or(Resources::ZERO, |(policies, tenant)| {
            policies.cap_of(tenant)
        })
    }

    /// Returns what tenants have running at the beginning of a round.
    pub(crate) fn tenant_round(&self, now: Instant) -> TenantRound {
        let Some(policies) = &self.tenants else {
            return TenantRound::default();
        };
        let running_by_tenant = self.running_by_tenant();
        let by_tenant = running_by_tenant.by_tenant().into_iter();
        let caps = by_tenant
            .map(|(tenant, running)| {
                let lasting = running_by_tenant.lasting(&tenant);
                let cap_use = CapUse::new(policies.cap_of(&tenant), running).with_lasting(lasting);
                (tenant, cap_use)
            })
            .collect();
        TenantRound {
            policies: Some(policies.clone()),
            running: running_by_tenant,
            caps,
            waiting: BTreeSet::new(),
            now: Some(now),
            gangs_waiting_since: self.gangs_waiting_for_caps.clone(),
            gangs_waiting: FxHashMap::default(),
        }
    }

    /// Logs the steps that have begun to wait for the caps of their tenants in this round.
    pub(crate) fn note_cap_waits(&mut self, mut round: TenantRound) {
        self.gangs_waiting_for_caps = std::mem::take(&mut round.gangs_waiting);
        let waiting = std::mem::take(&mut round.waiting);
        let new = waiting.difference(&self.waiting_for_caps);
        for name in new.take(CAP_WAITS_LOGGED_MAX) {
            let Some(job) = self.jobs.get(&name.job) else {
                continue;
            };
            let running = round.cap_use(job.tenant.as_ref()).map(|it| it.running());
            let needed = job.step(name).map(|(spec, _)| spec.resources);
            info!("step waits: the cap of its tenant is reached", kv: {
                job = name.job.as_str(), step = name.step,
                tenant = job.tenant.as_deref().unwrap_or_default(),
                running_millicores = running.unwrap_or_default().processor_millicores,
                task_millicores = needed.unwrap_or_default().processor_millicores
            });
        }
        self.waiting_for_caps = waiting;
    }
}
