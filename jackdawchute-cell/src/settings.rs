//! Periods and timeouts of the instance.

use std::{net::SocketAddr, time::Duration};

use jackdawchute_types::MemberId;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name.
    pub instance: MemberId,
    /// Where it listens for its peers.
    pub peer_listen: SocketAddr,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// The processor that this instance may use, in thousandths of a core; the one that has most
    /// schedules.
    pub processor_millicores: u64,
    /// Bounds of the scheduler's decisions.
    pub scheduler: jackdawchute_scheduler::Settings,
}

/// How often an instance asks the scheduling one whether it is there.
pub(crate) const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// How long an instance waits for an answer to that.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the scheduling instance may be silent before another one takes its place.
pub(crate) const LEADER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// How long the scheduling instance may fail to commit before another one tries to.
pub(crate) const LEADER_STORE_OUTAGE_MAX: Duration = Duration::from_millis(450);
/// The longest wait before a claim, so that instances do not all claim at once.
pub(crate) const CLAIM_JITTER: Duration = Duration::from_millis(60);
/// How much longer an instance waits before a claim that has next to no processor against the
/// strongest one; longer than a strong one's jitter and its claim at the store take.
pub(crate) const WEAK_CLAIM_DELAY: Duration = Duration::from_millis(150);
/// The processor that the strongest instance is taken to have before any is known: a core.
pub(crate) const STRONGEST_UNKNOWN_MILLICORES: u64 = 1_000;
/// An instance with so many percent of the holder's processor gets the epoch without any trouble;
/// a takeover costs some hundred milliseconds.
pub(crate) const STRONGER_PERCENT: u64 = 150;
/// The pause after a claim that failed; doubles with each further one.
pub(crate) const CLAIM_PAUSE: Duration = Duration::from_millis(300);
/// The longest such pause.
pub(crate) const CLAIM_PAUSE_MAX: Duration = Duration::from_millis(1_200);
/// The shortest time between two commits, so that more shares one; each call to the store is paid.
pub(crate) const COMMIT_PERIOD: Duration = Duration::from_millis(25);
/// How often time passes for the scheduler.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(40);
/// How long the store may hold back its answer while nothing changes; bounds how long a connection
/// that fell silent goes unnoticed.
pub(crate) const FOLLOW_WAIT: Duration = Duration::from_secs(2);
/// The pause after a failed read of the store.
pub(crate) const FOLLOW_PAUSE: Duration = Duration::from_millis(250);
/// The pause before a commit without an answer is tried again.
pub(crate) const COMMIT_PAUSE: Duration = Duration::from_millis(60);
/// How long commits may fail before jobs that are not part of one are refused.
pub(crate) const COMMIT_OUTAGE_MAX: Duration = Duration::from_millis(400);
/// How long a job may wait for its acceptance to be committed before it is refused on arrival: what
/// an instance that passes a job on waits for the answer, less the way.
pub(crate) const ACCEPTANCE_WAIT_MAX: Duration = Duration::from_millis(1_300);
/// The most rows of a commit, two below the store's limit of entries for the chain's own.
pub(crate) const COMMIT_ROWS_MAX: usize = 97;
/// The most bytes of a commit before their encoding, which adds a third; the limit is 1 MB.
pub(crate) const COMMIT_BYTES_MAX: usize = 500_000;
/// How long a peer's answer to a caller's job may take.
pub(crate) const PASS_ON_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a call waits for a scheduling instance before it is refused.
pub(crate) const NO_LEADER_WAIT_MAX: Duration = Duration::from_millis(350);
/// The shortest time after which a caller may come back while no instance schedules or nothing can
/// be saved.
pub(crate) const OUTAGE_RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The longest such time.
pub(crate) const OUTAGE_RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// How long a commit takes at a store that is slow and not cut off: 90 times its usual time.
pub(crate) const COMMIT_SLOW: Duration = Duration::from_millis(900);
/// How many other instances a peer is told of.
pub(crate) const OTHERS_TOLD: usize = 3;

/// When a caller may come back in an outage that has lasted for some time: nothing tells its end,
/// and the best guess is that it lasts as long again.
pub(crate) fn outage_retry_after(lasted: Duration) -> Duration {
    lasted.clamp(OUTAGE_RETRY_AFTER_MIN, OUTAGE_RETRY_AFTER_MAX)
}
/// The part of a caller's deadline kept for the answer itself.
pub(crate) const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// How long an instance counts as there after it was last heard.
pub(crate) const PEER_MEMORY: Duration = Duration::from_millis(900);
/// How long beyond its expected time an advisor may take.
pub(crate) const ADVICE_MARGIN: Duration = Duration::from_millis(1_200);
/// What a call through a peer may take beyond what the peer itself does; a round trip takes 3 ms.
pub(crate) const PEER_CALL_MARGIN: Duration = Duration::from_millis(300);
/// The time of questions under way at one instance beyond which it gets no further ones.
pub(crate) const ADVISOR_BACKLOG_MAX: Duration = Duration::from_millis(1_200);
/// How often the load of the cell is logged.
pub(crate) const LOAD_LOG_PERIOD: Duration = Duration::from_secs(1);
/// The weight of a new measurement of an instance's lag; about ten ticks count.
pub(crate) const LAG_GAIN: f64 = 0.1;
/// The lag beyond which the scheduling instance offers its place; in a healthy one it stays below a
/// tenth of that.
pub(crate) const LAG_MAX: Duration = Duration::from_millis(30);
/// The pause between two such offers.
pub(crate) const OFFER_PAUSE: Duration = Duration::from_secs(1);
/// How often peers are asked for a later epoch while nothing can be saved.
pub(crate) const PEERS_ASK_PERIOD: Duration = Duration::from_millis(500);
/// How often a leaving instance offers its epoch until it is taken over.
pub(crate) const HANDOVER_PERIOD: Duration = Duration::from_millis(300);
