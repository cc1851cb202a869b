//! The task that reads the table, asks the peers and publishes the configuration in use.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_ports::{Scan, Table};
use jackdawchute_publish::Subscribers;
use jackdawchute_timer::{Tick, TimerTask};
use spdlog::prelude::*;
use xtra::{prelude::*, refcount::Weak};

use crate::{
    rows::Stored, Accepted, Call, Configuration, Confirmation, Current, Incoming, PeerAnswers,
    PeerCalls, Plan, Reply, State, Subscribe, SubscribeConfirmation, TableRead, CURRENT_KEY,
};

/// The table, peers and timer that the configuration task uses, and its settings.
pub struct Options {
    /// The table that holds the accepted configuration.
    pub table: Arc<dyn Table>,
    /// The peers, which are asked while the table does not answer.
    pub peers: Arc<dyn PeerCalls>,
    /// The timer whose ticks start the reads of the table.
    pub timer: Address<TimerTask>,
    /// The time between two reads of the table.
    pub poll_interval: Duration,
    /// How long the version in use stays confirmed after the sending of the read or query that
    /// confirmed it.
    pub confirm_time: Duration,
}

/// Keeps the configuration in use up to date, and publishes it and its confirmation.
#[derive(xtra::Actor)]
pub struct ConfigurationTask {
    table: Arc<dyn Table>,
    peers: Arc<dyn PeerCalls>,
    state: State,
    subscribers: Subscribers<Arc<Configuration>>,
    /// The confirmation that was last published.
    confirmation: Confirmation,
    confirmation_subscribers: Subscribers<Confirmation>,
    /// Whether the current series of failed reads has been logged.
    read_failure_logged: bool,
    /// Whether the last row that was read could be decoded; only the first of consecutive failures
    /// is logged.
    row_decodable: bool,
}

/// The result of one read of the table, which the spawned read sends to the task.
struct TableReadDone {
    sent: Instant,
    result: jackdawchute_ports::Result<Scan>,
}

/// The answers of the peers to one query, which the spawned query sends to the task.
struct PeerQueryDone {
    sent: Instant,
    answers: PeerAnswers,
}

/// Starts the task on the current tokio runtime; it reads the table at once.
///
/// ```
/// use std::{sync::Arc, time::Duration};
///
/// use jackdawchute_configuration::{spawn, Current, NoPeers, Options};
/// use jackdawchute_ports::MemoryTable;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), xtra::Error> {
/// let configuration = spawn(Options {
///     table: Arc::new(MemoryTable::default()),
///     peers: Arc::new(NoPeers),
///     timer: jackdawchute_timer::spawn(),
///     poll_interval: Duration::from_secs(1),
///     confirm_time: Duration::from_secs(10),
/// });
/// assert!(configuration.send(Current).await?.is_none());
/// # Ok(())
/// # }
/// ```
pub fn spawn(options: Options) -> Address<ConfigurationTask> {
    let task = ConfigurationTask {
        table: options.table,
        peers: options.peers,
        state: State::new(options.confirm_time),
        subscribers: Subscribers::default(),
        confirmation: Confirmation::Unconfirmed,
        confirmation_subscribers: Subscribers::default(),
        read_failure_logged: false,
        row_decodable: true,
    };
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    let weak = address.downgrade();
    tokio::spawn(start(weak, options.timer, options.poll_interval));
    address
}

async fn start(
    task: Address<ConfigurationTask, Weak>,
    timer: Address<TimerTask>,
    period: Duration,
) {
    let subscription = jackdawchute_timer::Subscribe {
        period,
        subscriber: MessageChannel::new(task.clone()),
    };
    let first_tick = Tick {
        now: Instant::now(),
    };
    let _ = task.send(first_tick).await;
    let _ = timer.send(subscription).await;
}

impl Handler<Subscribe> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, message: Subscribe, _context: &mut Context<Self>) {
        if let Some(current) = self.state.current() {
            let _ = message.subscriber.send(current).detach().await;
        }
        self.subscribers.add(message.subscriber);
    }
}

impl Handler<SubscribeConfirmation> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, message: SubscribeConfirmation, _context: &mut Context<Self>) {
        let _ = message.subscriber.send(self.confirmation).detach().await;
        self.confirmation_subscribers.add(message.subscriber);
    }
}

impl Handler<Current> for ConfigurationTask {
    type Return = Option<Arc<Configuration>>;

    async fn handle(&mut self, _message: Current, _context: &mut Context<Self>) -> Self::Return {
        self.state.current()
    }
}

impl Handler<Tick> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        let plan = self.state.plan_poll();
        self.execute(plan, context);
        self.publish(false).await;
    }
}

impl Handler<TableReadDone> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, done: TableReadDone, context: &mut Context<Self>) {
        let read = self.decode_scan(done.result);
        let failed = read == TableRead::Failed;
        let updated = self.state.on_table_read(done.sent, read);
        if failed {
            let plan = self.state.plan_after_failed_read();
            self.execute(plan, context);
        }
        self.publish(updated).await;
    }
}

