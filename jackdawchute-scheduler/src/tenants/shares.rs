//! The order of waiting steps by the shares of their tenants when the cell is full.
//!
//! It answers floods of some tenants: what lies beyond a tenant's weighted share goes after what
//! others have within theirs. While all demands fit, slack alone decides.

use jackdawchute_tenants::{
    dominant_share, fair_level, share_band, tasks_below_cap, tasks_within_share, Claim,
};
use jackdawchute_types::{Resources, ServiceId, TenantId};
use rustc_hash::FxHashMap;

use super::TenantRound;
use crate::{rank::RankedStep, service_load::usable_capacity, Scheduler};

/// The part of a cap by which steps ahead of it may have tickets, which take a while.
const CAP_LEAD_DIVISOR: u64 = 8;

/// What a ranked step asks for.
struct StepDemand<'a> {
    service: &'a ServiceId,
    tenant: &'a Option<TenantId>,
    /// The size of a unit: a gang, or a single task.
    unit: Resources,
    units: u32,
}

impl StepDemand<'_> {
    fn total(&self) -> Resources {
        self.unit.saturating_mul(self.units)
    }
}

/// What a tenant has at a service, and its share there.
#[derive(Clone, Copy, Debug, Default)]
struct TenantShare {
    running: Resources,
    waiting: Resources,
    share: f64,
    capacity: Resources,
}

type Shares<'a> = FxHashMap<(&'a ServiceId, &'a Option<TenantId>), TenantShare>;

impl Scheduler {
    /// Orders ranked steps by the shares of their tenants within a priority and timeliness, and
    /// marks those for which their tenants' caps have no room soon.
    pub(crate) fn order_by_shares(&self, ranked: &mut Vec<RankedStep>, round: &mut TenantRound) {
        if round.policies.is_none() {
            return;
        }
        let demands: Vec<Option<StepDemand<'_>>> =
            ranked.iter().map(|step| self.demand_of(step)).collect();
        mark_cap_waits(ranked, &demands, round);
        let mut shares = self.shares_of(&demands, round);
        let mut beyond_shares = Vec::new();
        for (step, demand) in ranked.iter_mut().zip(&demands) {
            let Some(demand) = demand else {
                continue;
            };
            let Some(of_tenant) = shares.get_mut(&(demand.service, demand.tenant)) else {
                continue;
            };
            let before = dominant_share(&of_tenant.running, &of_tenant.capacity);
            let unit = dominant_share(&demand.unit, &of_tenant.capacity);
            let share = of_tenant.share;
            step.share_band = share_band(before, before + unit, share);
            of_tenant.running = of_tenant.running.saturating_add(&demand.total());
            let within = tasks_within_share(before, unit, share).max(1);
            if step.share_band == 0 && within < demand.units {
                let before = before + unit * f64::from(within);
                let band = share_band(before, before + unit, share);
                beyond_shares.push(step.beyond_share(band));
                step.starts_max = Some(within);
            }
        }
        ranked.append(&mut beyond_shares);
        ranked.sort_unstable();
    }

