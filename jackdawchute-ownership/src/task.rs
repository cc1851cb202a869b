//! The ownership task: owns the state and performs the effects that the state returns.

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
    calls::{self, CallFinished, CallTargets},
    effect::{AppendId, Effect},
    messages::{Call, Incoming, LeaseExpiry, PeerCalls, Reply},
    state::{Identity, State},
    Append, DesiredGroups, Directory, GroupEvent, HandOver, LeaseState, ReportConfiguration,
    Result, Timing,
};

/// The parameters of an ownership task.
#[derive(Clone)]
pub struct Options {
    /// The id of this start of the instance; never used before.
    pub incarnation: IncarnationId,
    /// The address of its peer listener.
    pub peer_address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// The platform's table service.
    pub table: Arc<dyn Table>,
    /// Sends calls to other instances.
    pub peers: Arc<dyn PeerCalls>,
    /// Sends the ticks.
    pub timer: Address<TimerTask>,
    /// The periods, timeouts and limits.
    pub timing: Timing,
}

/// Owns groups for one incarnation; started by [`spawn`].
#[derive(xtra::Actor)]
pub struct OwnershipTask {
    pub(crate) state: State,
    table: Arc<dyn Table>,
    peers: Arc<dyn PeerCalls>,
    append_replies: HashMap<AppendId, oneshot::Sender<Result<()>>>,
    next_append: AppendId,
    hand_over_replies: Vec<oneshot::Sender<Result<()>>>,
    pub(crate) group_subscribers: Vec<(SmolStr, MessageChannel<GroupEvent, (), Weak>)>,
    pub(crate) directory_subscribers: Subscribers<Arc<Directory>>,
    pub(crate) directory: Arc<Directory>,
    published_revision: u64,
    pub(crate) lease_state_subscribers: Subscribers<LeaseState>,
    pub(crate) lease_state: LeaseState,
    pub(crate) lease_expiry_subscribers: Subscribers<LeaseExpiry>,
    pub(crate) lease_expiry: Option<Instant>,
    incarnation: IncarnationId,
    call_timeout: Duration,
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
        append_replies: HashMap::new(),
        next_append: 0,
        hand_over_replies: Vec::new(),
        group_subscribers: Vec::new(),
        directory_subscribers: Subscribers::default(),
        directory: Arc::default(),
        published_revision: 0,
        lease_state_subscribers: Subscribers::default(),
        lease_state: LeaseState::CutOff,
        lease_expiry_subscribers: Subscribers::default(),
        lease_expiry: None,
        incarnation: options.incarnation,
        call_timeout: options.timing.call_timeout,
    };
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    let subscription = Subscribe {
        period: options.timing.tick_period,
        subscriber: MessageChannel::new(address.downgrade()),
    };
    let weak = address.downgrade();
    tokio::spawn(start_ticking(options.timer, subscription, weak));
    address
}

async fn start_ticking(
    timer: Address<TimerTask>,
    subscription: Subscribe,
    task: WeakAddress<OwnershipTask>,
) {
    let now = Instant::now();
    let _ = task.send(Tick { now }).detach().await;
    let _ = timer.send(subscription).await;
}

impl OwnershipTask {
    /// Performs effects, then publishes the values that they changed.
    async fn perform(&mut self, effects: Vec<Effect>, context: &Context<Self>) {
        for effect in effects {
            match effect {
                Effect::AnswerAppend(append, result) => self.answer_append(append, result),
                Effect::DropAppend(append) => drop(self.append_replies.remove(&append)),
                Effect::Publish(event) => self.publish_group_event(event).await,
                Effect::AnswerHandOvers(result) => self.answer_hand_overs(&result),
                Effect::CallPeer { .. }
                | Effect::Commit(..)
                | Effect::ReadOwnRow(..)
                | Effect::Scan { .. }
                | Effect::LoadJournals { .. }
                | Effect::ListJournal(..) => {
                    self.start_call(effect, context);
                }
            }
        }
        self.publish_changes().await;
    }

