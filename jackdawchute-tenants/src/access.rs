//! Whether a call may go on, and on whose behalf.

use jackdawchute_types::{ConfigurationVersion, TenantId};
use serde::{Deserialize, Serialize};

use crate::{ApiKey, Keyring, Tenant};

/// On whose behalf a call is made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Caller {
    /// The tenant that the key belongs to; `None` where no key is needed.
    pub tenant: Option<TenantId>,
    /// The key, by which a newer configuration can be asked again; `None` where none is needed.
    pub key: Option<ApiKey>,
    /// The version of the configuration that says so.
    pub configuration: ConfigurationVersion,
}

impl Caller {
    /// Returns whether the caller may learn of a job and cancel it, by the tenant that submitted it.
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
/// use jackdawchute_tenants::{access, Access, Caller};
///
/// assert_eq!(access(true, Some(&[]), 0, None), Access::Granted(Caller::default()));
/// assert_eq!(access(false, Some(&[]), 0, Some("withdrawn")), Access::Denied);
/// assert_eq!(access(false, None, 0, None), Access::Granted(Caller::default()));
/// ```
pub fn access(
    public: bool,
    tenants: Option<&[Tenant]>,
    configuration: ConfigurationVersion,
    presented: Option<&str>,
) -> Access {
    let Some(tenants) = tenants.filter(|_| !public) else {
        return Access::Granted(Caller {
            configuration,
            ..Caller::default()
        });
    };
    let tenant = presented.and_then(|key| Keyring::new(tenants).tenant_of(key));
    match (tenant, presented) {
        (Some(tenant), Some(key)) => Access::Granted(Caller {
            tenant: Some(tenant.clone()),
            key: Some(ApiKey::new(key)),
            configuration,
        }),
        _ => Access::Denied,
    }
}
