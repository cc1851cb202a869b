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
use support::{entry, eventually, start, Cell, Fault, Instance};

const GROUPS: [&str; 4] = ["g1", "g2", "g3", "g4"];
const SEED: u64 = 20_261_204;
const FAULT_INJECTION_TIME: Duration = Duration::from_secs(6);

/// The result of an append as its caller got it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportedResult {
    Journaled,
    Refused,
    Unknown,
}

type Instances = Arc<Mutex<Vec<Arc<Instance>>>>;
type Results = Arc<Mutex<BTreeMap<(GroupId, String), ReportedResult>>>;

/// Appends one entry after another at every instance that has reported that it owns the group.
async fn run_caller(
    group: &'static str,
    instances: Instances,
    results: Results,
    done: Arc<AtomicBool>,
) {
    let mut number = 0;
    while !done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let owners: Vec<_> = instances
            .lock()
            .unwrap()
            .iter()
            .filter(|instance| instance.owns(group))
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
            let reported = match answer {
                Ok(Ok(Ok(()))) => ReportedResult::Journaled,
                Ok(Ok(Err(_))) => ReportedResult::Refused,
                Ok(Err(_)) | Err(_) => ReportedResult::Unknown,
            };
            results
                .lock()
                .unwrap()
                .insert((group.into(), key), reported);
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
        5 => Fault::AnswersLostAndReadsFail,
        6 => Fault::Hang,
        _ => Fault::None,
    }
}

/// Replaces, stops, isolates or heals a random instance, or gives its table a random fault.
async fn inject_fault(
    cell: &Cell,
    instances: &Instances,
    random: &mut StdRng,
    last_number: &mut u16,
) {
    let index = random.random_range(0..3);
    let instance = instances.lock().unwrap()[index].clone();
    match random.random_range(0..20) {
        0 => replace(cell, instances, index, last_number).await,
        1 => {
            instance.heal(cell);
            let leaving = instance.clone();
            let left = tokio::time::timeout(Duration::from_millis(300), leaving.hand_over());
            let _ = left.await;
            replace(cell, instances, index, last_number).await;
        }
        2 => instance.isolate(cell),
        3..=8 => instance.heal(cell),
        _ => instance.table.set(random_fault(random)),
    }
}

/// Starts a new incarnation in place of one that is dropped, whatever that one was doing.
async fn replace(cell: &Cell, instances: &Instances, index: usize, last_number: &mut u16) {
    *last_number += 1;
    let instance = Arc::new(start(cell, *last_number, &GROUPS).await);
    instances.lock().unwrap()[index] = instance;
}

/// Guards against lost appends and wrong refusals: after the faults, a new instance must find every
/// entry that was acknowledged, and none that was refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn results_reported_to_callers_hold_after_random_faults() {
    let cell = Cell::new();
    let instances = Instances::default();
    for number in 1..=3 {
        let instance = Arc::new(start(&cell, number, &GROUPS).await);
        instances.lock().unwrap().push(instance);
    }
    let (results, done) = (Results::default(), Arc::new(AtomicBool::new(false)));
    let call = |group| {
        tokio::spawn(run_caller(
            group,
            instances.clone(),
            results.clone(),
            done.clone(),
        ))
    };
    let calls = GROUPS.map(call);
    let mut random = StdRng::seed_from_u64(SEED);
    let mut last_number = 3;

    let begun = Instant::now();
    while begun.elapsed() < FAULT_INJECTION_TIME {
        tokio::time::sleep(Duration::from_millis(random.random_range(20..150))).await;
        inject_fault(&cell, &instances, &mut random, &mut last_number).await;
    }
    done.store(true, Ordering::Relaxed);
    for call in calls {
        call.await.unwrap();
    }
    instances.lock().unwrap().clear();
    let last = start(&cell, 1_000, &GROUPS).await;
    eventually("the last instance owns all groups", || {
        last.owned_count() == GROUPS.len()
    })
    .await;

    let found = GROUPS.map(|group| (group, last.claimed_group(group)));
    let is_found = |group: &str, key: &str| {
        let (_, claimed_group) = found.iter().find(|(g, _)| *g == group).unwrap();
        claimed_group.entries.iter().any(|(k, _)| k == key)
    };
    let results = results.lock().unwrap();
    let count = |reported| {
        results
            .values()
            .filter(|result| **result == reported)
            .count()
    };
    println!(
        "seed {SEED}: {} journaled, {} refused, {} unknown, {} instances, epochs {:?}",
        count(ReportedResult::Journaled),
        count(ReportedResult::Refused),
        count(ReportedResult::Unknown),
        last_number,
        found
            .each_ref()
            .map(|(_, claimed_group)| claimed_group.epoch),
    );
    let violations: Vec<_> = results
        .iter()
        .filter(|((group, key), reported)| match reported {
            ReportedResult::Journaled => !is_found(group, key),
            ReportedResult::Refused => is_found(group, key),
            ReportedResult::Unknown => false,
        })
        .collect();
    assert_eq!(violations, Vec::new());
    assert!(count(ReportedResult::Journaled) > 100);
}
