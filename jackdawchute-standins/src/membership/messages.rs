//! What the membership task takes.

use std::time::Duration;

use jackdawchute_ports::Member;

/// Replaces the members; this shows after the lag.
#[derive(Clone, Debug)]
pub struct SetMembers(pub Vec<Member>);

/// Sets the lag of later changes.
#[derive(Clone, Copy, Debug)]
pub struct SetLag(pub Duration);

/// Makes the list answer, or refuse with 503.
#[derive(Clone, Copy, Debug)]
pub struct SetAvailability(pub bool);

/// Asks for the list if it is newer than a version; answered with `Err` while it refuses.
#[derive(Clone, Copy, Debug)]
pub struct ChangedSince(pub u64);
