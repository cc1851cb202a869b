//! The metrics of each tenant, which the leader sets; the scheduler bounds their number.

use jackdawchute_scheduler::TenantLoad;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
}

type TenantGauge = Family<TenantLabels, Gauge>;

/// What each tenant has running and waits for; clones share their values.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantMetrics {
    running_millicores: TenantGauge,
    cap_millicores: TenantGauge,
    jobs: TenantGauge,
    steps_at_cap: TenantGauge,
    refused_jobs: TenantGauge,
}

impl TenantMetrics {
    /// Adds the metrics to a registry.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let gauges = [
            (
                "tenant_running_millicores",
                "Thousandths of a core that a tenant's tasks have, or may have",
                &self.running_millicores,
            ),
            (
                "tenant_cap_millicores",
                "Thousandths of a core that a tenant may have running; 0 is no limit",
                &self.cap_millicores,
            ),
            (
                "tenant_jobs",
                "Jobs of a tenant that have not ended",
                &self.jobs,
            ),
            (
                "tenant_steps_at_cap",
                "Steps of a tenant that wait for its cap",
                &self.steps_at_cap,
            ),
            (
                "tenant_refused_jobs",
                "Jobs of a tenant that this leader has refused",
                &self.refused_jobs,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Replaces the values of all tenants.
    pub(crate) fn set(&self, loads: &[TenantLoad]) {
        self.clear();
        for load in loads {
            let labels = TenantLabels {
                tenant: load.tenant.to_string(),
            };
            let set = |gauge: &TenantGauge, value: u64| {
                let value = i64::try_from(value).unwrap_or(i64::MAX);
                gauge.get_or_create(&labels).set(value);
            };
            set(&self.running_millicores, load.running.processor_millicores);
            set(&self.cap_millicores, load.cap.processor_millicores);
            set(&self.jobs, load.jobs as u64);
            set(&self.steps_at_cap, load.steps_at_cap as u64);
            set(&self.refused_jobs, load.refused);
        }
    }

    /// Removes the values of all tenants, as on an instance that leads no more.
    pub(crate) fn clear(&self) {
        for gauge in [
            &self.running_millicores,
            &self.cap_millicores,
            &self.jobs,
            &self.steps_at_cap,
            &self.refused_jobs,
        ] {
            gauge.clear();
        }
    }
}