    fn demand_of(&self, step: &RankedStep) -> Option<StepDemand<'_>> {
        let job = self.jobs.get(&step.name.job)?;
        let (spec, step_run) = job.step(&step.name)?;
        let waiting = step_run.units.iter().filter(|unit| unit.is_waiting());
        Some(StepDemand {
            service: &job.queue.service,
            tenant: &job.tenant,
            unit: spec.resources.saturating_mul(spec.unit_size()),
            units: waiting.count() as u32,
        })
    }

    /// Returns the share of each tenant with work at a service; infinite where all demands fit.
    fn shares_of<'a>(
        &'a self,
        demands: &'a [Option<StepDemand<'a>>],
        round: &'a TenantRound,
    ) -> Shares<'a> {
        let mut shares = Shares::default();
        let Some(policies) = &round.policies else {
            return shares;
        };
        for (service, tenants) in round.running.services() {
            for (tenant, running) in tenants {
                shares.entry((service, tenant)).or_default().running = *running;
            }
        }
        for demand in demands.iter().flatten() {
            let of_tenant = shares.entry((demand.service, demand.tenant)).or_default();
            of_tenant.waiting = of_tenant.waiting.saturating_add(&demand.total());
        }
        let mut claims: FxHashMap<&ServiceId, Vec<Claim>> = FxHashMap::default();
        for ((service, tenant), of_tenant) in &shares {
            let cap = tenant.as_ref().map(|tenant| policies.cap_of(tenant));
            let waiting = below_cap(&of_tenant.waiting, cap, &of_tenant.running);
            claims.entry(service).or_default().push(Claim {
                weight: policies.weight_of(tenant.as_ref()),
                demand: of_tenant.running.saturating_add(&waiting),
            });
        }
        let mut capacities: FxHashMap<&ServiceId, Resources> = FxHashMap::default();
        let workers = self.workers.values();
        for worker in workers.filter(|worker| worker.listed && worker.leaving_at.is_none()) {
            let capacity = capacities.entry(&worker.entry.service).or_default();
            *capacity = capacity.saturating_add(&worker.entry.capacity);
        }
        let levels: FxHashMap<&ServiceId, (Resources, f64)> = claims
            .into_iter()
            .map(|(service, claims)| {
                let capacity = capacities.get(service).copied().unwrap_or_default();
                let capacity = usable_capacity(&capacity);
                (service, (capacity, fair_level(&capacity, &claims)))
            })
            .collect();
        for ((service, tenant), of_tenant) in &mut shares {
            if let Some((capacity, level)) = levels.get(service) {
                of_tenant.capacity = *capacity;
                of_tenant.share = level * policies.weight_of(tenant.as_ref());
            }
        }
        shares
    }
}

/// Marks the steps for which their tenants' caps have no room, or hardly any after those before.
fn mark_cap_waits(
    ranked: &mut [RankedStep],
    demands: &[Option<StepDemand<'_>>],
    round: &mut TenantRound,
) {
    let Some(policies) = round.policies.clone() else {
        return;
    };
    let mut ahead: FxHashMap<&TenantId, Resources> = FxHashMap::default();
    for (step, demand) in ranked.iter_mut().zip(demands) {
        let Some(demand) = demand else {
            continue;
        };
        let Some(tenant) = demand.tenant.as_ref() else {
            continue;
        };
        let running = round.cap_use(Some(tenant)).map(|it| it.running());
        let before = ahead
            .entry(tenant)
            .or_insert_with(|| running.unwrap_or_default());
        let cap = with_lead(&policies.cap_of(tenant));
        // What is ahead may wait for something else, so it keeps nothing from what the cap allows now.
        let fits = |cap: &Resources, used: &Resources| tasks_below_cap(cap, used, &demand.unit) > 0;
        let now = running.unwrap_or_default();
        step.waits_for_cap = !fits(&policies.cap_of(tenant), &now) && !fits(&cap, before);
        *before = before.saturating_add(&demand.total());
    }
}

fn with_lead(cap: &Resources) -> Resources {
    let accelerators_lead = cap.accelerators / CAP_LEAD_DIVISOR as u32;
    let lead = Resources::new(
        cap.processor_millicores / CAP_LEAD_DIVISOR,
        cap.memory_mib / CAP_LEAD_DIVISOR,
        accelerators_lead,
    );
    cap.saturating_add(&lead)
}

/// Returns the part of waiting work that a cap allows beside what runs.
fn below_cap(waiting: &Resources, cap: Option<Resources>, running: &Resources) -> Resources {
    let Some(cap) = cap else {
        return *waiting;
    };
    let allowed = |waiting: u64, cap: u64, running: u64| match cap {
        0 => waiting,
        _ => waiting.min(cap.saturating_sub(running)),
    };
    let accelerators = allowed(
        u64::from(waiting.accelerators),
        u64::from(cap.accelerators),
        u64::from(running.accelerators),
    );
    Resources::new(
        allowed(
            waiting.processor_millicores,
            cap.processor_millicores,
            running.processor_millicores,
        ),
        allowed(waiting.memory_mib, cap.memory_mib, running.memory_mib),
        u32::try_from(accelerators).unwrap_or(u32::MAX),
    )
}
