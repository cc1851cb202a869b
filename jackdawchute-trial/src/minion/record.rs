//! The record of the requests that a minion served.

use std::{collections::BTreeMap, time::SystemTime};

use jackdawchute_types::{MinionId, RequestKey};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One request that a minion served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// The request's method.
    pub method: SmolStr,
    /// The request's path and query.
    pub path: SmolStr,
    /// The value of the header `x-request-tag`; empty without one.
    pub tag: SmolStr,
    /// The value of the header `idempotency-key`.
    pub key: Option<RequestKey>,
    /// When the minion began to serve it.
    pub started: SystemTime,
    /// When the minion had served it; `None` while it runs.
    pub ended: Option<SystemTime>,
}

/// Every request that one minion served since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRecord {
    /// The minion's id.
    pub minion: MinionId,
    /// How many requests the minion should get at a time.
    pub slots: u32,
    /// The requests, in the order of their starts.
    pub runs: Vec<RequestRun>,
    /// The highest number of requests that ran at a time.
    pub max_concurrent: u32,
}

impl MinionRecord {
    /// Returns how many requests ran under each idempotency key.
    pub fn runs_per_key(&self) -> BTreeMap<RequestKey, u32> {
        let mut runs = BTreeMap::new();
        for key in self.runs.iter().filter_map(|run| run.key.clone()) {
            *runs.entry(key).or_default() += 1;
        }
        runs
    }

    /// Returns the runs of the requests with this tag, in the order of their starts.
    pub fn runs_of<'a>(&'a self, tag: &'a str) -> impl Iterator<Item = &'a RequestRun> {
        self.runs.iter().filter(move |run| run.tag == tag)
    }

    /// Returns whether the minion never ran more requests at a time than it has slots.
    pub fn is_within_slots(&self) -> bool {
        self.max_concurrent <= self.slots
    }
}
