//! Ownership over a store of the embedder's own: two instances share four groups; one of them
//! leaves, and the other one finds what was journaled.
//!
//! Run it with `cargo run -p jackdawchute-ownership --example embedding`; it ends by itself.

use std::{
    collections::BTreeMap,
    error::Error,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_ownership::{
    spawn, Append, DesiredGroups, GroupEvent, HandOver, JournalEntry, NoPeers, Options,
    OwnershipTask, SubscribeGroups, Timing,
};
use jackdawchute_ports::{
    Commit, CommitOutcome, Result as TableResult, Row, RowKey, RowVersion, Scan, Table,
};
use tokio::sync::{mpsc, oneshot};
use xtra::prelude::*;

const GROUPS: [&str; 4] = ["rack/r1", "rack/r2", "rack/r3", "rack/r4"];
const DEADLINE: Duration = Duration::from_secs(10);

/// The embedder's store: any store with transactions on versioned rows is suitable.
#[derive(Default)]
struct EmbeddedStore {
    rows: Mutex<(RowVersion, BTreeMap<RowKey, Row>)>,
}

impl EmbeddedStore {
    fn version_of(rows: &BTreeMap<RowKey, Row>, key: &RowKey) -> RowVersion {
        let live = rows.get(key).filter(|row| row.value.is_some());
        live.map_or(0, |row| row.version)
    }
}

#[async_trait]
impl Table for EmbeddedStore {
    async fn read(&self, key: &str) -> TableResult<Option<Row>> {
        let state = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(state.1.get(key).filter(|row| row.value.is_some()).cloned())
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> TableResult<Scan> {
        let state = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = state.1.values().filter(|row| row.key.starts_with(prefix));
        let changed = rows.filter(|row| row.version > changed_after);
        let visible = changed.filter(|row| changed_after > 0 || row.value.is_some());
        Ok(Scan {
            rows: visible.cloned().collect(),
            version: state.0,
        })
    }

    async fn commit(&self, commit: Commit) -> TableResult<CommitOutcome> {
        let mut state = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        for condition in commit.conditions {
            let version = Self::version_of(&state.1, &condition.key);
            if version != condition.version {
                let key = condition.key;
                return Ok(CommitOutcome::Conflict { key, version });
            }
        }
        state.0 += 1;
        let version = state.0;
        for write in commit.writes {
            let (key, value) = (write.key, write.value);
            let row = Row {
                key: key.clone(),
                version,
                value,
            };
            state.1.insert(key, row);
        }
        Ok(CommitOutcome::Committed { version })
    }
}

/// Passes the events of one instance on to a channel.
#[derive(xtra::Actor)]
struct Listener(mpsc::UnboundedSender<GroupEvent>);

impl Handler<GroupEvent> for Listener {
    type Return = ();

    async fn handle(&mut self, event: GroupEvent, _context: &mut Context<Self>) {
        let _ = self.0.send(event);
    }
}

struct Instance {
    ownership: Address<OwnershipTask>,
    events: mpsc::UnboundedReceiver<GroupEvent>,
    _listener: Address<Listener>,
}

async fn start(name: &str, table: Arc<EmbeddedStore>) -> Result<Instance, Box<dyn Error>> {
    let ownership = spawn(Options {
        incarnation: name.into(),
        peer_address: "127.0.0.1:1".parse()?,
        failure_domain: "here".into(),
        table,
        peers: Arc::new(NoPeers),
        timer: jackdawchute_timer::spawn(),
        timing: Timing::default().scaled(0.1),
    });
    let (sender, events) = mpsc::unbounded_channel();
    let listener = xtra::spawn_tokio(Listener(sender), Mailbox::unbounded());
    let subscriber = MessageChannel::new(listener.downgrade());
    let prefix = "rack/".into();
    ownership
        .send(SubscribeGroups { prefix, subscriber })
        .await?;
    let groups = GROUPS.map(Into::into).into();
    ownership.send(DesiredGroups(Arc::new(groups))).await?;
    Ok(Instance {
        ownership,
        events,
        _listener: listener,
    })
}

impl Instance {
    /// Waits until `count` groups are claimed, and returns the number of entries that they
    /// inherited.
    async fn wait_for_claims(&mut self, count: usize) -> Result<usize, Box<dyn Error>> {
        let mut claimed = 0;
        let mut inherited = 0;
        while claimed < count {
            let event = tokio::time::timeout(DEADLINE, self.events.recv()).await?;
            if let Some(GroupEvent::Claimed { entries, .. }) = event {
                claimed += 1;
                inherited += entries.len();
            }
        }
        Ok(inherited)
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let table = Arc::new(EmbeddedStore::default());
    let mut first = start("first", table.clone()).await?;
    first.wait_for_claims(4).await?;
    println!("first owns every group");

    let entries = GROUPS.map(|group| JournalEntry {
        group: group.into(),
        key: "task-1".into(),
        value: Some("starting".to_owned()),
    });
    let (reply, answer) = oneshot::channel();
    let entries = entries.to_vec();
    first.ownership.send(Append { entries, reply }).await?;
    answer.await??;
    println!("an intent is journaled in each of them");

    let mut second = start("second", table).await?;
    let claimed_for_balance = second.wait_for_claims(2).await?;
    println!("second claimed two groups with {claimed_for_balance} intents for balance");

    let (reply, answer) = oneshot::channel();
    first.ownership.send(HandOver { reply }).await?;
    answer.await??;
    let claimed_after_handover = second.wait_for_claims(2).await?;
    println!(
        "first left; second claimed the other two groups with {claimed_after_handover} intents"
    );
    match claimed_for_balance + claimed_after_handover {
        4 => Ok(()),
        found => Err(format!("4 intents were journaled, {found} found").into()),
    }
}
