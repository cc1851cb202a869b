//! What the tenants of a cell have running, and what follows for the order and number of starts.

mod report;
mod round;
mod running;
mod shares;

pub use report::TenantLoad;
pub(crate) use round::{can_ever_start, TenantRound};
pub(crate) use running::runs_left;
use running::RunningByTenant;

use std::sync::Arc;

use jackdawchute_tenants::{TenantPolicies, TenantPolicy};

use crate::Scheduler;

impl Scheduler {
    /// Applies the caps and shares of a configuration from now on; `None` if it names no tenants.
    ///
    /// A tenant that is named no more keeps its last policy while it has jobs.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let mut scheduler = Scheduler::new(Settings::default(), 1, Instant::now());
    /// scheduler.use_tenants(None);
    /// assert!(scheduler.tenant_loads(8).is_empty());
    /// ```
    pub fn use_tenants(&mut self, tenants: Option<Vec<TenantPolicy>>) {
        let has_jobs = |tenant: &_| {
            let mut jobs = self.jobs.values();
            jobs.any(|job| job.tenant.as_ref() == Some(tenant))
        };
        let earlier = self.tenants.as_deref();
        let policies =
            tenants.map(|tenants| Arc::new(TenantPolicies::new(tenants, earlier, has_jobs)));
        self.tenants = policies;
        self.loads = None;
        self.placement_needed = true;
    }
}
