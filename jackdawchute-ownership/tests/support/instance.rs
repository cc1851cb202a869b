//! One running instance and what it publishes.

use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use jackdawchute_ownership::{
    spawn, Append, DesiredGroups, Directory, EntryKey, GroupEvent, HandOver, JournalEntry,
    LeaseState, Options, OwnershipTask, Result, SubscribeDirectory, SubscribeGroups,
    SubscribeLeaseState, Timing,
};
use jackdawchute_ports::MemoryTable;
use jackdawchute_timer::TimerTask;
use jackdawchute_types::{GroupId, IncarnationId};
use tokio::sync::oneshot::{self, Receiver};
use xtra::prelude::*;

use super::{Fault, FaultyTable, LocalPeers, PeersOfInstance};

/// The longest time that a test waits for an event.
const DEADLINE: Duration = Duration::from_secs(20);

/// A table, the connections between instances, and a timer.
pub struct Cell {
    pub table: Arc<MemoryTable>,
    pub peers: Arc<LocalPeers>,
    pub timer: Address<TimerTask>,
    pub timing: Timing,
}

impl Cell {
    /// Returns an empty cell in which a takeover takes half a second.
    pub fn new() -> Self {
        Self {
            table: Arc::default(),
            peers: Arc::default(),
            timer: jackdawchute_timer::spawn(),
            timing: Timing::default().scaled(0.1),
        }
    }
}

/// What the subscribers of one instance have received.
#[derive(Default)]
pub struct Observed {
    pub groups: BTreeMap<GroupId, ClaimedGroup>,
    pub lost: Vec<GroupId>,
    pub directory: Arc<Directory>,
    pub lease_state: Option<LeaseState>,
    pub lease_states: Vec<LeaseState>,
}

/// The last claim of a group that an instance has reported.
#[derive(Clone)]
pub struct ClaimedGroup {
    pub epoch: u64,
    pub entries: Arc<Vec<(EntryKey, String)>>,
    pub fenced_owner: Option<IncarnationId>,
    pub claimed_at: Instant,
}

#[derive(xtra::Actor)]
struct Observer {
    observed: Arc<Mutex<Observed>>,
}

impl Handler<GroupEvent> for Observer {
    type Return = ();

    async fn handle(&mut self, event: GroupEvent, _context: &mut Context<Self>) {
        let mut observed = self.observed.lock().unwrap();
        match event {
            GroupEvent::Claimed {
                group,
                epoch,
                entries,
                fenced_owner,
            } => {
                let claimed_at = Instant::now();
                observed.groups.insert(
                    group,
                    ClaimedGroup {
                        epoch,
                        entries,
                        fenced_owner,
                        claimed_at,
                    },
                );
            }
            GroupEvent::Lost { group } => {
                observed.groups.remove(&group);
                observed.lost.push(group);
            }
        }
    }
}

impl Handler<Arc<Directory>> for Observer {
    type Return = ();

    async fn handle(&mut self, directory: Arc<Directory>, _context: &mut Context<Self>) {
        self.observed.lock().unwrap().directory = directory;
    }
}

impl Handler<LeaseState> for Observer {
    type Return = ();

    async fn handle(&mut self, lease_state: LeaseState, _context: &mut Context<Self>) {
        let mut observed = self.observed.lock().unwrap();
        observed.lease_state = Some(lease_state);
        observed.lease_states.push(lease_state);
    }
}

/// A running instance.
pub struct Instance {
    pub incarnation: IncarnationId,
    pub address: SocketAddr,
    pub task: Address<OwnershipTask>,
    pub table: Arc<FaultyTable>,
    pub observed: Arc<Mutex<Observed>>,
    _observer: Address<Observer>,
}

