//! How long a tenant's waiting work takes, by what the tenant can get.

/// The work of a tenant, or of a class of others, at one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantBacklog {
    /// The tenant's weight.
    pub weight: f64,
    /// The work that waits, in core-milliseconds.
    pub waiting_core_ms: f64,
    /// The cores in use by what runs.
    pub running_cores: f64,
}

/// Returns how long the waiting work before a new job takes, in milliseconds.
///
/// `cores` is what all tenants share, `own` the tenant's own work, `own_cores_max` the most that
/// its cap allows, and `job_core_ms` the work of the new job. Of each of the `others` as much goes
/// before the job as its weight gets in the same time. The tenant is served with its share or with
/// what the running work of the others leaves of theirs.
///
/// ```
/// use jackdawchute_tenants::{backlog_ms, TenantBacklog};
///
/// let own = TenantBacklog { weight: 1.0, ..Default::default() };
/// let flood = TenantBacklog { waiting_core_ms: 1e6, ..own };
/// assert_eq!(backlog_ms(10.0, &own, f64::INFINITY, 100.0, &[flood]), 10.0);
/// assert!(backlog_ms(10.0, &flood, f64::INFINITY, 100.0, &[own]) >= 1e5);
/// ```
pub fn backlog_ms(
    cores: f64,
    own: &TenantBacklog,
    own_cores_max: f64,
    job_core_ms: f64,
    others: &[TenantBacklog],
) -> f64 {
    let own_until_done = own.waiting_core_ms + job_core_ms;
    let before_of = |other: &TenantBacklog| {
        let at_its_weight = other.weight * own_until_done / own.weight.max(f64::MIN_POSITIVE);
        other.waiting_core_ms.min(at_its_weight)
    };
    let before: f64 = others.iter().map(before_of).sum();
    let in_order_ms = (own.waiting_core_ms + before) / cores;
    let has_work =
        |other: &&TenantBacklog| other.waiting_core_ms > 0.0 || other.running_cores > 0.0;
    let active = || others.iter().filter(has_work);
    let weights = own.weight + active().map(|other| other.weight).sum::<f64>();
    let share_of = |weight: f64| cores * weight / weights.max(f64::MIN_POSITIVE);
    let used_by_others: f64 = active()
        .map(|other| other.running_cores.min(share_of(other.weight)))
        .sum();
    let own_cores = (cores - used_by_others)
        .max(share_of(own.weight))
        .min(own_cores_max);
    let at_own_rate_ms = own.waiting_core_ms / own_cores.max(f64::MIN_POSITIVE);
    in_order_ms.max(at_own_rate_ms)
}
