//! Until when a leader may act for its epoch, and until when its successors must allow for that.
//!
//! A leader has authority for [`CONFIRMED_FOR`] from the send time of the last call that showed its
//! epoch at the store. While the store does not answer, promises of all members not to claim the
//! epoch extend it: those are the instances whose heartbeats it has acknowledged. A member that
//! claims the epoch so knows that no promise of its own is left. An instance that no leader has
//! acknowledged was never asked, and allows for [`PROMISED_MAX`] instead.
//!
//! A leader without members needs no promise, and may act for that long.
//!
//! A successor bounds the authority of all earlier leaders by induction over the epochs: the leader
//! that it replaced by what a member of that leader knows, or once that leader has stopped; those
//! before by what the replaced leader knew, which it saves once nothing is left (the head row is
//! settled) and tells its members until then.
//!
//! [`Authority`] is what a leader holds, [`EarlierLeaders`] what its predecessors may still hold, and
//! [`ClaimState`] the promises that an instance gives. The leader task passes the result on to the
//! scheduler and, as a permission that each order checks when it is sent, to the calls under way;
//! the election task revokes the permission when it learns of a successor, so that nothing is sent
//! after that, whatever waits in the leader task's mailbox.
//!
//! Decisions only: the time comes in with each call.

mod earlier;
mod held;
mod permission;
mod promise;

use std::time::Duration;

pub(crate) use self::permission::Permission;
pub use self::{
    earlier::{Acknowledged, EarlierLeaders, Replaced},
    held::{Authority, AuthorityState},
    promise::ClaimState,
};

/// How long a leader has authority after it sent the last call that confirmed its epoch.
pub const CONFIRMED_FOR: Duration = Duration::from_millis(1_500);
/// How long an instance promises not to claim the epoch.
pub const PROMISED_FOR: Duration = Duration::from_millis(500);
/// The longest time for which promises extend a leader's authority after the last confirmation; a
/// successor that knows nothing of its predecessors waits as long.
pub const PROMISED_MAX: Duration = Duration::from_secs(15);
/// How long a member is asked for promises after the acknowledgement of its last heartbeat.
pub const MEMBER_FOR: Duration = Duration::from_secs(10);
/// How long an instance counts as a member after it sent the heartbeat that was acknowledged last;
/// shorter than [`MEMBER_FOR`], so that the leader never drops one that still counts.
pub const ACKNOWLEDGED_FOR: Duration = Duration::from_secs(8);
/// The lowest rate at which one instance's clock may advance, as a multiple of another's.
pub const CLOCK_RATE_MIN: f64 = 0.98;

// A promise that was given before a claim ends before its successor counts the authority as ended,
// whether or not the claim waited for it.
const _: () = assert!(PROMISED_FOR.as_millis() < CONFIRMED_FOR.as_millis());
