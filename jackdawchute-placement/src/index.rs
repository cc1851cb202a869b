//! Workers by what is free of them, so that a search looks at few of them.

use std::collections::{BTreeMap, HashMap};

use jackdawchute_types::Resources;

/// The number of a worker in its fleet.
pub(crate) type SlotNumber = u32;
/// Free processor time and memory, each rounded down to a quarter of a power of two.
type Bucket = (u8, u8);

/// The workers looked at in a bucket that surely fits.
const LOOKS_MAX: usize = 4;
/// The workers looked at in a bucket of which only some may fit.
const LOOKS_AT_EDGE_MAX: usize = 32;
/// The steps in which a power of two is divided, as a power of two itself.
const STEP_BITS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Place {
    accelerators: u32,
    bucket: Bucket,
    position: usize,
}

/// Workers by free accelerators, then by free processor time and memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    levels: BTreeMap<u32, BTreeMap<Bucket, Vec<SlotNumber>>>,
    places: HashMap<SlotNumber, Place>,
}

/// Rates a worker, lower is better; `None` if it does not fit.
pub(crate) type Score<'a> = &'a mut dyn FnMut(SlotNumber) -> Option<f64>;

impl Index {
    pub fn insert(&mut self, number: SlotNumber, free: &Resources) {
        self.remove(number);
        let bucket = bucket_of(free);
        let level = self.levels.entry(free.accelerators).or_default();
        let members = level.entry(bucket).or_default();
        let place = Place {
            accelerators: free.accelerators,
            bucket,
            position: members.len(),
        };
        members.push(number);
        self.places.insert(number, place);
    }

    pub fn remove(&mut self, number: SlotNumber) {
        let Some(place) = self.places.remove(&number) else {
            return;
        };
        let Some(level) = self.levels.get_mut(&place.accelerators) else {
            return;
        };
        if let Some(members) = level.get_mut(&place.bucket) {
            members.swap_remove(place.position);
            if let Some(moved) = members.get(place.position) {
                if let Some(moved) = self.places.get_mut(moved) {
                    moved.position = place.position;
                }
            }
            if members.is_empty() {
                level.remove(&place.bucket);
            }
        }
        if level.is_empty() {
            self.levels.remove(&place.accelerators);
        }
    }

    /// The best worker with room, of those with the fewest free accelerators that suffice.
    pub fn best(&self, need: &Resources, score: Score<'_>) -> Option<SlotNumber> {
        let levels = self.levels.range(need.accelerators..);
        let mut levels = levels.map(|(_, level)| level);
        levels.find_map(|level| best_in(level, bucket_of(need), score))
    }
}

/// Takes each amount of free processor time in turn and the least memory that fits with it.
fn best_in(
    level: &BTreeMap<Bucket, Vec<SlotNumber>>,
    need: Bucket,
    score: Score<'_>,
) -> Option<SlotNumber> {
    let mut best: Option<(f64, SlotNumber)> = None;
    let mut from = need;
    while let Some((&bucket, members)) = level.range(from..).next() {
        if bucket.1 < need.1 {
            from = (bucket.0, need.1);
            continue;
        }
        let edge = bucket.0 == need.0 || bucket.1 == need.1;
        let found = best_of(members, edge, score);
        let Some(found) = found else {
            from = following(bucket);
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

fn best_of(members: &[SlotNumber], edge: bool, score: Score<'_>) -> Option<(f64, SlotNumber)> {
    let looks_max = if edge { LOOKS_AT_EDGE_MAX } else { LOOKS_MAX };
    let rated = members
        .iter()
        .rev()
        .filter_map(|&number| Some((score(number)?, number)));
    let rated = rated.take(looks_max);
    rated.min_by(|left, right| left.0.total_cmp(&right.0))
}

fn following(bucket: Bucket) -> Bucket {
    match bucket.1.checked_add(1) {
        Some(memory) => (bucket.0, memory),
        None => (bucket.0.saturating_add(1), 0),
    }
}

fn bucket_of(free: &Resources) -> Bucket {
    (step(free.processor_millicores), step(free.memory_mib))
}

/// Ascends with the amount, by four steps for each power of two.
fn step(amount: u64) -> u8 {
    let Some(log) = amount.checked_ilog2() else {
        return 0;
    };
    let fraction = (amount << STEP_BITS >> log) & ((1 << STEP_BITS) - 1);
    u8::try_from(1 + (u64::from(log) << STEP_BITS) + fraction).unwrap_or(u8::MAX)
}
