//! The keys by which callers identify their tenant.

use std::fmt;

use jackdawchute_types::TenantId;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::Tenant;

/// A secret with which a caller identifies its tenant; its text appears in no log.
#[derive(Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(SmolStr);

impl ApiKey {
    /// Returns the key with this text.
    ///
    /// ```
    /// let key = jackdawchute_tenants::ApiKey::new("secret");
    /// assert!(!format!("{key:?}").contains("secret"));
    /// ```
    pub fn new(text: impl Into<SmolStr>) -> Self {
        Self(text.into())
    }

    /// Returns the text of the key, to be sent and never logged.
    ///
    /// ```
    /// assert_eq!(jackdawchute_tenants::ApiKey::new("secret").text(), "secret");
    /// ```
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Returns whether a presented text is this key, in a time that depends on the lengths alone.
    ///
    /// ```
    /// assert!(jackdawchute_tenants::ApiKey::new("secret").matches("secret"));
    /// ```
    pub fn matches(&self, presented: &str) -> bool {
        self.0.as_bytes().ct_eq(presented.as_bytes()).into()
    }
}

impl PartialEq for ApiKey {
    fn eq(&self, other: &Self) -> bool {
        self.matches(&other.0)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// The keys of all tenants of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Keyring<'a> {
    tenants: &'a [Tenant],
}

impl<'a> Keyring<'a> {
    /// Returns the keys of these tenants.
    ///
    /// ```
    /// let keyring = jackdawchute_tenants::Keyring::new(&[]);
    /// assert!(keyring.tenant_of("secret").is_none());
    /// ```
    pub fn new(tenants: &'a [Tenant]) -> Self {
        Self { tenants }
    }

    /// Returns the tenant that a presented key belongs to.
    ///
    /// All keys are compared, so that the time shows neither the tenant nor part of a key.
    pub fn tenant_of(&self, presented: &str) -> Option<&'a TenantId> {
        let mut found = None;
        for tenant in self.tenants {
            for key in &tenant.keys {
                if key.matches(presented) {
                    found = Some(&tenant.policy.tenant);
                }
            }
        }
        found
    }
}
