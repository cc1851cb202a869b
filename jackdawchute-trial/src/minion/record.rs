//! What truly ran on a minion.

use std::{collections::BTreeMap, time::SystemTime};

use jackdawchute_types::{MinionId, RequestKey};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One request that a minion ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// The request's method.
    pub method: SmolStr,
    /// The request's path and query.
    pub path: SmolStr,
    /// The header `x-request-tag`, or empty.
    pub tag: SmolStr,
    /// The header `idempotency-key`.
    pub key: Option<RequestKey>,
    /// When it began.
    pub started: SystemTime,
    /// When it ended, or `None` while it runs.
    pub ended: Option<SystemTime>,
}

/// Every request that one minion ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRecord {
    /// The minion.
    pub minion: MinionId,
    /// The most requests that it should run at a time.
    pub slots: u32,
    /// The requests in the order of their starts.
    pub runs: Vec<RequestRun>,
    /// The most requests that it ran at a time.
    pub max_concurrent: u32,
}

impl MinionRecord {
    /// How often each idempotency key ran.
    pub fn runs_per_key(&self) -> BTreeMap<RequestKey, u32> {
        let mut runs = BTreeMap::new();
        for key in self.runs.iter().filter_map(|run| run.key.clone()) {
            *runs.entry(key).or_default() += 1;
        }
        runs
    }

    /// The runs of the request with this tag.
    pub fn runs_of<'a>(&'a self, tag: &'a str) -> impl Iterator<Item = &'a RequestRun> {
        self.runs.iter().filter(move |run| run.tag == tag)
    }

    /// Whether it never ran more requests than it has slots.
    pub fn is_within_slots(&self) -> bool {
        self.max_concurrent <= self.slots
    }
}
