//! The actor: it owns the state and performs what the state decides.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_ports::Table;
use jackdawchute_publish::Subscribers;
use jackdawchute_timer::{Subscribe, Tick, TimerTask};
use jackdawchute_types::{FailureDomainId, IncarnationId};
use smol_str::SmolStr;
use spdlog::{info, warn};
use tokio::sync::oneshot;
use xtra::{prelude::*, refcount::Weak, WeakAddress};

use crate::{
    calls::{self, Finished, Way},
    effect::{AppendId, Effect},
    messages::{Call, Incoming, LeaseExpiry, PeerCalls, Reply},
    state::{Identity, State},
    Append, DesiredGroups, Directory, GroupEvent, HandOver, LeaseState, ReportConfiguration,
    Result, Timing,
};

/// What an ownership task needs.
#[derive(Clone)]
pub struct Options {
    /// This start of the instance; never used before.
    pub incarnation: IncarnationId,
    /// Where its peer listener is.
    pub peer_address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The way to other instances.
    pub peers: Arc<dyn PeerCalls>,
    /// The clock.
    pub timer: Address<TimerTask>,
    /// Periods and limits.
    pub timing: Timing,
}

/// Owns groups for one incarnation; made by [`spawn`].
#[derive(xtra::Actor)]
pub struct OwnershipTask {
    pub(crate) state: State,
    table: Arc<dyn Table>,
    peers: Arc<dyn PeerCalls>,
    appends: HashMap<AppendId, oneshot::Sender<Result<()>>>,
    next_append: AppendId,
    hand_overs: Vec<oneshot::Sender<Result<()>>>,
    pub(crate) groups: Vec<(SmolStr, MessageChannel<GroupEvent, (), Weak>)>,
    pub(crate) directories: Subscribers<Arc<Directory>>,
    pub(crate) directory: Arc<Directory>,
    revision: u64,
    pub(crate) lease_states: Subscribers<LeaseState>,
    pub(crate) lease_state: LeaseState,
    pub(crate) leases: Subscribers<LeaseExpiry>,
    pub(crate) lease: Option<Instant>,
    incarnation: IncarnationId,
    timeout: Duration,
}

/// Starts an ownership task on the current tokio runtime.
///
/// ```
/// use std::sync::Arc;
/// use jackdawchute_ownership::{spawn, NoPeers, Options, Timing};
/// use jackdawchute_ports::MemoryTable;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let ownership = spawn(Options {
///     incarnation: "entry-1/1".into(),
///     peer_address: "127.0.0.1:7000".parse().unwrap(),
///     failure_domain: "ala-1".into(),
///     table: Arc::new(MemoryTable::default()),
///     peers: Arc::new(NoPeers),
///     timer: jackdawchute_timer::spawn(),
///     timing: Timing::default(),
/// });
/// assert!(ownership.is_connected());
/// # }
/// ```
pub fn spawn(options: Options) -> Address<OwnershipTask> {
    let identity = Identity {
        incarnation: options.incarnation.clone(),
        peer_address: options.peer_address,
        failure_domain: options.failure_domain,
    };
    let task = OwnershipTask {
        state: State::new(identity, options.timing),
        table: options.table,
        peers: options.peers,
        appends: HashMap::new(),
        next_append: 0,
        hand_overs: Vec::new(),
        groups: Vec::new(),
        directories: Subscribers::default(),
        directory: Arc::default(),
        revision: 0,
        lease_states: Subscribers::default(),
        lease_state: LeaseState::CutOff,
        leases: Subscribers::default(),
        lease: None,
        incarnation: options.incarnation,
        timeout: options.timing.call_timeout,
    };
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    let subscription = Subscribe {
        period: options.timing.tick_period,
        subscriber: MessageChannel::new(address.downgrade()),
    };
    let weak = address.downgrade();
    tokio::spawn(begin(options.timer, subscription, weak));
    address
}

async fn begin(
    timer: Address<TimerTask>,
    subscription: Subscribe,
    task: WeakAddress<OwnershipTask>,
) {
    let now = Instant::now();
    let _ = task.send(Tick { now }).detach().await;
    let _ = timer.send(subscription).await;
}

impl OwnershipTask {
    /// Performs effects, then publishes what they changed.
    async fn perform(&mut self, effects: Vec<Effect>, context: &Context<Self>) {
        for effect in effects {
            match effect {
                Effect::Answer(append, result) => self.answer(append, result),
                Effect::DropAppend(append) => drop(self.appends.remove(&append)),
                Effect::Publish(event) => self.publish(event).await,
                Effect::HandedOver(result) => self.handed_over(&result),
                Effect::CallPeer { .. }
                | Effect::Commit(..)
                | Effect::ReadOwnRow(..)
                | Effect::Scan { .. }
                | Effect::Load { .. }
                | Effect::ListJournal(..) => {
                    self.start(effect, context);
                }
            }
        }
        self.publish_changes().await;
    }

    /// Runs a call outside of the task; its result comes back as a message.
    fn start(&self, effect: Effect, context: &Context<Self>) {
        let way = Way {
            me: self.incarnation.clone(),
            table: Arc::clone(&self.table),
            peers: Arc::clone(&self.peers),
            timeout: self.timeout,
        };
        tokio::spawn(calls::run(effect, way, context.mailbox().address()));
    }

