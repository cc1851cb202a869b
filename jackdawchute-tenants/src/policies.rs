//! The policies of all tenants, with those that a later configuration no longer names.

use std::collections::BTreeMap;

use jackdawchute_types::{Resources, TenantId};

use crate::TenantPolicy;

/// The policies in force.
#[derive(Clone, Debug, Default)]
pub struct TenantPolicies {
    configured: BTreeMap<TenantId, TenantPolicy>,
    /// The last policies of tenants that have work and are no longer configured.
    retired: BTreeMap<TenantId, TenantPolicy>,
    weight_mean: f64,
    weight_min: f64,
    cap_min: Resources,
}

impl TenantPolicies {
    /// Returns these policies, and of `earlier` those of tenants that are named no more and have
    /// work.
    ///
    /// ```
    /// use jackdawchute_tenants::{TenantPolicies, TenantPolicy};
    /// use jackdawchute_types::Resources;
    ///
    /// let cap = Resources::new(4_000, 0, 0);
    /// let policy = TenantPolicy { tenant: "a".into(), weight: 1.0, cap };
    /// let before = TenantPolicies::new(vec![policy], None, |_| false);
    /// let after = TenantPolicies::new(Vec::new(), Some(&before), |tenant| tenant == "a");
    /// assert_eq!(after.cap_of(&"a".into()), cap);
    /// ```
    pub fn new(
        policies: Vec<TenantPolicy>,
        earlier: Option<&Self>,
        has_work: impl Fn(&TenantId) -> bool,
    ) -> Self {
        let by_name = policies.into_iter();
        let configured: BTreeMap<_, _> = by_name
            .map(|policy| (policy.tenant.clone(), policy))
            .collect();
        let known = earlier
            .into_iter()
            .flat_map(|earlier| earlier.retired.iter().chain(&earlier.configured));
        let retired = known
            .filter(|(tenant, _)| !configured.contains_key(*tenant) && has_work(tenant))
            .map(|(tenant, policy)| (tenant.clone(), policy.clone()))
            .collect();
        let weights = || configured.values().map(|policy| policy.weight);
        let weight_min = weights().reduce(f64::min).unwrap_or(1.0);
        let weight_mean = weights().sum::<f64>() / configured.len().max(1) as f64;
        let caps = configured.values().map(|policy| policy.cap);
        let cap_min = caps.reduce(smaller_limits).unwrap_or_default();
        Self {
            weight_mean: if configured.is_empty() {
                1.0
            } else {
                weight_mean
            },
            weight_min,
            cap_min,
            configured,
            retired,
        }
    }

    fn policy(&self, tenant: &TenantId) -> Option<&TenantPolicy> {
        let configured = self.configured.get(tenant);
        configured.or_else(|| self.retired.get(tenant))
    }

    /// Returns the cap of a tenant; that of one which was never configured here is the smallest of
    /// the others.
    ///
    /// ```
    /// let none = jackdawchute_tenants::TenantPolicies::new(Vec::new(), None, |_| false);
    /// assert_eq!(none.cap_of(&"a".into()), jackdawchute_types::Resources::ZERO);
    /// ```
    pub fn cap_of(&self, tenant: &TenantId) -> Resources {
        self.policy(tenant)
            .map_or(self.cap_min, |policy| policy.cap)
    }

    /// Returns the weight of a tenant, or of all work without one, which is the mean.
    ///
    /// ```
    /// let none = jackdawchute_tenants::TenantPolicies::new(Vec::new(), None, |_| false);
    /// assert_eq!(none.weight_of(None), 1.0);
    /// ```
    pub fn weight_of(&self, tenant: Option<&TenantId>) -> f64 {
        let Some(tenant) = tenant else {
            return self.weight_mean;
        };
        self.policy(tenant)
            .map_or(self.weight_min, |policy| policy.weight)
    }

    /// Returns the sum of the weights of all configured tenants.
    ///
    /// ```
    /// let none = jackdawchute_tenants::TenantPolicies::new(Vec::new(), None, |_| false);
    /// assert_eq!(none.weight_sum(), 0.0);
    /// ```
    pub fn weight_sum(&self) -> f64 {
        self.configured.values().map(|policy| policy.weight).sum()
    }
}

/// Returns the smaller limit of each resource, where 0 is none.
fn smaller_limits(left: Resources, right: Resources) -> Resources {
    let smaller = |left: u64, right: u64| match (left, right) {
        (0, limit) | (limit, 0) => limit,
        _ => left.min(right),
    };
    let accelerators = smaller(u64::from(left.accelerators), u64::from(right.accelerators));
    Resources::new(
        smaller(left.processor_millicores, right.processor_millicores),
        smaller(left.memory_mib, right.memory_mib),
        u32::try_from(accelerators).unwrap_or(u32::MAX),
    )
}