/// Starts an instance that desires `groups`.
pub async fn start(cell: &Cell, number: u16, groups: &[&str]) -> Instance {
    let address = SocketAddr::from(([127, 0, 0, 1], number));
    let incarnation = IncarnationId::from(format!("entry-{number}"));
    let table = Arc::new(FaultyTable::new(Arc::clone(&cell.table)));
    let task = spawn(Options {
        incarnation: incarnation.clone(),
        peer_address: address,
        failure_domain: "ala-1".into(),
        table: table.clone(),
        peers: Arc::new(PeersOfInstance {
            me: address,
            all: cell.peers.clone(),
        }),
        timer: cell.timer.clone(),
        timing: cell.timing,
    });
    cell.peers.add(address, task.downgrade());
    let observed = Arc::new(Mutex::new(Observed::default()));
    let observer = xtra::spawn_tokio(
        Observer {
            observed: observed.clone(),
        },
        Mailbox::unbounded(),
    );
    let instance = Instance {
        incarnation,
        address,
        task,
        table,
        observed,
        _observer: observer,
    };
    instance.subscribe().await;
    instance.set_desired_groups(groups).await;
    instance
}

impl Instance {
    async fn subscribe(&self) {
        let observer = &self._observer;
        let groups = SubscribeGroups {
            prefix: "".into(),
            subscriber: MessageChannel::new(observer.downgrade()),
        };
        let directory = SubscribeDirectory {
            subscriber: MessageChannel::new(observer.downgrade()),
        };
        let lease_state = SubscribeLeaseState {
            subscriber: MessageChannel::new(observer.downgrade()),
        };
        self.task.send(groups).await.unwrap();
        self.task.send(directory).await.unwrap();
        self.task.send(lease_state).await.unwrap();
    }

    pub async fn set_desired_groups(&self, groups: &[&str]) {
        let groups = groups.iter().map(GroupId::new).collect();
        self.task
            .send(DesiredGroups(Arc::new(groups)))
            .await
            .unwrap();
    }

    pub async fn append(&self, group: &str, key: &str, value: Option<&str>) -> Result<()> {
        self.append_all(vec![entry(group, key, value)]).await
    }

    pub async fn append_all(&self, entries: Vec<JournalEntry>) -> Result<()> {
        let answer = self.begin_append(entries).await;
        within("an append is answered", answer)
            .await
            .expect("the task answers every append")
    }

    pub async fn begin_append(&self, entries: Vec<JournalEntry>) -> Receiver<Result<()>> {
        let (reply, answer) = oneshot::channel();
        self.task.send(Append { entries, reply }).await.unwrap();
        answer
    }

    pub async fn hand_over(&self) -> Result<()> {
        let (reply, answer) = oneshot::channel();
        self.task.send(HandOver { reply }).await.unwrap();
        within("the task answers every handover", answer)
            .await
            .expect("the task answers every handover")
    }

    pub fn owns(&self, group: &str) -> bool {
        self.observed.lock().unwrap().groups.contains_key(group)
    }

    pub fn owned_count(&self) -> usize {
        self.observed.lock().unwrap().groups.len()
    }

    pub fn claimed_group(&self, group: &str) -> ClaimedGroup {
        self.observed.lock().unwrap().groups[group].clone()
    }

    pub fn lease_state(&self) -> Option<LeaseState> {
        self.observed.lock().unwrap().lease_state
    }

    /// Cuts the instance off from the table and from its peers.
    pub fn isolate(&self, cell: &Cell) {
        cell.peers.cut_off(self.address);
        self.table.set(Fault::Down);
    }

    /// Reconnects the instance to the table and to its peers.
    pub fn heal(&self, cell: &Cell) {
        cell.peers.heal(self.address);
        self.table.set(Fault::None);
    }

    pub fn observed_lease_states(&self) -> Vec<LeaseState> {
        self.observed.lock().unwrap().lease_states.clone()
    }

    pub async fn until_owns(&self, group: &str) {
        eventually(&format!("{} owns {group}", self.incarnation), || {
            self.owns(group)
        })
        .await;
    }
}

pub fn entry(group: &str, key: &str, value: Option<&str>) -> JournalEntry {
    JournalEntry {
        group: group.into(),
        key: key.into(),
        value: value.map(str::to_owned),
    }
}

/// Waits until `condition` holds; panics after the deadline.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    within(what, wait).await;
}

/// Waits for a future; panics after the deadline.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    tokio::time::timeout(DEADLINE, future)
        .await
        .unwrap_or_else(|_| panic!("not within {DEADLINE:?}: {what}"))
}