    /// Runs a call in a tokio task; its result comes back as a message.
    fn start_call(&self, effect: Effect, context: &Context<Self>) {
        let targets = CallTargets {
            me: self.incarnation.clone(),
            table: Arc::clone(&self.table),
            peers: Arc::clone(&self.peers),
            call_timeout: self.call_timeout,
        };
        tokio::spawn(calls::run(effect, targets, context.mailbox().address()));
    }

    fn answer_append(&mut self, append: AppendId, result: Result<()>) {
        if let Some(reply) = self.append_replies.remove(&append) {
            let _ = reply.send(result);
        }
    }

    fn answer_hand_overs(&mut self, result: &Result<()>) {
        for reply in self.hand_over_replies.drain(..) {
            let _ = reply.send(result.clone());
        }
    }

    async fn publish_group_event(&mut self, event: GroupEvent) {
        let group = match &event {
            GroupEvent::Claimed {
                group,
                epoch,
                entries,
                fenced_owner,
            } => {
                info!(
                    "claimed group {} at epoch {}: {} entries replayed, fenced owner {:?}",
                    group,
                    epoch,
                    entries.len(),
                    fenced_owner
                );
                group
            }
            GroupEvent::Lost { group } => {
                info!("no longer serving group {}", group);
                group
            }
        };
        self.group_subscribers
            .retain(|(_, channel)| channel.is_connected());
        for (prefix, channel) in &self.group_subscribers {
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
                "owner lease state of {} changed from {:?} to {:?}",
                self.incarnation, self.lease_state, lease_state
            );
            self.lease_state = lease_state;
            self.lease_state_subscribers.publish(lease_state).await;
        }
        let expiry = self.state.lease_expires_at(now);
        if expiry != self.lease_expiry {
            self.lease_expiry = expiry;
            self.lease_expiry_subscribers
                .publish(LeaseExpiry(expiry.unwrap_or(now)))
                .await;
        }
        self.publish_directory().await;
    }

    async fn publish_directory(&mut self) {
        if self.state.revision() == self.published_revision {
            return;
        }
        self.published_revision = self.state.revision();
        let directory = self.state.directory();
        if directory != *self.directory {
            self.directory = Arc::new(directory);
            self.directory_subscribers
                .publish(Arc::clone(&self.directory))
                .await;
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

impl Handler<CallFinished> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, finished: CallFinished, context: &mut Context<Self>) {
        let now = Instant::now();
        let state = &mut self.state;
        let effects = match finished {
            CallFinished::Commit(write_id, result) => state.commit_finished(&write_id, result, now),
            CallFinished::OwnRow(write_id, row) => state.own_row_read(&write_id, row, now),
            CallFinished::Scan(rows) => state.scanned(rows, now),
            CallFinished::LoadJournals(groups, journals) => {
                state.journals_loaded(&groups, journals, now)
            }
            CallFinished::ListJournal(incarnation, rows) => {
                state.journal_listed(incarnation, rows, now)
            }
            CallFinished::CallPeer {
                peer,
                write_id,
                asked_at,
                answer,
            } => state.peer_answered(&peer, &write_id, asked_at, answer, now),
        };
        self.perform(effects, context).await;
    }
}

impl Handler<Append> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, append: Append, context: &mut Context<Self>) {
        self.next_append += 1;
        self.append_replies.insert(self.next_append, append.reply);
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
        let effects = self.state.report_configuration(report.0, Instant::now());
        self.perform(effects, context).await;
    }
}

impl Handler<HandOver> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, hand_over: HandOver, context: &mut Context<Self>) {
        self.hand_over_replies.push(hand_over.reply);
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
                let call_timeout = self.call_timeout;
                let forward =
                    calls::forward(table, address, holder, commit, incoming.reply, call_timeout);
                tokio::spawn(forward);
            }
        }
    }
}

impl Handler<calls::RequestPromise> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, request: calls::RequestPromise, _context: &mut Context<Self>) {
        let reply = Reply::CommitNotForwarded {
            incarnation: self.incarnation.clone(),
            hold_off: self.state.give_promise(&request.holder, Instant::now()),
            outcome_unknown: request.outcome_unknown,
        };
        let _ = request.reply.send(reply);
    }
}
