//! The task: what it reads, whom it asks and what it tells.

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_configuration::{
    apply::apply, spawn, Accepted, Call, Configuration, ConfigurationTask, Confirmation, Current,
    Incoming, KnownConfiguration, Options, PeerAnswer, PeerAnswers, PeerCalls, Reply, Subscribe,
    SubscribeConfirmation,
};
use tokio::sync::{mpsc, oneshot};
use xtra::prelude::*;

use crate::fixtures::{change, configuration, table_at, FaultyTable};

const POLL: Duration = Duration::from_millis(20);
const CONFIRM: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(20);

/// Passes on what it is told.
#[derive(xtra::Actor)]
struct Listener {
    configurations: mpsc::UnboundedSender<u64>,
    confirmations: mpsc::UnboundedSender<bool>,
}

impl Handler<Arc<Configuration>> for Listener {
    type Return = ();

    async fn handle(&mut self, message: Arc<Configuration>, _context: &mut Context<Self>) {
        let _ = self.configurations.send(message.version);
    }
}

impl Handler<Confirmation> for Listener {
    type Return = ();

    async fn handle(&mut self, message: Confirmation, _context: &mut Context<Self>) {
        let confirmed = matches!(message, Confirmation::Confirmed { .. });
        let _ = self.confirmations.send(confirmed);
    }
}

/// Peers that hold a version, or cannot be reached.
#[derive(Default)]
struct FakePeers {
    held: Mutex<Option<KnownConfiguration>>,
    offers: Mutex<Vec<u64>>,
    rounds: AtomicUsize,
}

#[async_trait]
impl PeerCalls for FakePeers {
    async fn ask(&self, call: Call) -> PeerAnswers {
        if let Call::Offer { configuration, .. } = &call {
            let mut offers = self.offers.lock().unwrap_or_else(PoisonError::into_inner);
            offers.push(configuration.version);
        } else {
            self.rounds.fetch_add(1, Ordering::SeqCst);
        }
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let result = held.clone().map(Reply::Known);
        PeerAnswers {
            complete: false,
            answers: vec![PeerAnswer {
                peer: "entry-2".into(),
                result: result.ok_or(jackdawchute_configuration::PeerFailure::Unreachable),
            }],
        }
    }
}

struct Fixture {
    table: Arc<FaultyTable>,
    peers: Arc<FakePeers>,
    task: Address<ConfigurationTask>,
    configurations: mpsc::UnboundedReceiver<u64>,
    confirmations: mpsc::UnboundedReceiver<bool>,
    _listener: Address<Listener>,
}

async fn fixture(table: FaultyTable, held: Option<KnownConfiguration>) -> Fixture {
    let table = Arc::new(table);
    let peers = Arc::new(FakePeers {
        held: Mutex::new(held),
        ..FakePeers::default()
    });
    let task = spawn(Options {
        table: Arc::clone(&table) as _,
        peers: Arc::clone(&peers) as _,
        timer: jackdawchute_timer::spawn(),
        poll_interval: POLL,
        confirm_time: CONFIRM,
    });
    let (configurations_sender, configurations) = mpsc::unbounded_channel();
    let (confirmations_sender, confirmations) = mpsc::unbounded_channel();
    let listener = xtra::spawn_tokio(
        Listener {
            configurations: configurations_sender,
            confirmations: confirmations_sender,
        },
        Mailbox::unbounded(),
    );
    let subscriber = MessageChannel::new(listener.downgrade());
    let subscribed = task.send(Subscribe { subscriber }).await;
    subscribed.expect("the task runs");
    let subscriber = MessageChannel::new(listener.downgrade());
    let subscribed = task.send(SubscribeConfirmation { subscriber }).await;
    subscribed.expect("the task runs");
    Fixture {
        table,
        peers,
        task,
        configurations,
        confirmations,
        _listener: listener,
    }
}

impl Fixture {
    async fn next_version(&mut self) -> u64 {
        let version = tokio::time::timeout(DEADLINE, self.configurations.recv()).await;
        version.ok().flatten().expect("a version is published")
    }

    async fn until_confirmed(&mut self, confirmed: bool) {
        let reached = async { while self.confirmations.recv().await != Some(confirmed) {} };
        let reached = tokio::time::timeout(DEADLINE, reached).await;
        reached.expect("the confirmation changes");
    }
}

fn fresh_peer(version: u64) -> KnownConfiguration {
    KnownConfiguration {
        version,
        configuration: Some(Box::new(configuration(version))),
        confirmed_ago: Some(Duration::ZERO),
        table_answers: true,
    }
}

