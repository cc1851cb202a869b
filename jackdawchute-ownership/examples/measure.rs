//! Measures an idle instance, appends under load, and the takeover of a group with a large journal.
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
const IDLE_TIME: Duration = Duration::from_secs(10);
const LOAD_TIME: Duration = Duration::from_secs(5);
const CALLERS: usize = 256;
const INSTANCES: usize = 7;
const STABILIZATION_TIME: Duration = Duration::from_secs(3);
const MILLISECONDS_PER_CLOCK_TICK: u64 = 10;
const LIVE_ENTRIES: usize = 10_000;
const VALUE: &str = r#"{"worker":"w-17","state":"starting","not_after_ms":1234567890}"#;

/// A table in memory that counts calls and bytes, and delays each call.
#[derive(Default)]
struct CountingTable {
    table: Arc<MemoryTable>,
    commits: AtomicU64,
    reads: AtomicU64,
    bytes_written: AtomicU64,
    bytes_read: AtomicU64,
}

fn size<T: serde::Serialize>(value: &T) -> u64 {
    serde_json::to_string(value).map_or(0, |text| text.len() as u64)
}

#[async_trait]
impl Table for CountingTable {
    async fn read(&self, key: &str) -> TableResult<Option<Row>> {
        tokio::time::sleep(TABLE_DELAY).await;
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.table.get(key))
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> TableResult<Scan> {
        tokio::time::sleep(TABLE_DELAY).await;
        let scan = self.table.changes(prefix, changed_after);
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.bytes_read.fetch_add(size(&scan), Ordering::Relaxed);
        Ok(scan)
    }

    async fn commit(&self, commit: Commit) -> TableResult<CommitOutcome> {
        tokio::time::sleep(TABLE_DELAY).await;
        self.commits.fetch_add(1, Ordering::Relaxed);
        self.bytes_written
            .fetch_add(size(&commit), Ordering::Relaxed);
        Ok(self.table.apply(commit))
    }
}

impl CountingTable {
    fn new(table: &Arc<MemoryTable>) -> Arc<Self> {
        Arc::new(Self {
            table: Arc::clone(table),
            ..Self::default()
        })
    }

    /// Returns the commits, the reads, the bytes written and the bytes read so far.
    fn totals(&self) -> [f64; 4] {
        let counters = [
            &self.commits,
            &self.reads,
            &self.bytes_written,
            &self.bytes_read,
        ];
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

async fn start(name: &str, table: Arc<CountingTable>) -> Result<Instance, Box<dyn Error>> {
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

/// Returns the processor time of this process so far, where the operating system provides it.
fn processor_time() -> Option<Duration> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let fields: Vec<_> = stat.rsplit(')').next()?.split_whitespace().collect();
    // The user and the system time, in clock ticks.
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(Duration::from_millis(ticks * MILLISECONDS_PER_CLOCK_TICK))
}

async fn measure_idle(name: &str, table: &CountingTable) {
    let begun = processor_time();
    let before = table.totals();
    tokio::time::sleep(IDLE_TIME).await;
    let after = table.totals();
    let [commits, reads, written, read] =
        std::array::from_fn(|i| (after[i] - before[i]) / IDLE_TIME.as_secs_f64());
    println!("idle, {name}: {commits:.1} commits/s, {written:.0} bytes/s written, {reads:.1} scans/s, {read:.0} bytes/s read");
    println!("one renewal: {:.0} bytes", written / commits);
    if let (Some(begun), Some(ended)) = (begun, processor_time()) {
        println!("processor time in {IDLE_TIME:?}: {:?}", ended - begun);
    }
}

async fn measure_idle_fleet() -> Result<(), Box<dyn Error>> {
    let table = Arc::new(MemoryTable::default());
    let counting_tables: Vec<_> = (0..INSTANCES).map(|_| CountingTable::new(&table)).collect();
    let mut instances = Vec::new();
    for (number, counting_table) in counting_tables.iter().enumerate() {
        instances.push(start(&format!("entry-{number}"), counting_table.clone()).await?);
    }
    tokio::time::sleep(STABILIZATION_TIME).await;
    measure_idle("one of seven instances", &counting_tables[0]).await;
    Ok(())
}

/// Appends an entry and removes it again, in turns, until `until`; returns the number of appends
/// that succeeded.
async fn run_caller(ownership: Address<OwnershipTask>, caller: usize, until: Instant) -> u64 {
    let mut appended = 0;
    while Instant::now() < until {
        let key = format!("task-{caller}-{appended}");
        let added = append(&ownership, vec![entry(key.clone(), Some(VALUE))]).await;
        let removed = append(&ownership, vec![entry(key, None)]).await;
        appended += u64::from(added) + u64::from(removed);
    }
    appended
}

async fn measure_load(instance: &Instance, table: &CountingTable) -> Result<(), Box<dyn Error>> {
    let before = table.totals();
    let begun = Instant::now();
    let calls = (0..CALLERS).map(|n| run_caller(instance.ownership.clone(), n, begun + LOAD_TIME));
    let calls: Vec<_> = calls.map(tokio::spawn).collect();
    let mut appended = 0;
    for call in calls {
        appended += call.await?;
    }
    let elapsed_s = begun.elapsed().as_secs_f64();
    let after = table.totals();
    let appended = appended as f64;
    let (commits, written) = (after[0] - before[0], after[2] - before[2]);
    println!("load of {CALLERS} callers: {:.0} appends/s, {:.1} commits/s, {:.4} commits per append, {:.0} bytes per append", appended / elapsed_s, commits / elapsed_s, commits / appended, written / appended);
    Ok(())
}

async fn measure_takeover(owner: Instance, table: &Arc<MemoryTable>) -> Result<(), Box<dyn Error>> {
    for batch in 0..LIVE_ENTRIES / 1_000 {
        let entries = (0..1_000).map(|i| entry(format!("open-{batch}-{i}"), Some(VALUE)));
        append(&owner.ownership, entries.collect()).await;
    }
    let counting_table = CountingTable::new(table);
    let mut successor = start("entry-2", counting_table.clone()).await?;
    // The owner has to read the successor's row first; a successor that it does not know waits for
    // the longer newcomer takeover.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let killed_at = Instant::now();
    drop(owner);
    let event = successor.events.recv().await;
    let served_after = killed_at.elapsed();
    let Some(GroupEvent::Claimed { entries, .. }) = event else {
        return Err("the successor did not claim the group".into());
    };
    while !is_copied(table) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let copied_after = killed_at.elapsed();
    println!(
        "takeover after a kill: {} entries served after {served_after:?}, copied after {copied_after:?}",
        entries.len()
    );
    Ok(())
}

/// Whether the group's row lists no earlier owners any more.
fn is_copied(table: &MemoryTable) -> bool {
    let row = table.get("group/rack/r1").and_then(|row| row.value);
    row.is_some_and(|value| !value.contains("inherited"))
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let table = Arc::new(MemoryTable::default());
    let counting_table = CountingTable::new(&table);
    let mut instance = start("entry-1", counting_table.clone()).await?;
    instance.events.recv().await;
    measure_idle("alone", &counting_table).await;
    measure_load(&instance, &counting_table).await?;
    measure_takeover(instance, &table).await?;
    measure_idle_fleet().await
}
