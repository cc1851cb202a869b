//! The messages that the membership task receives.

use std::{collections::BTreeSet, sync::Arc};

use jackdawchute_ports::MembershipList;
use jackdawchute_types::FailureDomainId;
use xtra::{prelude::MessageChannel, refcount::Weak};

/// Subscribes to the membership list: the current one is sent at once if there is one, then each
/// new one.
#[derive(Debug)]
pub struct Subscribe {
    /// Receives the list.
    pub subscriber: MessageChannel<Arc<MembershipList>, (), Weak>,
}

/// Asks for the current list; the answer is `None` until one was read.
#[derive(Clone, Copy, Debug)]
pub struct Current;

/// Sets the failure domains whose workers and minions are marked as leaving, whatever state the
/// platform's list gives them.
#[derive(Clone, Debug)]
pub struct SetLeavingDomains(pub BTreeSet<FailureDomainId>);
