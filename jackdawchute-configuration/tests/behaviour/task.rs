//! The configuration task: when it reads the table and asks the peers, and what it publishes.

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

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CONFIRM_TIME: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(20);

/// Forwards the published versions, and whether they are confirmed.
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

/// A peer that answers every call with the same configuration, or cannot be reached.
#[derive(Default)]
struct FakePeers {
    /// The configuration in every answer; `None` if the peer cannot be reached.
    known: Mutex<Option<KnownConfiguration>>,
    /// The versions that were offered.
    offers: Mutex<Vec<u64>>,
    /// The number of queries.
    queries: AtomicUsize,
}

#[async_trait]
impl PeerCalls for FakePeers {
    async fn ask(&self, call: Call) -> PeerAnswers {
        if let Call::Offer { configuration, .. } = &call {
            let mut offers = self.offers.lock().unwrap_or_else(PoisonError::into_inner);
            offers.push(configuration.version);
        } else {
            self.queries.fetch_add(1, Ordering::SeqCst);
        }
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let result = known.clone().map(Reply::Known);
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

/// Starts a task with a subscriber and with a peer that answers `known`, if any.
async fn fixture(table: FaultyTable, known: Option<KnownConfiguration>) -> Fixture {
    let table = Arc::new(table);
    let peers = Arc::new(FakePeers {
        known: Mutex::new(known),
        ..FakePeers::default()
    });
    let task = spawn(Options {
        table: Arc::clone(&table) as _,
        peers: Arc::clone(&peers) as _,
        timer: jackdawchute_timer::spawn(),
        poll_interval: POLL_INTERVAL,
        confirm_time: CONFIRM_TIME,
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
    subscribed.expect("the task runs as long as its address exists");
    let subscriber = MessageChannel::new(listener.downgrade());
    let subscribed = task.send(SubscribeConfirmation { subscriber }).await;
    subscribed.expect("the task runs as long as its address exists");
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
        version
            .ok()
            .flatten()
            .expect("a version is published within the deadline")
    }

    async fn wait_for_confirmation(&mut self, confirmed: bool) {
        let published = async { while self.confirmations.recv().await != Some(confirmed) {} };
        let published = tokio::time::timeout(DEADLINE, published).await;
        published.expect("the confirmation is published within the deadline");
    }
}

/// Returns the configuration of a peer that has just read the table.
fn just_confirmed(version: u64) -> KnownConfiguration {
    KnownConfiguration {
        version,
        configuration: Some(Box::new(configuration(version))),
        confirmed_ago: Some(Duration::ZERO),
        table_answers: true,
    }
}

#[tokio::test]
async fn a_change_through_another_instance_is_read_and_published() {
    let mut fixture = fixture(table_at(1).await, None).await;
    let first = fixture.next_version().await;

    let accepted = apply(&*fixture.table, change(1, "bogdan")).await;

    accepted.expect("the change is made from the accepted version");
    assert_eq!((first, fixture.next_version().await), (1, 2));
    fixture.wait_for_confirmation(true).await;
}

#[tokio::test]
async fn an_unchanged_row_is_returned_by_one_scan_only_and_no_peer_is_asked() {
    const POLLS: u32 = 10;
    let mut fixture = fixture(table_at(1).await, None).await;
    fixture.next_version().await;

    for _ in 0..POLLS {
        fixture.wait_for_confirmation(true).await;
    }

    assert_eq!(fixture.table.rows_scanned.load(Ordering::SeqCst), 1);
    assert_eq!(fixture.peers.queries.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn an_instance_started_while_the_table_is_down_uses_the_version_of_a_peer() {
    let table = table_at(1).await;
    table.set_down(true);

    let mut fixture = fixture(table, Some(just_confirmed(4))).await;

    assert_eq!(fixture.next_version().await, 4);
    fixture.wait_for_confirmation(true).await;
}

#[tokio::test]
async fn an_instance_started_while_table_and_peers_are_down_has_no_version() {
    let table = table_at(1).await;
    table.set_down(true);

    let mut fixture = fixture(table, None).await;
    let published = tokio::time::timeout(CONFIRM_TIME, fixture.configurations.recv()).await;

    assert!(published.is_err());
    let current = fixture.task.send(Current).await;
    assert_eq!(current, Ok(None));
    assert_eq!(fixture.confirmations.recv().await, Some(false));
}

#[tokio::test]
async fn an_instance_cut_off_from_table_and_peers_is_unconfirmed_until_the_table_answers() {
    let mut fixture = fixture(table_at(1).await, None).await;
    fixture.wait_for_confirmation(true).await;

    fixture.table.set_down(true);
    fixture.wait_for_confirmation(false).await;
    fixture.table.set_down(false);

    fixture.wait_for_confirmation(true).await;
}

#[tokio::test]
async fn an_accepted_version_is_used_without_a_read_and_offered_to_peers_before_the_reply() {
    let table = table_at(1).await;
    table.set_down(true);
    let mut fixture = fixture(table, None).await;
    let (reply, replied) = oneshot::channel();

    let accepted = Accepted {
        configuration: configuration(2),
        table_version: 2,
        reply,
    };
    fixture
        .task
        .send(accepted)
        .await
        .expect("the task runs as long as its address exists");
    replied.await.expect("the task replies after its offers");

    assert_eq!(fixture.next_version().await, 2);
    let offers = fixture
        .peers
        .offers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    assert_eq!(*offers, [2]);
}

#[tokio::test]
async fn an_offered_version_is_not_read_again_but_confirmed_by_the_next_read() {
    let mut fixture = fixture(table_at(1).await, None).await;
    fixture.next_version().await;
    fixture.table.set_down(true);
    fixture.wait_for_confirmation(false).await;
    let accepted = apply(&fixture.table.inner, change(1, "bogdan")).await;
    let accepted = accepted.expect("the change is made from the accepted version");

    let offer = Call::Offer {
        configuration: Box::new(accepted.configuration),
        table_version: accepted.table_version,
    };
    let offered = call(&fixture.task, offer).await;
    let version = fixture.next_version().await;
    fixture.table.set_down(false);
    fixture.wait_for_confirmation(true).await;

    assert_eq!((offered, version), (Reply::Offered, 2));
    assert_eq!(fixture.table.rows_scanned.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_query_is_answered_with_the_version_in_use_and_an_older_offer_is_ignored() {
    let mut fixture = fixture(table_at(2).await, None).await;
    fixture.next_version().await;
    let offer = Call::Offer {
        configuration: Box::new(configuration(1)),
        table_version: 1,
    };

    let offered = call(&fixture.task, offer).await;
    let answer = call(&fixture.task, Call::Query { known_version: 1 }).await;

    assert_eq!(offered, Reply::Offered);
    let Reply::Known(known) = answer else {
        panic!("unexpected answer to a query: {answer:?}");
    };
    assert_eq!((known.version, known.table_answers), (2, true));
    assert_eq!(known.configuration.map(|it| it.version), Some(2));
}

/// Sends the task a call as if it came from a peer, and returns the answer.
async fn call(task: &Address<ConfigurationTask>, call: Call) -> Reply {
    let (reply, answer) = oneshot::channel();
    let sent = task.send(Incoming { call, reply }).await;
    sent.expect("the task runs as long as its address exists");
    answer.await.expect("the task answers every call")
}
