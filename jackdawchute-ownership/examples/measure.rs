//! Measures an idle instance, appends under load and the adoption of a large journal.
//!
//! Run it with `cargo run --release -p jackdawchute-ownership --example measure`; it takes about
//! half a minute.

use std::{
    error::Error,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use jackdawchute_ownership::{
    spawn, Append, DesiredGroups, GroupEvent, JournalEntry, NoPeers, Options, OwnershipTask,
    SubscribeGroups, Timing,
};
use jackdawchute_ports::{
    Commit, CommitOutcome, MemoryTable, Result as TableResult, Row, RowVersion, Scan, Table,
};
use tokio::sync::{mpsc, oneshot};
use xtra::prelude::*;

const GROUP: &str = "rack/r1";
const TABLE_DELAY: Duration = Duration::from_millis(5);
const IDLE: Duration = Duration::from_secs(10);
const LOAD: Duration = Duration::from_secs(5);
const CALLERS: usize = 256;
const INSTANCES: usize = 7;
const SETTLING: Duration = Duration::from_secs(3);
const MILLISECONDS_PER_TICK: u64 = 10;
const OPEN_ENTRIES: usize = 10_000;
const VALUE: &str = r#"{"worker":"w-17","state":"starting","not_after_ms":1234567890}"#;

/// Counts calls and bytes, and delays each call.
#[derive(Default)]
struct Counted {
    table: Arc<MemoryTable>,
    commits: AtomicU64,
    reads: AtomicU64,
    written: AtomicU64,
    read: AtomicU64,
}

fn size<T: serde::Serialize>(value: &T) -> u64 {
    serde_json::to_string(value).map_or(0, |text| text.len() as u64)
}

#[async_trait]
impl Table for Counted {
    async fn read(&self, key: &str) -> TableResult<Option<Row>> {
        tokio::time::sleep(TABLE_DELAY).await;
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.table.get(key))
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> TableResult<Scan> {
        tokio::time::sleep(TABLE_DELAY).await;
        let scan = self.table.changes(prefix, changed_after);
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.read.fetch_add(size(&scan), Ordering::Relaxed);
        Ok(scan)
    }

    async fn commit(&self, commit: Commit) -> TableResult<CommitOutcome> {
        tokio::time::sleep(TABLE_DELAY).await;
        self.commits.fetch_add(1, Ordering::Relaxed);
        self.written.fetch_add(size(&commit), Ordering::Relaxed);
        Ok(self.table.apply(commit))
    }
}

impl Counted {
    fn over(table: &Arc<MemoryTable>) -> Arc<Self> {
        Arc::new(Self {
            table: Arc::clone(table),
            ..Self::default()
        })
    }

    fn totals(&self) -> [f64; 4] {
        let counters = [&self.commits, &self.reads, &self.written, &self.read];
        counters.map(|counter| counter.load(Ordering::Relaxed) as f64)
    }
}

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

async fn start(name: &str, table: Arc<Counted>) -> Result<Instance, Box<dyn Error>> {
    let ownership = spawn(Options {
        incarnation: name.into(),
        peer_address: "127.0.0.1:7001".parse()?,
        failure_domain: "ala-1".into(),
        table,
        peers: Arc::new(NoPeers),
        timer: jackdawchute_timer::spawn(),
        timing: Timing::default(),
    });
    let (sender, events) = mpsc::unbounded_channel();
    let listener = xtra::spawn_tokio(Listener(sender), Mailbox::unbounded());
    let subscriber = MessageChannel::new(listener.downgrade());
    let prefix = "".into();
    ownership
        .send(SubscribeGroups { prefix, subscriber })
        .await?;
    let groups = Arc::new([GROUP.into()].into());
    ownership.send(DesiredGroups(groups)).await?;
    Ok(Instance {
        ownership,
        events,
        _listener: listener,
    })
}

fn entry(key: String, value: Option<&str>) -> JournalEntry {
    JournalEntry {
        group: GROUP.into(),
        key: key.into(),
        value: value.map(str::to_owned),
    }
}

async fn append(ownership: &Address<OwnershipTask>, entries: Vec<JournalEntry>) -> bool {
    let (reply, answer) = oneshot::channel();
    let sent = ownership.send(Append { entries, reply }).await;
    sent.is_ok() && matches!(answer.await, Ok(Ok(())))
}

/// The processor time of this process so far, where the system tells it.
fn processor_time() -> Option<Duration> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let fields: Vec<_> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(Duration::from_millis(ticks * MILLISECONDS_PER_TICK))
}

