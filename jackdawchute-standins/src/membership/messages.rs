//! Messages to the membership task.

use std::time::Duration;

use jackdawchute_ports::Member;

/// Replaces the members; the change becomes visible after the lag.
#[derive(Clone, Debug)]
pub struct SetMembers(pub Vec<Member>);

/// Sets the lag of later changes, but not of pending ones.
#[derive(Clone, Copy, Debug)]
pub struct SetLag(pub Duration);

/// Sets whether the list answers; otherwise it refuses with 503.
#[derive(Clone, Copy, Debug)]
pub struct SetAvailability(pub bool);

/// Reads the list if it is newer than this version; the reply is `Err` while the list refuses.
#[derive(Clone, Copy, Debug)]
pub struct ChangedSince(pub u64);
