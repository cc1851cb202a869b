//! The newest list that was read, and the changes that a newer one makes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jackdawchute_ports::{Member, MemberRole, MemberState, MembershipList};
use jackdawchute_types::{FailureDomainId, MemberId};

/// A change of one member between two lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The member is listed as live: it may get new work.
    Live(MemberId),
    /// The member is listed as leaving: it must not get new work.
    Leaving(MemberId),
    /// The member is not listed any more.
    Removed(MemberId),
}

/// The newest list that was read, and the failure domains that are leaving as a whole.
#[derive(Clone, Debug, Default)]
pub struct State {
    newest: Option<MembershipList>,
    leaving_domains: BTreeSet<FailureDomainId>,
    published: Option<Arc<MembershipList>>,
}

impl State {
    /// Returns the newest list with the workers and minions of leaving domains marked as leaving;
    /// `None` if none was read.
    pub fn list(&self) -> Option<Arc<MembershipList>> {
        self.published.clone()
    }

    /// Returns the version of the newest list, after which to ask for changes; 0 if none was read.
    pub fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |list| list.version)
    }

    /// Stores a list that was read and returns the changes it makes; `None` if it is not newer.
    ///
    /// ```
    /// use jackdawchute_membership::State;
    /// use jackdawchute_ports::MembershipList;
    ///
    /// let mut state = State::default();
    /// let list = |version| MembershipList { version, members: vec![] };
    /// assert!(state.update(list(2)).is_some());
    /// assert!(state.update(list(1)).is_none());
    /// assert_eq!(state.version(), 2);
    /// ```
    pub fn update(&mut self, list: MembershipList) -> Option<Vec<Change>> {
        if self.newest.is_some() && list.version <= self.version() {
            return None;
        }
        self.newest = Some(list);
        self.rebuild_published()
    }

    /// Marks the workers and minions of exactly these failure domains as leaving, and returns the
    /// changes this makes; `None` if the domains are the same as before or no list was read.
    pub fn set_leaving_domains(
        &mut self,
        domains: BTreeSet<FailureDomainId>,
    ) -> Option<Vec<Change>> {
        if self.leaving_domains == domains {
            return None;
        }
        self.leaving_domains = domains;
        self.rebuild_published()
    }

    /// Rebuilds the published list from the newest one, and returns its changes.
    fn rebuild_published(&mut self) -> Option<Vec<Change>> {
        let mut list = self.newest.clone()?;
        for member in &mut list.members {
            let is_entry = member.role == MemberRole::Entry;
            if !is_entry && self.leaving_domains.contains(&member.failure_domain) {
                member.state = MemberState::Leaving;
            }
        }
        let old = self.published.replace(Arc::new(list));
        let old = old.as_ref().map_or(&[][..], |list| &list.members);
        let new = self
            .published
            .as_ref()
            .map_or(&[][..], |list| &list.members);
        Some(changes(old, new))
    }
}

fn changes(old: &[Member], new: &[Member]) -> Vec<Change> {
    let old = states_by_id(old);
    let new = states_by_id(new);
    let listed = new
        .iter()
        .filter(|(id, state)| old.get(*id) != Some(*state))
        .map(|(id, state)| match state {
            MemberState::Live => Change::Live((*id).clone()),
            MemberState::Leaving => Change::Leaving((*id).clone()),
        });
    let unlisted = old
        .keys()
        .filter(|id| !new.contains_key(*id))
        .map(|id| Change::Removed((*id).clone()));
    listed.chain(unlisted).collect()
}

fn states_by_id(members: &[Member]) -> BTreeMap<&MemberId, MemberState> {
    members
        .iter()
        .map(|member| (&member.id, member.state))
        .collect()
}