async fn measure_idle(name: &str, table: &Counted) {
    let begun = processor_time();
    let before = table.totals();
    tokio::time::sleep(IDLE).await;
    let after = table.totals();
    let [commits, reads, written, read] =
        std::array::from_fn(|i| (after[i] - before[i]) / IDLE.as_secs_f64());
    println!("idle, {name}: {commits:.1} commits/s, {written:.0} bytes/s written, {reads:.1} scans/s, {read:.0} bytes/s read");
    println!("one renewal: {:.0} bytes", written / commits);
    if let (Some(begun), Some(ended)) = (begun, processor_time()) {
        println!("processor time in {IDLE:?}: {:?}", ended - begun);
    }
}

async fn measure_idle_cell() -> Result<(), Box<dyn Error>> {
    let table = Arc::new(MemoryTable::default());
    let counted: Vec<_> = (0..INSTANCES).map(|_| Counted::over(&table)).collect();
    let mut instances = Vec::new();
    for (number, counted) in counted.iter().enumerate() {
        instances.push(start(&format!("entry-{number}"), counted.clone()).await?);
    }
    tokio::time::sleep(SETTLING).await;
    measure_idle("one of seven instances", &counted[0]).await;
    Ok(())
}

/// Each caller opens an entry and closes it again, one after the other.
async fn call(ownership: Address<OwnershipTask>, caller: usize, until: Instant) -> u64 {
    let mut appended = 0;
    while Instant::now() < until {
        let key = format!("task-{caller}-{appended}");
        let open = append(&ownership, vec![entry(key.clone(), Some(VALUE))]).await;
        let close = append(&ownership, vec![entry(key, None)]).await;
        appended += u64::from(open) + u64::from(close);
    }
    appended
}

async fn measure_load(instance: &Instance, table: &Counted) -> Result<(), Box<dyn Error>> {
    let before = table.totals();
    let begun = Instant::now();
    let calls = (0..CALLERS).map(|n| call(instance.ownership.clone(), n, begun + LOAD));
    let calls: Vec<_> = calls.map(tokio::spawn).collect();
    let mut appended = 0;
    for call in calls {
        appended += call.await?;
    }
    let taken = begun.elapsed().as_secs_f64();
    let after = table.totals();
    let appended = appended as f64;
    let (commits, written) = (after[0] - before[0], after[2] - before[2]);
    println!("load of {CALLERS} callers: {:.0} appends/s, {:.1} commits/s, {:.4} commits per append, {:.0} bytes per append", appended / taken, commits / taken, commits / appended, written / appended);
    Ok(())
}

async fn measure_adoption(
    holder: Instance,
    table: &Arc<MemoryTable>,
) -> Result<(), Box<dyn Error>> {
    for batch in 0..OPEN_ENTRIES / 1_000 {
        let entries = (0..1_000).map(|i| entry(format!("open-{batch}-{i}"), Some(VALUE)));
        append(&holder.ownership, entries.collect()).await;
    }
    let counted = Counted::over(table);
    let mut successor = start("entry-2", counted.clone()).await?;
    // The holder has to learn of the successor, which waits longer otherwise.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let killed = Instant::now();
    drop(holder);
    let event = successor.events.recv().await;
    let served = killed.elapsed();
    let Some(GroupEvent::Claimed { entries, .. }) = event else {
        return Err("the group was not adopted".into());
    };
    while !is_settled(table) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let settled = killed.elapsed();
    println!(
        "takeover after a kill: {} entries served after {served:?}, settled after {settled:?}",
        entries.len()
    );
    Ok(())
}

fn is_settled(table: &MemoryTable) -> bool {
    let row = table.get("group/rack/r1").and_then(|row| row.value);
    row.is_some_and(|value| !value.contains("inherited"))
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let table = Arc::new(MemoryTable::default());
    let counted = Counted::over(&table);
    let mut instance = start("entry-1", counted.clone()).await?;
    instance.events.recv().await;
    measure_idle("alone", &counted).await;
    measure_load(&instance, &counted).await?;
    measure_adoption(instance, &table).await?;
    measure_idle_cell().await
}
