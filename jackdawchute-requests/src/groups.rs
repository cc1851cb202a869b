//! The names of service groups.

use std::hash::Hasher;

use jackdawchute_types::{FailureDomainId, GroupId, RequestKey, ServiceId};
use smol_str::format_smolstr;
use twox_hash::XxHash64;

const HASH_SEED: u64 = 0;

/// Names the group of a service's minions in one failure domain.
///
/// ```
/// use jackdawchute_requests::service_group;
///
/// let group = service_group(&"repair-desk".into(), &"ala-1".into());
/// assert_eq!(group, "service/repair-desk/ala-1");
/// ```
pub fn service_group(service: &ServiceId, failure_domain: &FailureDomainId) -> GroupId {
    format_smolstr!("service/{service}/{failure_domain}")
}

/// Chooses the one group of `groups` that decides for a key, by the highest hash.
///
/// Every entry instance must give the same groups, in any order; a change of the set moves only
/// the keys whose group was taken out or that the new group wins. Returns an empty id if `groups`
/// is empty.
///
/// ```
/// use jackdawchute_requests::home_group;
///
/// let groups = ["service/forecast/a".into(), "service/forecast/b".into()];
/// let home = home_group(&"order-7".into(), &groups);
/// assert!(groups.contains(&home));
/// ```
pub fn home_group(key: &RequestKey, groups: &[GroupId]) -> GroupId {
    groups
        .iter()
        .max_by_key(|group| (weight(key, group), (*group).clone()))
        .cloned()
        .unwrap_or_default()
}

fn weight(key: &RequestKey, group: &GroupId) -> u64 {
    let mut hasher = XxHash64::with_seed(HASH_SEED);
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(group.as_bytes());
    hasher.finish()
}
