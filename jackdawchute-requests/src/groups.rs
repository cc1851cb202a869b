//! The ids of service groups and key groups.

use std::hash::Hasher;

use jackdawchute_types::{FailureDomainId, GroupId, RequestKey, ServiceId};
use smol_str::format_smolstr;
use twox_hash::XxHash64;

const HASH_SEED: u64 = 0;

/// Returns the id of the group of a service's minions in one failure domain.
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

/// Chooses the group of `groups` that decides for a key by rendezvous hashing.
///
/// Every entry instance must pass the same groups, in any order. A change of the set moves only
/// the keys of a removed group and those for which an added group has the highest hash. Returns
/// an empty id if `groups` is empty.
///
/// ```
/// use jackdawchute_requests::rendezvous_group;
///
/// let groups = ["service/forecast/a".into(), "service/forecast/b".into()];
/// let chosen = rendezvous_group(&"order-7".into(), &groups);
/// assert!(groups.contains(&chosen));
/// ```
pub fn rendezvous_group(key: &RequestKey, groups: &[GroupId]) -> GroupId {
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

/// The number of key groups of each service. It must be the same in every instance and must never
/// change: a key that moved to another group would be unknown there.
const KEY_GROUPS: u32 = 8;
/// Takes the place of the failure domain in the id of a key group; no failure domain's name has a
/// colon.
const KEY_GROUP_MARK: &str = "keys:";

/// Returns the groups of a service that decide for idempotency keys.
///
/// They own no minion: a request is first granted by the group of its key, which journals the
/// intent, and then acquires a slot from any other group of the service. So neither a new failure
/// domain nor a lost one moves a key.
///
/// ```
/// let groups = jackdawchute_requests::key_groups(&"forecast".into());
/// assert_eq!(groups[0], "service/forecast/keys:0");
/// ```
pub fn key_groups(service: &ServiceId) -> Vec<GroupId> {
    let domains = (0..KEY_GROUPS).map(|number| format_smolstr!("{KEY_GROUP_MARK}{number}"));
    domains
        .map(|domain| service_group(service, &domain))
        .collect()
}

/// Returns the group of a service that decides for a key.
///
/// ```
/// use jackdawchute_requests::{key_group, key_groups};
///
/// let service = "forecast".into();
/// assert!(key_groups(&service).contains(&key_group(&"order-7".into(), &service)));
/// ```
pub fn key_group(key: &RequestKey, service: &ServiceId) -> GroupId {
    rendezvous_group(key, &key_groups(service))
}

/// Returns whether a group decides for idempotency keys and owns no minion.
pub(crate) fn is_key_group(group: &GroupId) -> bool {
    let last = group.rsplit('/').next();
    last.is_some_and(|domain| domain.starts_with(KEY_GROUP_MARK))
}
