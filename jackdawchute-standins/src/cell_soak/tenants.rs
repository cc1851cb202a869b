//! Tenants of a soak, whose keys are replaced while callers use them.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use jackdawchute_adapter::standins::put_configuration;
use jackdawchute_cell::Routes;
use jackdawchute_tenants::{ApiKey, Tenant, TenantPolicy};
use jackdawchute_types::{Resources, TenantId};
use smol_str::format_smolstr;
use tokio::time::sleep;

use crate::{cell::StoreHandle, lock::lock};

/// The name, weight and cap in thousandths of a core of each tenant. The caps add up to more than
/// the workers have, and each is below it.
const TENANTS: [(&str, f64, u64); 3] = [
    ("bakery", 1.0, 4_000),
    ("clinic", 2.0, 9_000),
    ("market", 5.0, 16_000),
];
/// The time between the steps in which a key is added, used, and withdrawn.
const ROTATION_STEP: Duration = Duration::from_millis(1_200);
/// The time after which a change of the keys must be in force at every instance that serves calls:
/// the platform's bound, stretched while the store is not stable.
pub(super) const IN_FORCE_MAX: Duration = Duration::from_secs(9);

/// A key and when it was withdrawn.
#[derive(Clone, Debug)]
pub(super) struct WithdrawnKey {
    pub(super) tenant: usize,
    pub(super) key: ApiKey,
    pub(super) at: Instant,
}

#[derive(Debug)]
struct State {
    /// The key that each tenant's callers use, and since when the configuration has it.
    current: Vec<(ApiKey, Instant)>,
    withdrawn: Vec<WithdrawnKey>,
}

/// The tenants of a soak; clones share the keys.
#[derive(Clone, Debug)]
pub(super) struct SoakTenants {
    state: Arc<Mutex<State>>,
}

impl SoakTenants {
    /// Returns the tenants, each with its first key.
    pub(super) fn new() -> Self {
        let now = Instant::now();
        let current = (0..TENANTS.len()).map(|tenant| (key_of(tenant, 0), now));
        Self {
            state: Arc::new(Mutex::new(State {
                current: current.collect(),
                withdrawn: Vec::new(),
            })),
        }
    }

    pub(super) fn count(&self) -> usize {
        TENANTS.len()
    }

    pub(super) fn name(tenant: usize) -> TenantId {
        TENANTS[tenant].0.into()
    }

    /// Returns the cap of a tenant, in thousandths of a core.
    pub(super) fn cap_millicores(tenant: usize) -> u64 {
        TENANTS[tenant].2
    }

    /// Returns the key that a tenant's callers use now, and whether it must be in force everywhere.
    pub(super) fn key(&self, tenant: usize) -> (ApiKey, bool) {
        let (key, added_at) = lock(&self.state).current[tenant].clone();
        (key, added_at.elapsed() > IN_FORCE_MAX)
    }

    pub(super) fn withdrawn(&self) -> Vec<WithdrawnKey> {
        lock(&self.state).withdrawn.clone()
    }

    /// Returns the configuration with the keys that callers use, and those in `beside`.
    pub(super) fn configure(&self, routes: &Routes, beside: Option<(usize, ApiKey)>) -> Routes {
        let tenant = |index: usize, current: &ApiKey| {
            let (name, weight, cap_millicores) = TENANTS[index];
            let beside = beside.iter().filter(|(tenant, _)| *tenant == index);
            let keys = std::iter::once(current).chain(beside.map(|(_, key)| key));
            Tenant {
                policy: TenantPolicy {
                    tenant: name.into(),
                    weight,
                    cap: Resources::new(cap_millicores, 0, 0),
                },
                keys: keys.cloned().collect(),
            }
        };
        let state = lock(&self.state);
        let current = state.current.iter().enumerate();
        Routes {
            tenants: Some(
                current
                    .map(|(index, (key, _))| tenant(index, key))
                    .collect(),
            ),
            ..routes.clone()
        }
    }

    /// Replaces the keys of the tenants in turn until dropped: adds a key, moves the callers to it,
    /// and withdraws the former one.
    pub(super) async fn rotate(self, operator: StoreHandle, mut routes: Routes) {
        for round in 1u32.. {
            let tenant = round as usize % TENANTS.len();
            let key = key_of(tenant, round);
            sleep(ROTATION_STEP).await;
            routes.version += 1;
            let added = self.configure(&routes, Some((tenant, key.clone())));
            if put_configuration(&operator, &added).await.is_err() {
                continue;
            }
            let added_at = Instant::now();
            sleep(ROTATION_STEP).await;
            let former = {
                let mut state = lock(&self.state);
                std::mem::replace(&mut state.current[tenant], (key, added_at)).0
            };
            sleep(ROTATION_STEP).await;
            routes.version += 1;
            let withdrawn = self.configure(&routes, None);
            if put_configuration(&operator, &withdrawn).await.is_ok() {
                lock(&self.state).withdrawn.push(WithdrawnKey {
                    tenant,
                    key: former,
                    at: Instant::now(),
                });
            }
        }
    }
}

fn key_of(tenant: usize, round: u32) -> ApiKey {
    ApiKey::new(format_smolstr!("{}-key-{round}", TENANTS[tenant].0))
}
