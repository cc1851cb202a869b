//! Accepting workers by free capacity, so that a search compares only a few of them.

use std::collections::{BTreeMap, HashMap};

use jackdawchute_types::Resources;

/// The number of a worker in its [`Fleet`](crate::Fleet); reused after the worker is removed.
pub(crate) type WorkerNumber = u32;
/// Free processor time and memory, each rounded down to a quarter of a power of two.
type Bucket = (u8, u8);

/// How many fitting workers are compared in a bucket that exceeds that of the need in both amounts,
/// so that all its workers fit.
const CANDIDATES_MAX: usize = 4;
/// How many fitting workers are compared in a bucket that shares an amount with that of the need,
/// so that only some of its workers may fit.
const EDGE_CANDIDATES_MAX: usize = 32;
/// Binary logarithm of the number of steps that each power of two is divided into.
const STEP_BITS: u32 = 2;

/// Where a worker is stored in the index.
#[derive(Clone, Copy, Debug)]
struct Position {
    accelerators: u32,
    bucket: Bucket,
    offset: usize,
}

/// Workers by free accelerators, then by buckets of free processor time and memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    levels: BTreeMap<u32, BTreeMap<Bucket, Vec<WorkerNumber>>>,
    positions: HashMap<WorkerNumber, Position>,
}

/// Returns a worker's score, of which lower is better, or `None` if the task does not fit.
pub(crate) type Score<'a> = &'a mut dyn FnMut(WorkerNumber) -> Option<f64>;

impl Index {
    /// Adds a worker or moves it to the bucket of its free capacity.
    pub fn insert(&mut self, number: WorkerNumber, free: &Resources) {
        self.remove(number);
        let bucket = bucket_of(free);
        let level = self.levels.entry(free.accelerators).or_default();
        let members = level.entry(bucket).or_default();
        let position = Position {
            accelerators: free.accelerators,
            bucket,
            offset: members.len(),
        };
        members.push(number);
        self.positions.insert(number, position);
    }

    /// Removes a worker, if it is in the index.
    pub fn remove(&mut self, number: WorkerNumber) {
        let Some(position) = self.positions.remove(&number) else {
            return;
        };
        let Some(level) = self.levels.get_mut(&position.accelerators) else {
            return;
        };
        if let Some(members) = level.get_mut(&position.bucket) {
            members.swap_remove(position.offset);
            if let Some(moved) = members.get(position.offset) {
                if let Some(moved) = self.positions.get_mut(moved) {
                    moved.offset = position.offset;
                }
            }
            if members.is_empty() {
                level.remove(&position.bucket);
            }
        }
        if level.is_empty() {
            self.levels.remove(&position.accelerators);
        }
    }

    /// Returns the best worker that fits, of those with the fewest free accelerators that suffice.
    pub fn best(&self, need: &Resources, score: Score<'_>) -> Option<WorkerNumber> {
        let levels = self.levels.range(need.accelerators..);
        let mut levels = levels.map(|(_, level)| level);
        levels.find_map(|level| best_in_level(level, bucket_of(need), score))
    }
}

/// Returns the best worker among those that are compared: for each amount of free processor time,
/// workers of the bucket with the least memory in which one fits.
fn best_in_level(
    level: &BTreeMap<Bucket, Vec<WorkerNumber>>,
    need: Bucket,
    score: Score<'_>,
) -> Option<WorkerNumber> {
    let mut best: Option<(f64, WorkerNumber)> = None;
    let mut from = need;
    while let Some((&bucket, members)) = level.range(from..).next() {
        if bucket.1 < need.1 {
            from = (bucket.0, need.1);
            continue;
        }
        let is_edge = bucket.0 == need.0 || bucket.1 == need.1;
        let found = best_in_bucket(members, is_edge, score);
        let Some(found) = found else {
            from = next_bucket(bucket);
            continue;
        };
        if best.is_none_or(|best| found.0 < best.0) {
            best = Some(found);
        }
        let Some(next) = bucket.0.checked_add(1) else {
            break;
        };
        from = (next, need.1);
    }
    best.map(|(_, number)| number)
}

/// Returns the best of the first few workers of a bucket that fit, latest added first.
fn best_in_bucket(
    members: &[WorkerNumber],
    is_edge: bool,
    score: Score<'_>,
) -> Option<(f64, WorkerNumber)> {
    let candidates_max = if is_edge {
        EDGE_CANDIDATES_MAX
    } else {
        CANDIDATES_MAX
    };
    let scored = members
        .iter()
        .rev()
        .filter_map(|&number| Some((score(number)?, number)));
    let scored = scored.take(candidates_max);
    scored.min_by(|left, right| left.0.total_cmp(&right.0))
}

/// Returns the bucket that follows in the order of the map.
fn next_bucket(bucket: Bucket) -> Bucket {
    match bucket.1.checked_add(1) {
        Some(memory) => (bucket.0, memory),
        None => (bucket.0.saturating_add(1), 0),
    }
}

fn bucket_of(free: &Resources) -> Bucket {
    (step(free.processor_millicores), step(free.memory_mib))
}

/// Returns a number that ascends with the amount, by four steps for each power of two.
fn step(amount: u64) -> u8 {
    let Some(log) = amount.checked_ilog2() else {
        return 0;
    };
    let fraction = (amount << STEP_BITS >> log) & ((1 << STEP_BITS) - 1);
    u8::try_from(1 + (u64::from(log) << STEP_BITS) + fraction).unwrap_or(u8::MAX)
}