    fn answer(&mut self, append: AppendId, result: Result<()>) {
        if let Some(reply) = self.appends.remove(&append) {
            let _ = reply.send(result);
        }
    }

    fn handed_over(&mut self, result: &Result<()>) {
        for reply in self.hand_overs.drain(..) {
            let _ = reply.send(result.clone());
        }
    }

    async fn publish(&mut self, event: GroupEvent) {
        let group = match &event {
            GroupEvent::Claimed {
                group,
                epoch,
                entries,
                fenced_owner,
            } => {
                info!(
                    "adopted group {} at epoch {} with {} entries, fenced {:?}",
                    group,
                    epoch,
                    entries.len(),
                    fenced_owner
                );
                group
            }
            GroupEvent::Lost { group } => {
                info!("gave up group {}", group);
                group
            }
        };
        self.groups.retain(|(_, channel)| channel.is_connected());
        for (prefix, channel) in &self.groups {
            if group.starts_with(prefix.as_str()) {
                let _ = channel.send(event.clone()).detach().await;
            }
        }
    }

    async fn publish_changes(&mut self) {
        let now = Instant::now();
        let lease_state = self.state.lease_state(now);
        if lease_state != self.lease_state {
            warn!(
                "standing of {} changed from {:?} to {:?}",
                self.incarnation, self.lease_state, lease_state
            );
            self.lease_state = lease_state;
            self.lease_states.publish(lease_state).await;
        }
        let lease = self.state.lease_expires_at(now);
        if lease != self.lease {
            self.lease = lease;
            self.leases.publish(LeaseExpiry(lease.unwrap_or(now))).await;
        }
        self.publish_directory().await;
    }

    async fn publish_directory(&mut self) {
        if self.state.revision() == self.revision {
            return;
        }
        self.revision = self.state.revision();
        let directory = self.state.directory();
        if directory != *self.directory {
            self.directory = Arc::new(directory);
            self.directories.publish(Arc::clone(&self.directory)).await;
        }
    }
}

impl Handler<Tick> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        // The tick may have waited in the mailbox while the process was paused.
        let effects = self.state.tick(Instant::now());
        self.perform(effects, context).await;
    }
}

impl Handler<Finished> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, finished: Finished, context: &mut Context<Self>) {
        let now = Instant::now();
        let state = &mut self.state;
        let effects = match finished {
            Finished::Commit(write_id, result) => state.committed(&write_id, result, now),
            Finished::OwnRow(write_id, row) => state.own_row_read(&write_id, row, now),
            Finished::Scan(changes) => state.scanned(changes, now),
            Finished::Load(groups, journals) => state.loaded(&groups, journals, now),
            Finished::ListJournal(incarnation, rows) => state.listed(incarnation, rows, now),
            Finished::CallPeer {
                peer,
                write_id,
                asked,
                answer,
            } => state.peer_answered(&peer, &write_id, asked, answer, now),
        };
        self.perform(effects, context).await;
    }
}

impl Handler<Append> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, append: Append, context: &mut Context<Self>) {
        self.next_append += 1;
        self.appends.insert(self.next_append, append.reply);
        let effects = self
            .state
            .append(self.next_append, append.entries, Instant::now());
        self.perform(effects, context).await;
    }
}

impl Handler<DesiredGroups> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, desired: DesiredGroups, context: &mut Context<Self>) {
        let effects = self.state.set_desired_groups(desired.0, Instant::now());
        self.perform(effects, context).await;
    }
}

impl Handler<ReportConfiguration> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, report: ReportConfiguration, context: &mut Context<Self>) {
        let effects = self.state.report(report.0, Instant::now());
        self.perform(effects, context).await;
    }
}

impl Handler<HandOver> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, hand_over: HandOver, context: &mut Context<Self>) {
        self.hand_overs.push(hand_over.reply);
        let effects = self.state.hand_over(Instant::now());
        self.perform(effects, context).await;
    }
}

impl Handler<Incoming> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, incoming: Incoming, context: &mut Context<Self>) {
        match incoming.call {
            Call::RowsChanged => {
                let _ = incoming.reply.send(Reply::Acknowledged);
                let effects = self.state.rows_changed(Instant::now());
                self.perform(effects, context).await;
            }
            Call::Announce {
                incarnation,
                peer_address,
            } => {
                let _ = incoming.reply.send(Reply::Acknowledged);
                let now = Instant::now();
                let effects = self.state.announced(incarnation, peer_address, now);
                self.perform(effects, context).await;
            }
            Call::ForwardCommit { holder, commit } => {
                let table = Arc::clone(&self.table);
                let address = context.mailbox().address();
                let timeout = self.timeout;
                let forward =
                    calls::forward(table, address, holder, commit, incoming.reply, timeout);
                tokio::spawn(forward);
            }
        }
    }
}

impl Handler<calls::AskHoldOff> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, ask: calls::AskHoldOff, _context: &mut Context<Self>) {
        let reply = Reply::CommitNotForwarded {
            incarnation: self.incarnation.clone(),
            hold_off: self.state.hold_off(&ask.holder, Instant::now()),
            in_doubt: ask.in_doubt,
        };
        let _ = ask.reply.send(reply);
    }
}
