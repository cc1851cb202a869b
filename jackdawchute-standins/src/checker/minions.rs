//! Checks on the records of minions.

use std::collections::BTreeMap;

use jackdawchute_trial::minion::MinionRecord;
use jackdawchute_types::MinionId;
use smol_str::SmolStr;

use super::Violation;
use crate::proxy::ProxyCounts;

/// Finds minions that ran more requests at once than they have slots.
pub fn within_slots(records: &[MinionRecord]) -> Vec<Violation> {
    let beyond = records.iter().filter(|record| !record.is_within_slots());
    beyond
        .map(|record| Violation::BeyondSlots {
            minion: record.minion.clone(),
            slots: record.slots,
            concurrent: record.max_concurrent,
        })
        .collect()
}

/// Finds minions with more than `limit` connections open at once.
pub fn within_connections(counts: &[(MinionId, ProxyCounts)], limit: u32) -> Vec<Violation> {
    let beyond = counts.iter().filter(|(_, counts)| counts.max_open > limit);
    beyond
        .map(|(minion, counts)| Violation::BeyondConnections {
            minion: minion.clone(),
            limit,
            open: counts.max_open,
        })
        .collect()
}

/// Finds idempotency keys whose request ran more than once, over all minions.
///
/// ```
/// use jackdawchute_standins::checker::each_key_at_most_once;
///
/// assert_eq!(each_key_at_most_once(&[]), []);
/// ```
pub fn each_key_at_most_once(records: &[MinionRecord]) -> Vec<Violation> {
    let mut runs_per_key = BTreeMap::new();
    for (key, runs) in records.iter().flat_map(MinionRecord::runs_per_key) {
        *runs_per_key.entry(key).or_insert(0) += runs;
    }
    runs_per_key
        .into_iter()
        .filter(|(_, runs)| *runs > 1)
        .map(|(key, runs)| Violation::KeyRepeated { key, runs })
        .collect()
}

/// Finds requests that ran although they were refused as not run.
pub fn never_ran(records: &[MinionRecord], refused_tags: &[SmolStr]) -> Vec<Violation> {
    let runs = runs_per_tag(records);
    refused_tags
        .iter()
        .filter(|tag| runs.contains_key(tag.as_str()))
        .map(|tag| Violation::RanThoughRefused { tag: tag.clone() })
        .collect()
}

/// Finds answered requests that did not run exactly once.
pub fn ran_once(records: &[MinionRecord], answered_tags: &[SmolStr]) -> Vec<Violation> {
    let runs = runs_per_tag(records);
    let runs_of = |tag: &SmolStr| runs.get(tag.as_str()).copied().unwrap_or(0);
    answered_tags
        .iter()
        .filter(|tag| runs_of(tag) != 1)
        .map(|tag| Violation::NotOnce {
            tag: tag.clone(),
            runs: runs_of(tag),
        })
        .collect()
}

fn runs_per_tag(records: &[MinionRecord]) -> BTreeMap<&str, u32> {
    let mut runs_per_tag = BTreeMap::new();
    for run in records.iter().flat_map(|record| &record.runs) {
        *runs_per_tag.entry(run.tag.as_str()).or_default() += 1;
    }
    runs_per_tag
}
