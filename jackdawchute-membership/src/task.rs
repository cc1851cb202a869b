//! The task that polls the platform's membership list.

use std::{sync::Arc, time::Duration};

use jackdawchute_ports::{MembershipList, MembershipSource, Result};
use jackdawchute_publish::Subscribers;
use jackdawchute_timer::{Tick, TimerTask};
use spdlog::prelude::*;
use xtra::{prelude::*, refcount::Weak};

use crate::{state::Change, Current, SetLeavingDomains, State, Subscribe};

/// The parameters of a membership task.
pub struct Options {
    /// The service that the list is read from.
    pub source: Arc<dyn MembershipSource>,
    /// Sends the ticks at which the list is read.
    pub timer: Address<TimerTask>,
    /// The time between two reads.
    pub poll_interval: Duration,
}

/// Reads each newer version of the list and publishes it to the subscribers.
#[derive(xtra::Actor)]
pub struct MembershipTask {
    source: Arc<dyn MembershipSource>,
    state: State,
    subscribers: Subscribers<Arc<MembershipList>>,
    is_reading: bool,
    is_source_reachable: bool,
}

/// The result of one read, which runs in a tokio task and is sent back as a message.
struct ReadFinished(Result<Option<MembershipList>>);

/// Starts the task on the current tokio runtime; it reads the list at once.
///
/// ```
/// use std::{sync::Arc, time::Duration};
///
/// use jackdawchute_membership::{spawn, Options};
/// use jackdawchute_ports::{MembershipList, MembershipSource, Result};
///
/// struct Empty;
///
/// #[async_trait::async_trait]
/// impl MembershipSource for Empty {
///     async fn changed_since(&self, _known_version: u64) -> Result<Option<MembershipList>> {
///         Ok(Some(MembershipList::default()))
///     }
/// }
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let membership = spawn(Options {
///     source: Arc::new(Empty),
///     timer: jackdawchute_timer::spawn(),
///     poll_interval: Duration::from_secs(1),
/// });
/// assert!(membership.is_connected());
/// # }
/// ```
pub fn spawn(options: Options) -> Address<MembershipTask> {
    let task = MembershipTask {
        source: options.source,
        state: State::default(),
        subscribers: Subscribers::default(),
        is_reading: false,
        is_source_reachable: true,
    };
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    tokio::spawn(start_polling(
        address.downgrade(),
        options.timer,
        options.poll_interval,
    ));
    address
}

async fn start_polling(
    task: Address<MembershipTask, Weak>,
    timer: Address<TimerTask>,
    period: Duration,
) {
    let subscription = jackdawchute_timer::Subscribe {
        period,
        subscriber: MessageChannel::new(task.clone()),
    };
    let first_tick = Tick {
        now: std::time::Instant::now(),
    };
    let _ = task.send(first_tick).await;
    let _ = timer.send(subscription).await;
}

impl Handler<Subscribe> for MembershipTask {
    type Return = ();

    async fn handle(&mut self, message: Subscribe, _context: &mut Context<Self>) {
        if let Some(list) = self.state.list() {
            let _ = message.subscriber.send(list).detach().await;
        }
        self.subscribers.add(message.subscriber);
    }
}

impl Handler<Current> for MembershipTask {
    type Return = Option<Arc<MembershipList>>;

    async fn handle(&mut self, _message: Current, _context: &mut Context<Self>) -> Self::Return {
        self.state.list()
    }
}

impl Handler<SetLeavingDomains> for MembershipTask {
    type Return = ();

    async fn handle(&mut self, message: SetLeavingDomains, _context: &mut Context<Self>) {
        let SetLeavingDomains(domains) = message;
        let changes = self.state.set_leaving_domains(domains);
        self.publish(changes).await;
    }
}

impl Handler<Tick> for MembershipTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        if self.is_reading {
            return;
        }
        self.is_reading = true;
        let source = Arc::clone(&self.source);
        let known_version = self.state.version();
        let task = context.mailbox().address();
        tokio::spawn(async move {
            let result = source.changed_since(known_version).await;
            let _ = task.send(ReadFinished(result)).await;
        });
    }
}

impl Handler<ReadFinished> for MembershipTask {
    type Return = ();

    async fn handle(&mut self, ReadFinished(result): ReadFinished, _context: &mut Context<Self>) {
        self.is_reading = false;
        match result {
            Ok(list) => {
                self.log_recovery();
                let changes = list.and_then(|list| self.state.update(list));
                self.publish(changes).await;
            }
            Err(error) => self.log_failure(&error),
        }
    }
}

impl MembershipTask {
    async fn publish(&mut self, changes: Option<Vec<Change>>) {
        let Some(changes) = changes else {
            return;
        };
        info!("membership list changed", kv: { version = self.state.version(), changes = changes.len() });
        if let Some(list) = self.state.list() {
            self.subscribers.publish(list).await;
        }
    }

    /// Logs the first answer after an outage of the source.
    fn log_recovery(&mut self) {
        if !self.is_source_reachable {
            info!("membership service is reachable again");
            self.is_source_reachable = true;
        }
    }

    /// Logs only the first of consecutive failures, as an outage can last for hours.
    fn log_failure(&mut self, error: &jackdawchute_ports::Error) {
        if self.is_source_reachable {
            warn!(
                "cannot read the membership list, the last one stays in use: {}",
                error
            );
            self.is_source_reachable = false;
        }
    }
}
