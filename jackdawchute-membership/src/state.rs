//! What is known of the list, and what a newer one changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jackdawchute_ports::{Member, MemberRole, MemberState, MembershipList};
use jackdawchute_types::{FailureDomainId, MemberId};

/// What happened to one member between two lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It may get new work now.
    Live(MemberId),
    /// It must not get new work any more.
    Leaving(MemberId),
    /// It is not listed any more.
    Gone(MemberId),
}

/// The newest list that was read, and the failure domains that are leaving as a whole.
#[derive(Clone, Debug, Default)]
pub struct State {
    read: Option<MembershipList>,
    leaving_domains: BTreeSet<FailureDomainId>,
    shown: Option<Arc<MembershipList>>,
}

impl State {
    /// The newest list, if one was read, with the members of leaving domains marked so.
    pub fn list(&self) -> Option<Arc<MembershipList>> {
        self.shown.clone()
    }

    /// The version to ask for newer ones than; 0 if no list was read.
    pub fn version(&self) -> u64 {
        self.read.as_ref().map_or(0, |list| list.version)
    }

    /// Takes a list that was read and gives what it changes; `None` if it is not newer.
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
        if self.read.is_some() && list.version <= self.version() {
            return None;
        }
        self.read = Some(list);
        self.show()
    }

    /// Marks the workers and minions of these failure domains as leaving, and those of no others;
    /// gives what that changes, `None` if nothing.
    pub fn set_leaving_domains(
        &mut self,
        domains: BTreeSet<FailureDomainId>,
    ) -> Option<Vec<Change>> {
        if self.leaving_domains == domains {
            return None;
        }
        self.leaving_domains = domains;
        self.show()
    }

    fn show(&mut self) -> Option<Vec<Change>> {
        let mut list = self.read.clone()?;
        for member in &mut list.members {
            let is_entry = member.role == MemberRole::Entry;
            if !is_entry && self.leaving_domains.contains(&member.failure_domain) {
                member.state = MemberState::Leaving;
            }
        }
        let old = self.shown.replace(Arc::new(list));
        let old = old.as_ref().map_or(&[][..], |list| &list.members);
        let new = self.shown.as_ref().map_or(&[][..], |list| &list.members);
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
    let gone = old
        .keys()
        .filter(|id| !new.contains_key(*id))
        .map(|id| Change::Gone((*id).clone()));
    listed.chain(gone).collect()
}

fn states_by_id(members: &[Member]) -> BTreeMap<&MemberId, MemberState> {
    members
        .iter()
        .map(|member| (&member.id, member.state))
        .collect()
}
