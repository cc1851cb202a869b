//! What the configuration says of a tenant.

use jackdawchute_types::{Resources, TenantId};
use serde::{Deserialize, Serialize};

use crate::ApiKey;

/// A tenant's part of the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantPolicy {
    /// The name of the tenant.
    pub tenant: TenantId,
    /// The tenant's share of a full cell, relative to the weights of the others.
    pub weight: f64,
    /// The most that the tenant may have running; 0 of a resource is no limit of it.
    pub cap: Resources,
}

/// A tenant as configured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's part of the cell.
    pub policy: TenantPolicy,
    /// The keys with which the tenant's callers identify themselves.
    pub keys: Vec<ApiKey>,
}
