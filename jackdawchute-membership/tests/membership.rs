//! Stale lists, late answers and outages of the membership service: the newest list is always in
//! use.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_membership::{spawn, Change, Current, MembershipTask, Options, State, Subscribe};
use jackdawchute_ports::{
    Error, Member, MemberRole, MemberState, MembershipList, MembershipSource, Result,
};
use jackdawchute_types::Resources;
use quickcheck::{Gen, QuickCheck};
use tokio::sync::{mpsc, Notify};
use xtra::prelude::*;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_secs(20);

fn member(id: &str, state: MemberState) -> Member {
    Member {
        id: id.into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "ala-1".into(),
        state,
        role: MemberRole::Entry,
    }
}

fn list(version: u64, members: &[(&str, MemberState)]) -> MembershipList {
    let members = members.iter().map(|(id, state)| member(id, *state));
    MembershipList {
        version,
        members: members.collect(),
    }
}

/// A membership service that is down, or whose list is stale until the test replaces it.
#[derive(Default)]
struct FakeSource {
    current: Mutex<Option<MembershipList>>,
    read: Notify,
}

impl FakeSource {
    fn set_list(&self, list: Option<MembershipList>) {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = list;
    }
}

#[async_trait]
impl MembershipSource for FakeSource {
    async fn changed_since(&self, known_version: u64) -> Result<Option<MembershipList>> {
        self.read.notify_one();
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        match &*current {
            Some(list) => Ok(Some(list.clone()).filter(|list| list.version > known_version)),
            None => Err(Error::Unavailable(
                "read list",
                "membership".into(),
                "down".into(),
            )),
        }
    }
}

#[derive(xtra::Actor)]
struct Listener {
    lists: mpsc::UnboundedSender<Arc<MembershipList>>,
}

impl Handler<Arc<MembershipList>> for Listener {
    type Return = ();

    async fn handle(&mut self, message: Arc<MembershipList>, _context: &mut Context<Self>) {
        let _ = self.lists.send(message);
    }
}

struct Fixture {
    source: Arc<FakeSource>,
    task: Address<MembershipTask>,
    lists: mpsc::UnboundedReceiver<Arc<MembershipList>>,
    _listener: Address<Listener>,
}

async fn fixture(initial_list: Option<MembershipList>) -> Fixture {
    let source = Arc::new(FakeSource::default());
    source.set_list(initial_list);
    let task = spawn(Options {
        source: Arc::clone(&source) as _,
        timer: jackdawchute_timer::spawn(),
        poll_interval: POLL_INTERVAL,
    });
    let (sender, lists) = mpsc::unbounded_channel();
    let listener = xtra::spawn_tokio(Listener { lists: sender }, Mailbox::unbounded());
    let subscriber = MessageChannel::new(listener.downgrade());
    let subscribed = task.send(Subscribe { subscriber }).await;
    subscribed.expect("the membership task is running");
    Fixture {
        source,
        task,
        lists,
        _listener: listener,
    }
}

impl Fixture {
    async fn next_version(&mut self) -> u64 {
        let list = tokio::time::timeout(DEADLINE, self.lists.recv()).await;
        list.ok()
            .flatten()
            .expect("a list is published before the deadline")
            .version
    }
}

#[test]
fn leaving_and_removed_members_are_distinguished() {
    use MemberState::{Leaving, Live};
    let mut state = State::default();

    let first = state.update(list(1, &[("a", Live), ("b", Live), ("c", Live)]));
    let second = state.update(list(2, &[("a", Live), ("b", Leaving), ("d", Live)]));

    let live = |id: &str| Change::Live(id.into());
    assert_eq!(first, Some(vec![live("a"), live("b"), live("c")]));
    let expected = vec![
        Change::Leaving("b".into()),
        live("d"),
        Change::Removed("c".into()),
    ];
    assert_eq!(second, Some(expected));
}

#[test]
fn workers_of_a_leaving_failure_domain_are_leaving_until_it_returns() {
    let domains = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    let worker = Member {
        role: MemberRole::Worker {
            rack: "r1".into(),
            resources: Resources::new(1_000, 1_024, 0),
        },
        ..member("worker", MemberState::Live)
    };
    let members = vec![member("entry", MemberState::Live), worker];
    let mut state = State::default();
    let first = MembershipList {
        version: 1,
        members: members.clone(),
    };
    let second = MembershipList {
        version: 2,
        members,
    };
    state.update(first);

    let leaving = state.set_leaving_domains(domains(&["ala-1"]));
    let read_again = state.update(second);
    let returned = state.set_leaving_domains(domains(&["ala-2"]));

    assert_eq!(leaving, Some(vec![Change::Leaving("worker".into())]));
    assert_eq!(read_again, Some(vec![]));
    assert_eq!(returned, Some(vec![Change::Live("worker".into())]));
}

#[test]
fn an_older_list_never_replaces_a_newer_one() {
    fn keeps_highest_version(versions: Vec<u8>) -> bool {
        let mut state = State::default();
        let mut highest = 0;
        versions.into_iter().all(|version| {
            state.update(list(version.into(), &[]));
            highest = highest.max(u64::from(version));
            state.version() == highest
        })
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(50, 3));

    check.quickcheck(keeps_highest_version as fn(Vec<u8>) -> bool);
}

#[tokio::test]
async fn a_stale_list_is_replaced_when_a_newer_one_is_read() {
    let mut fixture = fixture(Some(list(1, &[("a", MemberState::Live)]))).await;
    let first = fixture.next_version().await;

    fixture
        .source
        .set_list(Some(list(2, &[("a", MemberState::Leaving)])));

    assert_eq!((first, fixture.next_version().await), (1, 2));
}

#[tokio::test]
async fn the_last_list_stays_in_use_while_the_service_is_down() {
    const FAILED_READS: usize = 4;
    let mut fixture = fixture(Some(list(3, &[("a", MemberState::Live)]))).await;
    fixture.next_version().await;

    fixture.source.set_list(None);
    for _ in 0..FAILED_READS {
        fixture.source.read.notified().await;
    }
    let in_outage = fixture.task.send(Current).await;
    fixture.source.set_list(Some(list(4, &[])));

    let in_outage = in_outage.ok().flatten().map(|list| list.version);
    assert_eq!(in_outage, Some(3));
    assert_eq!(fixture.next_version().await, 4);
}

#[tokio::test]
async fn an_instance_that_starts_during_an_outage_gets_the_list_after_it() {
    let mut fixture = fixture(None).await;

    fixture.source.set_list(Some(list(7, &[])));

    assert_eq!(fixture.next_version().await, 7);
}
