//! Periods and timeouts of the instance.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jackdawchute_types::MemberId;

/// The settings of one instance, fixed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The configured name of the instance, unique in the cell.
    pub instance: MemberId,
    /// The address at which the instance listens for its peers.
    pub peer_listen: SocketAddr,
    /// The address at which its peers reach the instance.
    pub peer_address: SocketAddr,
    /// The address from which the instance calls its peers; `None` lets the system choose it.
    pub peer_source: Option<IpAddr>,
    /// The processor that this instance may use, in thousandths of a core; the instance that has
    /// the most is preferred as leader.
    pub processor_millicores: u64,
    /// The settings of the scheduler, used while this instance is the leader.
    pub scheduler: jackdawchute_scheduler::Settings,
}

/// The period of an instance's heartbeats to the leader.
pub(crate) const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// The priority of messages to the leader task that it handles before all others, however many wait:
/// heartbeats, without which it would be replaced, and outcomes of commits, on which callers wait.
pub(crate) const LEADER_PRIORITY: u32 = 1;
/// The timeout of a heartbeat and of other short calls between instances.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the leader may leave heartbeats unanswered before another instance claims the epoch.
pub(crate) const LEADER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// The lateness of one tick from which an instance counts as frozen meanwhile, so that the time in
/// which it heard no leader shows nothing.
pub(crate) const FROZEN_LATENESS: Duration = Duration::from_millis(700);
/// How long the leader's store outage may last before another instance claims the epoch.
pub(crate) const LEADER_STORE_OUTAGE_MAX: Duration = Duration::from_millis(450);
/// The longest random delay before a claim, so that instances do not all claim at once.
pub(crate) const CLAIM_JITTER: Duration = Duration::from_millis(60);
/// The extra delay before the claim of an instance that has almost no processor compared with the
/// strongest one. It exceeds the jitter of a strong instance plus the time of its claim at a store
/// that many instances call at once.
pub(crate) const WEAK_CLAIM_DELAY: Duration = Duration::from_millis(600);
/// How long a new leader may take to recover before others claim the epoch, if it answers
/// heartbeats meanwhile.
pub(crate) const RECOVERY_MAX: Duration = Duration::from_secs(5);
/// The processor that the strongest instance is assumed to have until the leader reports it: one
/// core.
pub(crate) const DEFAULT_STRONGEST_MILLICORES: u64 = 1_000;
/// The leader offers the epoch to an instance with at least this percentage of the leader's
/// processor, even if the leader does not lag; a takeover costs some hundred milliseconds.
pub(crate) const STRONGER_PERCENT: u64 = 150;
/// The timeout of the read before a claim; a slow store answers within half of it.
pub(crate) const CLAIM_READ_TIMEOUT: Duration = Duration::from_millis(600);
/// The pause between two attempts to tell a predecessor that it was replaced.
pub(crate) const NOTIFY_PAUSE: Duration = Duration::from_millis(300);
/// The pause after a claim that failed; doubles with each further one.
pub(crate) const CLAIM_PAUSE: Duration = Duration::from_millis(300);
/// The longest pause after a claim that failed.
pub(crate) const CLAIM_PAUSE_MAX: Duration = Duration::from_millis(1_200);
/// The shortest time between the starts of two commits, so that more changes share one; each call
/// to the store is paid for.
pub(crate) const COMMIT_PERIOD: Duration = Duration::from_millis(25);
/// The period of the leader task's ticks, at which the scheduler gets the current time.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(40);
/// How long the store may delay its answer while nothing changes; bounds how long a dead connection
/// stays undetected.
pub(crate) const FOLLOW_WAIT: Duration = Duration::from_secs(2);
/// The pause after a failed read of the store.
pub(crate) const FOLLOW_PAUSE: Duration = Duration::from_millis(250);
/// The pause before a failed commit attempt is repeated, multiplied by the number of failures up to
/// four.
pub(crate) const COMMIT_PAUSE: Duration = Duration::from_millis(60);
/// How long a store outage may last before jobs that are not part of a commit are refused.
pub(crate) const COMMIT_OUTAGE_MAX: Duration = Duration::from_millis(400);
/// The longest expected wait for a job's acceptance to be committed; beyond it the job is refused
/// on arrival. It is [`LEADER_CALL_TIMEOUT`] less the time that the call itself takes.
pub(crate) const ACCEPTANCE_WAIT_MAX: Duration = Duration::from_millis(1_300);
/// The most rows of the scheduler in a commit, two below the store's limit of entries. A commit
/// also has the chain's own entries: the head row and the condition on its version.
pub(crate) const COMMIT_ROWS_MAX: usize = 97;
/// The most bytes of a commit before their encoding, which adds a third; the store's limit is 1 MB.
pub(crate) const COMMIT_BYTES_MAX: usize = 700_000;
/// The timeout of a caller's call that is forwarded to the leader at a peer.
pub(crate) const LEADER_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a caller's call waits for a leader before it is answered as unavailable.
pub(crate) const NO_LEADER_WAIT_MAX: Duration = Duration::from_millis(350);
/// The shortest time after which a caller may try again while there is no leader or a store outage.
pub(crate) const OUTAGE_RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The longest time after which a caller may try again in such an outage.
pub(crate) const OUTAGE_RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// The longest time that a commit takes at a store that is slow but reachable: 90 times the usual
/// one.
pub(crate) const SLOW_COMMIT_MAX: Duration = Duration::from_millis(900);
/// The most other instances that a heartbeat's acknowledgement lists, or that the leader asks for a
/// later epoch.
pub(crate) const PEERS_LISTED_MAX: usize = 3;

