//! A small executable specification of the core protocol, for exhaustive search.
//!
//! It has two instances, one group, and one task or one non-idempotent request. A world is a plain
//! value; [`JournalSpec::next`](journal_spec::JournalSpec::next) and
//! [`LeaseSpec::next`](lease_spec::LeaseSpec::next) return every world that one step can lead to.
//! The steps call the functions that the ownership task uses: [`CommitPlan::commit`],
//! [`commit_status`](crate::commit_status::commit_status()), [`observe`](crate::takeover::observe),
//! [`has_expired`](crate::takeover::has_expired), [`claimed_row`](crate::replay::claimed_row),
//! [`released_row`](crate::replay::released_row), [`replay`](crate::replay::replay()) and
//! [`OwnerLease::state`](crate::owner_lease::OwnerLease::state). Each guard of the protocol can be
//! switched off, to check that the search then finds the violation that the guard prevents.
//!
//! [`CommitPlan::commit`]: crate::plan::CommitPlan::commit

mod decide;
pub mod instance;
pub mod journal_spec;
pub mod lease_spec;
mod network;
mod receive;
pub mod table;
pub mod world;
