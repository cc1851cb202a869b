//! Random faults, kills, replacements and planned stops under a steady load of appends.

mod support;

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use jackdawchute_types::GroupId;
use rand::{rngs::StdRng, Rng, SeedableRng};
use support::{entry, eventually, start, Cell, Fault, Node};

const GROUPS: [&str; 4] = ["g1", "g2", "g3", "g4"];
const SEED: u64 = 20_261_204;
const LASTS: Duration = Duration::from_secs(6);

/// What a caller was told about an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Journaled,
    Refused,
    Unknown,
}

type Nodes = Arc<Mutex<Vec<Arc<Node>>>>;
type Record = Arc<Mutex<BTreeMap<(GroupId, String), Told>>>;

/// Appends one entry after another to whichever instance says that it owns the group.
async fn call(group: &'static str, nodes: Nodes, record: Record, done: Arc<AtomicBool>) {
    let mut number = 0;
    while !done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let owners: Vec<_> = nodes
            .lock()
            .unwrap()
            .iter()
            .filter(|n| n.owns(group))
            .cloned()
            .collect();
        for owner in owners {
            number += 1;
            let key = format!("k{number}");
            let answer = owner
                .begin_append(vec![entry(group, &key, Some("v"))])
                .await;
            drop(owner);
            let answer = tokio::time::timeout(Duration::from_secs(2), answer).await;
            let told = match answer {
                Ok(Ok(Ok(()))) => Told::Journaled,
                Ok(Ok(Err(_))) => Told::Refused,
                Ok(Err(_)) | Err(_) => Told::Unknown,
            };
            record.lock().unwrap().insert((group.into(), key), told);
        }
    }
}

fn random_fault(random: &mut StdRng) -> Fault {
    match random.random_range(0..8) {
        0 => Fault::Down,
        1 => Fault::AnswersLost,
        2 => Fault::CommitsLost,
        3 => Fault::CommitsLate(Duration::from_millis(random.random_range(10..800))),
        4 => Fault::Slow(Duration::from_millis(random.random_range(5..150))),
        5 => Fault::Deaf,
        6 => Fault::Hang,
        _ => Fault::None,
    }
}

/// Does something bad to a random instance.
async fn harm(cell: &Cell, nodes: &Nodes, random: &mut StdRng, next: &mut u16) {
    let index = random.random_range(0..3);
    let node = nodes.lock().unwrap()[index].clone();
    match random.random_range(0..20) {
        0 => replace(cell, nodes, index, next).await,
        1 => {
            node.heal(cell);
            let leaving = node.clone();
            let left = tokio::time::timeout(Duration::from_millis(300), leaving.hand_over());
            let _ = left.await;
            replace(cell, nodes, index, next).await;
        }
        2 => node.isolate(cell),
        3..=8 => node.heal(cell),
        _ => node.table.set(random_fault(random)),
    }
}

/// A new incarnation in the place of one that is dropped, whatever it was doing.
async fn replace(cell: &Cell, nodes: &Nodes, index: usize, next: &mut u16) {
    *next += 1;
    let node = Arc::new(start(cell, *next, &GROUPS).await);
    nodes.lock().unwrap()[index] = node;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_callers_were_told_holds_after_random_faults() {
    let cell = Cell::new();
    let nodes = Nodes::default();
    for number in 1..=3 {
        let node = Arc::new(start(&cell, number, &GROUPS).await);
        nodes.lock().unwrap().push(node);
    }
    let (record, done) = (Record::default(), Arc::new(AtomicBool::new(false)));
    let call = |group| tokio::spawn(call(group, nodes.clone(), record.clone(), done.clone()));
    let calls = GROUPS.map(call);
    let mut random = StdRng::seed_from_u64(SEED);
    let mut next = 3;

    let begun = Instant::now();
    while begun.elapsed() < LASTS {
        tokio::time::sleep(Duration::from_millis(random.random_range(20..150))).await;
        harm(&cell, &nodes, &mut random, &mut next).await;
    }
    done.store(true, Ordering::Relaxed);
    for call in calls {
        call.await.unwrap();
    }
    nodes.lock().unwrap().clear();
    let last = start(&cell, 1_000, &GROUPS).await;
    eventually("the last one owns all", || last.owned() == GROUPS.len()).await;

    let found = GROUPS.map(|group| (group, last.adoption(group)));
    let is_found = |group: &str, key: &str| {
        let (_, adoption) = found.iter().find(|(g, _)| *g == group).unwrap();
        adoption.entries.iter().any(|(k, _)| k == key)
    };
    let record = record.lock().unwrap();
    let count = |told| record.values().filter(|t| **t == told).count();
    println!(
        "seed {SEED}: {} journaled, {} refused, {} unknown, {} instances, epochs {:?}",
        count(Told::Journaled),
        count(Told::Refused),
        count(Told::Unknown),
        next,
        found.each_ref().map(|(_, adoption)| adoption.epoch),
    );
    let broken: Vec<_> = record
        .iter()
        .filter(|((group, key), told)| match told {
            Told::Journaled => !is_found(group, key),
            Told::Refused => is_found(group, key),
            Told::Unknown => false,
        })
        .collect();
    assert_eq!(broken, Vec::new());
    assert!(count(Told::Journaled) > 100);
}
