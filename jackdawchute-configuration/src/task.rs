//! The task that reads the table and asks the peers.

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

/// What the task needs.
pub struct Options {
    /// Where the accepted configuration is kept.
    pub table: Arc<dyn Table>,
    /// Who is asked while the table does not answer.
    pub peers: Arc<dyn PeerCalls>,
    /// Tells it when to read.
    pub timer: Address<TimerTask>,
    /// The time between two reads of the table.
    pub poll_interval: Duration,
    /// How long a confirmation holds.
    pub confirm_time: Duration,
}

/// Keeps the configuration in use and sends it to its subscribers.
#[derive(xtra::Actor)]
pub struct ConfigurationTask {
    table: Arc<dyn Table>,
    peers: Arc<dyn PeerCalls>,
    state: State,
    subscribers: Subscribers<Arc<Configuration>>,
    confirmation: Confirmation,
    confirmation_subscribers: Subscribers<Confirmation>,
    failure_logged: bool,
    row_readable: bool,
}

/// The result of one read of the table, sent by the call to the task itself.
struct TableDone {
    sent: Instant,
    result: jackdawchute_ports::Result<Scan>,
}

/// The answers of one round of calls, sent by the calls to the task itself.
struct PeersDone {
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
        failure_logged: false,
        row_readable: true,
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
    let first = Tick {
        now: Instant::now(),
    };
    let _ = task.send(first).await;
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
        let plan = self.state.plan();
        self.carry_out(plan, context);
        self.publish(false).await;
    }
}

impl Handler<TableDone> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, done: TableDone, context: &mut Context<Self>) {
        let read = self.decode(done.result);
        let failed = read == TableRead::Failed;
        let newer = self.state.on_table(done.sent, read);
        if failed {
            let plan = self.state.plan_after_failure();
            self.carry_out(plan, context);
        }
        self.publish(newer).await;
    }
}

impl Handler<PeersDone> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, done: PeersDone, _context: &mut Context<Self>) {
        let newer = self.state.on_peers(done.sent, done.answers);
        self.publish(newer).await;
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
        let newer = self
            .state
            .update_committed(message.configuration, message.table_version);
        let plan = self.state.plan();
        self.carry_out(plan, context);
        self.publish(newer).await;
    }
}

impl Handler<Incoming> for ConfigurationTask {
    type Return = ();

    async fn handle(&mut self, message: Incoming, _context: &mut Context<Self>) {
        match message.call {
            Call::Query { known_version } => {
                let held = self
                    .state
                    .known_configuration(known_version, Instant::now());
                let _ = message.reply.send(Reply::Known(held));
            }
            Call::Offer {
                configuration,
                table_version,
            } => {
                let newer = self.state.update_committed(*configuration, table_version);
                self.publish(newer).await;
                let _ = message.reply.send(Reply::Offered);
            }
        }
    }
}

impl ConfigurationTask {
    fn carry_out(&self, plan: Plan, context: &Context<Self>) {
        let task = context.mailbox().address();
        if plan.read_table {
            let table = Arc::clone(&self.table);
            tokio::spawn(read_table(table, self.state.table_version(), task.clone()));
        }
        if plan.ask_peers {
            let call = Call::Query {
                known_version: self.state.version(),
            };
            tokio::spawn(ask_peers(Arc::clone(&self.peers), call, task));
        }
    }

    fn decode(&mut self, result: jackdawchute_ports::Result<Scan>) -> TableRead {
        let scan = match result {
            Ok(scan) => scan,
            Err(error) => {
                self.log_failure(&error);
                return TableRead::Failed;
            }
        };
        self.failure_logged = false;
        let row = scan.rows.iter().find(|row| row.key == CURRENT_KEY);
        let stored = row.map(|row| Stored::read("read configuration", row));
        let stored = stored.transpose().map(Option::flatten);
        self.log_unreadable(stored.as_ref().err());
        match stored {
            Ok(stored) => TableRead::Changes {
                configuration: stored.map(|stored| Box::new(stored.configuration)),
                table_version: scan.version,
            },
            Err(_) => TableRead::Unreadable,
        }
    }

    /// Tells the subscribers what changed.
    async fn publish(&mut self, newer: bool) {
        if let Some(current) = self.state.current().filter(|_| newer) {
            info!("configuration in use", kv: { version = current.version });
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
                info!("configuration confirmed", kv: { version = self.state.version() });
            }
            (Confirmation::Confirmed { .. }, Confirmation::Unconfirmed) => {
                warn!("configuration not confirmed; no new work is taken");
            }
            _ => {}
        }
    }

    /// Logs the first failure of a row of failures only, as an outage can last for hours.
    fn log_failure(&mut self, error: &jackdawchute_ports::Error) {
        if !self.failure_logged {
            warn!("configuration not read; peers are asked: {}", error);
        }
        self.failure_logged = true;
    }

    fn log_unreadable(&mut self, error: Option<&crate::Error>) {
        if let Some(error) = error.filter(|_| self.row_readable) {
            error!("{}", error);
        }
        self.row_readable = error.is_none();
    }
}

async fn read_table(
    table: Arc<dyn Table>,
    changed_after: u64,
    task: Address<ConfigurationTask, Weak>,
) {
    let sent = Instant::now();
    let result = table.scan(CURRENT_KEY, changed_after).await;
    let _ = task.send(TableDone { sent, result }).await;
}

async fn ask_peers(peers: Arc<dyn PeerCalls>, call: Call, task: Address<ConfigurationTask, Weak>) {
    let sent = Instant::now();
    let answers = peers.ask(call).await;
    let _ = task.send(PeersDone { sent, answers }).await;
}
