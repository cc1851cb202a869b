//! Violations that the checks find.

use std::fmt;

use jackdawchute_types::{MinionId, RequestKey, Resources, TaskId, WorkerId};
use smol_str::SmolStr;

/// A broken guarantee, as the records of minions and workers show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A minion ran more requests at once than it has slots.
    BeyondSlots {
        /// The minion.
        minion: MinionId,
        /// The number of its slots.
        slots: u32,
        /// The most requests that ran at once.
        concurrent: u32,
    },
    /// A minion had more connections open at once than it allows.
    BeyondConnections {
        /// The minion.
        minion: MinionId,
        /// The most connections that it allows.
        limit: u32,
        /// The most connections that were open at once.
        open: u32,
    },
    /// The tasks that ran on a worker declared more resources than it has.
    BeyondSize {
        /// The worker.
        worker: WorkerId,
        /// The worker's resources.
        size: Resources,
        /// The most of each resource that running tasks declared at once.
        charge: Resources,
    },
    /// Two attempts of a task overlapped, on two workers or on one.
    TwoPlaces {
        /// The task.
        task: TaskId,
        /// The worker and attempt that began first.
        first: (WorkerId, u32),
        /// The worker and attempt of the other run.
        second: (WorkerId, u32),
    },
    /// The request of an idempotency key ran more than once.
    KeyRepeated {
        /// The idempotency key.
        key: RequestKey,
        /// How many times it ran.
        runs: u32,
    },
    /// A request ran although it was refused as not run.
    RanThoughRefused {
        /// The request's tag.
        tag: SmolStr,
    },
    /// A request was answered, but the records do not show exactly one run.
    NotOnce {
        /// The request's tag.
        tag: SmolStr,
        /// How many times it ran.
        runs: u32,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}