/// Returns after what time a caller may try again in an outage that has lasted for `lasted`.
///
/// The end of an outage is not known; the best estimate is that it lasts as long again.
pub(crate) fn outage_retry_after(lasted: Duration) -> Duration {
    lasted.clamp(OUTAGE_RETRY_AFTER_MIN, OUTAGE_RETRY_AFTER_MAX)
}
/// The part of a caller's deadline reserved for sending the answer.
pub(crate) const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// The age of an instance's last heartbeat beyond which the leader no longer uses the instance.
pub(crate) const PEER_HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(900);
/// How much longer than expected an advisor may take before its request times out.
pub(crate) const ADVICE_MARGIN: Duration = Duration::from_millis(1_200);
/// The pause before a further request to an advisor that did not answer one; others are asked meanwhile.
pub(crate) const ADVICE_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// How much longer a call to a peer may take than the peer's own work; a round trip takes 3 ms.
pub(crate) const PEER_CALL_MARGIN: Duration = Duration::from_millis(300);
/// The longest expected time until an advisor has answered its pending requests at which it still
/// gets a further one.
pub(crate) const ADVISOR_BACKLOG_MAX: Duration = Duration::from_millis(1_200);
/// How often the load of the cell is logged.
pub(crate) const LOAD_LOG_PERIOD: Duration = Duration::from_secs(1);
/// The number of tenants that metrics name; the rest are summed.
pub(crate) const TENANTS_NAMED_MAX: usize = 64;
/// The weight of a new measurement in the leader's smoothed lag; about the last ten ticks count.
pub(crate) const LAG_SMOOTHING: f64 = 0.1;
/// The lag from which the leader refuses new jobs of the least urgent queues; urgent jobs have some
/// hundred milliseconds from their acceptance to their start, with several messages between.
pub(crate) const SHED_LAG: Duration = Duration::from_millis(20);
/// How often [`SHED_LAG`] doubles at most for more urgent queues.
pub(crate) const SHED_DOUBLINGS_MAX: usize = 2;
/// The most that one late tick counts for that lag, so that a pause of the process does not.
pub(crate) const SHED_LATENESS_MAX: Duration = Duration::from_millis(150);
/// After what time a caller may submit a job again that an overloaded leader refused.
pub(crate) const SHED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The lag from which the leader offers its epoch to an instance that lags less; a healthy instance
/// lags less than a tenth of that.
pub(crate) const LAG_MAX: Duration = Duration::from_millis(30);
/// How long a leader whose predecessor lagged too keeps its epoch before it offers it for lag;
/// doubles with each further takeover of that kind in a row.
pub(crate) const LAG_OFFER_PAUSE: Duration = Duration::from_secs(10);
/// How often [`LAG_OFFER_PAUSE`] doubles at most.
pub(crate) const LAG_OFFER_PAUSE_DOUBLINGS_MAX: u32 = 4;
/// The ratio of a takeover's duration to the lag from which it is worth while: a lag delays every
/// job a little for as long as it lasts, a takeover delays all of them once.
pub(crate) const TAKEOVER_COST_PER_LAG: u32 = 10;
/// The time for which a takeover stops scheduling, without the part that grows with the workers.
pub(crate) const TAKEOVER_COST_BASE: Duration = Duration::from_millis(300);
/// The time for which a takeover stops scheduling, for each worker: a new leader connects to all of
/// them and waits for their first renewals.
pub(crate) const TAKEOVER_COST_PER_WORKER: Duration = Duration::from_millis(1);
/// The shortest time between two offers of the epoch to a better instance.
pub(crate) const OFFER_PAUSE: Duration = Duration::from_secs(1);
/// The age of the last confirmation of its epoch from which an idle leader reads the head row, and
/// the period at which it repeats such reads.
pub(crate) const CONFIRM_PERIOD: Duration = Duration::from_millis(400);
/// The timeout of such a read; a slow store answers within half of it.
pub(crate) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);
/// The timeout of a request for a promise, which is of no use much later.
pub(crate) const PROMISE_TIMEOUT: Duration = Duration::from_millis(300);
/// The period at which a leaving leader offers its epoch until another instance has claimed it.
pub(crate) const HANDOVER_OFFER_PERIOD: Duration = Duration::from_millis(300);
/// How often a leaving leader offers its epoch to an instance before it offers it to the next one: a
/// claim at a slow store takes longer than one period.
pub(crate) const OFFERS_TO_A_SUCCESSOR: usize = 2;
