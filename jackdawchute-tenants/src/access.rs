//! Whether a call may go on, and on whose behalf.

use jackdawchute_types::{ConfigurationVersion, TenantId};
use serde::{Deserialize, Serialize};

use crate::{ApiKey, Keyring, Tenant};

/// On whose behalf a call is made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Caller {
    /// The tenant that the key belongs to; `None` for a call without a key of a tenant, which goes
    /// on only where none is needed.
    pub tenant: Option<TenantId>,
    /// The key that the call presented, by which a newer configuration can be asked again.
    pub key: Option<ApiKey>,
    /// Whether the queue needs no key.
    pub public: bool,
    /// The version of the configuration that says so.
    pub configuration: ConfigurationVersion,
}

impl Caller {
    /// Returns the tenant that owns the jobs which the caller submits; those in a public queue have
    /// none.
    ///
    /// ```
    /// use jackdawchute_tenants::Caller;
    ///
    /// let caller = Caller { tenant: Some("bakery".into()), public: true, ..Caller::default() };
    /// assert_eq!(caller.owner(), None);
    /// ```
    pub fn owner(&self) -> Option<&TenantId> {
        self.tenant.as_ref().filter(|_| !self.public)
    }

    /// Returns whether the caller may learn of a job and cancel it, by the tenant that owns it.
    ///
    /// A job of no tenant is open to all. A caller of no tenant sees the jobs of tenants only while
    /// the configuration names none, since no caller can identify itself then.
    ///
    /// ```
    /// use jackdawchute_tenants::Caller;
    ///
    /// let caller = Caller { tenant: Some("bakery".into()), ..Caller::default() };
    /// assert!(caller.may_see(Some(&"bakery".into()), true));
    /// assert!(!caller.may_see(Some(&"hospital".into()), true));
    /// ```
    pub fn may_see(&self, owner: Option<&TenantId>, tenants_configured: bool) -> bool {
        match (owner, &self.tenant) {
            (None, _) => true,
            (Some(owner), Some(tenant)) => owner == tenant,
            (Some(_), None) => !tenants_configured,
        }
    }
}

/// Whether a call may go on.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The call may go on, on behalf of this caller.
    Granted(Caller),
    /// No tenant has the key that the call presented, or it presented none.
    Denied,
}

/// Decides whether a call may go on that presented a key, or none.
///
/// `public` tells that the queue needs no key; `tenants` is `None` for a configuration without
/// tenants, which asks for none either. `configuration` is the version that both are from.
///
/// ```
/// use jackdawchute_tenants::{access, Access};
///
/// assert!(matches!(access(true, Some(&[]), 7, None), Access::Granted(_)));
/// assert!(matches!(access(false, None, 7, None), Access::Granted(_)));
/// assert_eq!(access(false, Some(&[]), 7, Some("withdrawn")), Access::Denied);
/// ```
pub fn access(
    public: bool,
    tenants: Option<&[Tenant]>,
    configuration: ConfigurationVersion,
    presented: Option<&str>,
) -> Access {
    let keyring = Keyring::new(tenants.unwrap_or_default());
    let tenant = presented.and_then(|key| keyring.tenant_of(key));
    if tenant.is_none() && !public && tenants.is_some() {
        return Access::Denied;
    }
    Access::Granted(Caller {
        tenant: tenant.cloned(),
        key: presented.map(ApiKey::new),
        public,
        configuration,
    })
}