impl Handler<PeerQueryDone> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, done: PeerQueryDone, _context: &mut Context<Self>) {
        let updated = self.state.on_peer_answers(done.sent, done.answers);
        self.publish(updated).await;
    }
}

impl Handler<Accepted> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, message: Accepted, context: &mut Context<Self>) {
        let call = Call::Offer {
            configuration: Box::new(message.configuration.clone()),
            table_version: message.table_version,
        };
        let peers = Arc::clone(&self.peers);
        tokio::spawn(async move {
            peers.ask(call).await;
            let _ = message.reply.send(());
        });
        let updated = self
            .state
            .update_committed(message.configuration, message.table_version);
        let plan = self.state.plan_poll();
        self.execute(plan, context);
        self.publish(updated).await;
    }
}

impl Handler<Incoming> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, message: Incoming, _context: &mut Context<Self>) {
        match message.call {
            Call::Query { known_version } => {
                let known = self
                    .state
                    .known_configuration(known_version, Instant::now());
                let _ = message.reply.send(Reply::Known(known));
            }
            Call::Offer {
                configuration,
                table_version,
            } => {
                let updated = self.state.update_committed(*configuration, table_version);
                self.publish(updated).await;
                let _ = message.reply.send(Reply::Offered);
            }
        }
    }
}

impl ConfigurationTask {
    /// Spawns the calls of `plan`; each sends its result to this task.
    fn execute(&self, plan: Plan, context: &Context<Self>) {
        let task = context.mailbox().address();
        if plan.read_table {
            let table = Arc::clone(&self.table);
            tokio::spawn(read_table(table, self.state.table_version(), task.clone()));
        }
        if plan.ask_peers {
            let call = Call::Query {
                known_version: self.state.version(),
            };
            tokio::spawn(query_peers(Arc::clone(&self.peers), call, task));
        }
    }

    fn decode_scan(&mut self, result: jackdawchute_ports::Result<Scan>) -> TableRead {
        let scan = match result {
            Ok(scan) => scan,
            Err(error) => {
                self.log_read_failure(&error);
                return TableRead::Failed;
            }
        };
        self.read_failure_logged = false;
        let row = scan.rows.iter().find(|row| row.key == CURRENT_KEY);
        let stored = row.map(|row| Stored::decode("read configuration", row));
        let stored = stored.transpose().map(Option::flatten);
        self.log_undecodable_row(stored.as_ref().err());
        match stored {
            Ok(stored) => TableRead::Changes {
                configuration: stored.map(|stored| Box::new(stored.configuration)),
                table_version: scan.version,
            },
            Err(_) => TableRead::Unreadable,
        }
    }

    /// Publishes the configuration in use if it was `updated`, and the confirmation if it differs
    /// from the one published last.
    async fn publish(&mut self, updated: bool) {
        if let Some(current) = self.state.current().filter(|_| updated) {
            info!("now using a newer configuration", kv: { version = current.version });
            self.subscribers.publish(current).await;
        }
        let confirmation = self.state.confirmation(Instant::now());
        if confirmation != self.confirmation {
            self.log_confirmation(confirmation);
            self.confirmation = confirmation;
            self.confirmation_subscribers.publish(confirmation).await;
        }
    }

    fn log_confirmation(&self, new: Confirmation) {
        match (self.confirmation, new) {
            (Confirmation::Unconfirmed, Confirmation::Confirmed { .. }) => {
                info!("configuration in use confirmed", kv: { version = self.state.version() });
            }
            (Confirmation::Confirmed { .. }, Confirmation::Unconfirmed) => {
                warn!("configuration in use no longer confirmed; accepting no new work");
            }
            _ => {}
        }
    }

    /// Logs only the first of consecutive failed reads, because an outage can last for hours.
    fn log_read_failure(&mut self, error: &jackdawchute_ports::Error) {
        if !self.read_failure_logged {
            warn!(
                "reading the configuration failed, asking the peers: {}",
                error
            );
        }
        self.read_failure_logged = true;
    }

    /// Logs only the first of consecutive reads that find a row which cannot be decoded.
    fn log_undecodable_row(&mut self, error: Option<&crate::Error>) {
        if let Some(error) = error.filter(|_| self.row_decodable) {
            error!("{}", error);
        }
        self.row_decodable = error.is_none();
    }
}

async fn read_table(
    table: Arc<dyn Table>,
    changed_after: u64,
    task: Address<ConfigurationTask, Weak>,
) {
    let sent = Instant::now();
    let result = table.scan(CURRENT_KEY, changed_after).await;
    let _ = task.send(TableReadDone { sent, result }).await;
}

async fn query_peers(
    peers: Arc<dyn PeerCalls>,
    call: Call,
    task: Address<ConfigurationTask, Weak>,
) {
    let sent = Instant::now();
    let answers = peers.ask(call).await;
    let _ = task.send(PeerQueryDone { sent, answers }).await;
}
