//! A membership list kept in memory.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use jackdawchute_ports::{Member, MembershipList, MembershipSource, Result};

/// A membership list that is kept only in this process's memory.
///
/// ```
/// use jackdawchute_trial::MemoryMembership;
///
/// let membership = MemoryMembership::default();
/// membership.set(Vec::new());
/// assert_eq!(membership.list().version, 1);
/// ```
#[derive(Debug, Default)]
pub struct MemoryMembership {
    list: Mutex<MembershipList>,
}

impl MemoryMembership {
    fn lock(&self) -> MutexGuard<'_, MembershipList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the members and raises the version by one.
    pub fn set(&self, mut members: Vec<Member>) {
        members.sort_by(|left, right| left.id.cmp(&right.id));
        let mut list = self.lock();
        list.version += 1;
        list.members = members;
    }

    /// Returns a copy of the current list.
    pub fn list(&self) -> MembershipList {
        self.lock().clone()
    }
}

#[async_trait]
impl MembershipSource for MemoryMembership {
    async fn changed_since(&self, known_version: u64) -> Result<Option<MembershipList>> {
        let list = self.lock();
        Ok((list.version > known_version).then(|| list.clone()))
    }
}