#[tokio::test]
async fn a_change_by_another_instance_is_published_once_it_is_read() {
    let mut fixture = fixture(table_at(1).await, None).await;
    let first = fixture.next_version().await;

    let accepted = apply(&*fixture.table, change(1, "bogdan")).await;

    accepted.expect("nothing hinders the change");
    assert_eq!((first, fixture.next_version().await), (1, 2));
    fixture.until_confirmed(true).await;
}

#[tokio::test]
async fn an_unchanged_configuration_is_read_once_and_no_peer_is_asked() {
    const POLLS: u32 = 10;
    let mut fixture = fixture(table_at(1).await, None).await;
    fixture.next_version().await;

    for _ in 0..POLLS {
        fixture.until_confirmed(true).await;
    }

    assert_eq!(fixture.table.rows_read.load(Ordering::SeqCst), 1);
    assert_eq!(fixture.peers.rounds.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn at_start_with_the_table_down_it_takes_the_version_of_its_peers() {
    let table = table_at(1).await;
    table.set_down(true);

    let mut fixture = fixture(table, Some(fresh_peer(4))).await;

    assert_eq!(fixture.next_version().await, 4);
    fixture.until_confirmed(true).await;
}

#[tokio::test]
async fn at_start_with_the_table_down_and_no_peer_it_has_no_version() {
    let table = table_at(1).await;
    table.set_down(true);

    let mut fixture = fixture(table, None).await;
    let reached = tokio::time::timeout(CONFIRM, fixture.configurations.recv()).await;

    assert!(reached.is_err());
    let current = fixture.task.send(Current).await;
    assert_eq!(current, Ok(None));
    assert_eq!(fixture.confirmations.recv().await, Some(false));
}

#[tokio::test]
async fn an_instance_cut_from_table_and_peers_says_so_and_recovers() {
    let mut fixture = fixture(table_at(1).await, None).await;
    fixture.until_confirmed(true).await;

    fixture.table.set_down(true);
    fixture.until_confirmed(false).await;
    fixture.table.set_down(false);

    fixture.until_confirmed(true).await;
}

#[tokio::test]
async fn an_accepted_version_is_in_use_at_once_and_offered_before_the_reply() {
    let table = table_at(1).await;
    table.set_down(true);
    let mut fixture = fixture(table, None).await;
    let (reply, done) = oneshot::channel();

    let accepted = Accepted {
        configuration: configuration(2),
        table_version: 2,
        reply,
    };
    fixture.task.send(accepted).await.expect("the task runs");
    done.await.expect("the reply is sent");

    assert_eq!(fixture.next_version().await, 2);
    let offers = fixture
        .peers
        .offers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    assert_eq!(*offers, [2]);
}

#[tokio::test]
async fn an_offered_version_is_not_read_again_and_confirmed_by_the_next_read() {
    let mut fixture = fixture(table_at(1).await, None).await;
    fixture.next_version().await;
    fixture.table.set_down(true);
    fixture.until_confirmed(false).await;
    let accepted = apply(&fixture.table.inner, change(1, "bogdan")).await;
    let accepted = accepted.expect("nothing hinders the change");

    let offer = Call::Offer {
        configuration: Box::new(accepted.configuration),
        table_version: accepted.table_version,
    };
    let offered = call(&fixture.task, offer).await;
    let version = fixture.next_version().await;
    fixture.table.set_down(false);
    fixture.until_confirmed(true).await;

    assert_eq!((offered, version), (Reply::Offered, 2));
    assert_eq!(fixture.table.rows_read.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn peers_are_told_the_version_and_an_older_offer_changes_nothing() {
    let mut fixture = fixture(table_at(2).await, None).await;
    fixture.next_version().await;
    let offer = Call::Offer {
        configuration: Box::new(configuration(1)),
        table_version: 1,
    };

    let offered = call(&fixture.task, offer).await;
    let held = call(&fixture.task, Call::Query { known_version: 1 }).await;

    assert_eq!(offered, Reply::Offered);
    let Reply::Known(held) = held else {
        panic!("unexpected reply: {held:?}");
    };
    assert_eq!((held.version, held.table_answers), (2, true));
    assert_eq!(held.configuration.map(|it| it.version), Some(2));
}

async fn call(task: &Address<ConfigurationTask>, call: Call) -> Reply {
    let (reply, answer) = oneshot::channel();
    let sent = task.send(Incoming { call, reply }).await;
    sent.expect("the task runs");
    answer.await.expect("the task answers")
}
