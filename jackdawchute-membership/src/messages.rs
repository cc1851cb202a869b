//! What the membership task takes and sends.

use std::{collections::BTreeSet, sync::Arc};

use jackdawchute_ports::MembershipList;
use jackdawchute_types::FailureDomainId;
use xtra::{prelude::MessageChannel, refcount::Weak};

/// Asks for the list, now if one is known and at each change.
#[derive(Debug)]
pub struct Subscribe {
    /// Where it goes.
    pub subscriber: MessageChannel<Arc<MembershipList>, (), Weak>,
}

/// Asks for the last list that was read, if any.
#[derive(Clone, Copy, Debug)]
pub struct Current;

/// Has the workers and minions of these failure domains shown as leaving, whatever the list says.
#[derive(Clone, Debug)]
pub struct SetLeavingDomains(pub BTreeSet<FailureDomainId>);
