//! The load of each tenant, for logs and metrics.

use std::collections::BTreeMap;

use jackdawchute_types::{Resources, TenantId};
use smol_str::SmolStr;
use spdlog::info;

use crate::Scheduler;

/// The number of tenants that are named in logs and metrics; the rest are summed.
pub(crate) const TENANTS_NAMED_MAX: usize = 64;
/// Stands for all tenants that are not named.
const OTHERS: SmolStr = SmolStr::new_static("others");

/// What a tenant has running and what it waits for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantLoad {
    /// The tenant, or `others` for the sum of those that are not named.
    pub tenant: TenantId,
    /// What the tenant has running, or may have.
    pub running: Resources,
    /// The tenant's cap, where 0 of a resource is none.
    pub cap: Resources,
    /// The number of the tenant's jobs that have not ended.
    pub jobs: usize,
    /// The number of steps that waited for the cap in the last scheduling round.
    pub steps_at_cap: usize,
    /// The number of the tenant's jobs that this leader has refused.
    pub refused: u64,
}

impl TenantLoad {
    fn add(&mut self, other: &Self) {
        self.running = self.running.saturating_add(&other.running);
        self.cap = self.cap.saturating_add(&other.cap);
        self.jobs += other.jobs;
        self.steps_at_cap += other.steps_at_cap;
        self.refused += other.refused;
    }
}

impl Scheduler {
    /// Returns the loads of the `named_max` tenants with the most running, the most first, and the
    /// sum of the others; empty if the configuration names no tenants.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let scheduler = Scheduler::new(Settings::default(), 1, Instant::now());
    /// assert!(scheduler.tenant_loads(8).is_empty());
    /// ```
    pub fn tenant_loads(&self, named_max: usize) -> Vec<TenantLoad> {
        let Some(policies) = &self.tenants else {
            return Vec::new();
        };
        let mut loads: BTreeMap<TenantId, TenantLoad> = BTreeMap::new();
        for (tenant, running) in self.running_by_tenant().by_tenant() {
            loads.entry(tenant).or_default().running = running;
        }
        for tenant in self.jobs.values().filter_map(|job| job.tenant.as_ref()) {
            loads.entry(tenant.clone()).or_default().jobs += 1;
        }
        let jobs_at_cap = self
            .waiting_for_caps
            .iter()
            .map(|name| self.jobs.get(&name.job));
        for tenant in jobs_at_cap.filter_map(|job| job?.tenant.as_ref()) {
            loads.entry(tenant.clone()).or_default().steps_at_cap += 1;
        }
        for (tenant, refused) in &self.refused_by_tenant {
            loads.entry(tenant.clone()).or_default().refused = *refused;
        }
        let mut loads: Vec<TenantLoad> = loads
            .into_iter()
            .map(|(tenant, load)| TenantLoad {
                cap: policies.cap_of(&tenant),
                tenant,
                ..load
            })
            .collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.running.processor_millicores));
        if loads.len() > named_max {
            let mut others = TenantLoad {
                tenant: OTHERS,
                ..TenantLoad::default()
            };
            for load in loads.drain(named_max..) {
                others.add(&load);
            }
            loads.push(others);
        }
        loads
    }

    /// Logs what each tenant has running and waits for.
    pub(crate) fn log_tenant_loads(&self) {
        for load in self.tenant_loads(TENANTS_NAMED_MAX) {
            info!("tenant load", kv: {
                tenant = load.tenant.as_str(),
                running_cores = load.running.processor_millicores / 1_000,
                cap_cores = load.cap.processor_millicores / 1_000, jobs = load.jobs,
                steps_at_cap = load.steps_at_cap, refused = load.refused
            });
        }
    }

    /// Counts a refused job of a tenant.
    pub(crate) fn count_refusal(&mut self, tenant: Option<&TenantId>) {
        let Some(tenant) = tenant else {
            return;
        };
        if let Some(refused) = self.refused_by_tenant.get_mut(tenant) {
            *refused += 1;
        } else if self.refused_by_tenant.len() < REFUSED_TENANTS_MAX {
            self.refused_by_tenant.insert(tenant.clone(), 1);
        }
    }
}

/// The number of tenants whose refused jobs are counted.
const REFUSED_TENANTS_MAX: usize = 1_024;
