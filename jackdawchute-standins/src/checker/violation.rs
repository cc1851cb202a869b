//! What a check may find.

use std::fmt;

use jackdawchute_types::{MinionId, RequestKey, Resources, TaskId, WorkerId};
use smol_str::SmolStr;

/// Something that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A minion ran more requests at a time than it has slots.
    BeyondSlots {
        /// The minion.
        minion: MinionId,
        /// Its slots.
        slots: u32,
        /// The most requests at a time.
        concurrent: u32,
    },
    /// A minion had more connections at a time than it may.
    BeyondConnections {
        /// The minion.
        minion: MinionId,
        /// The most that it may have.
        limit: u32,
        /// The most that it had.
        open: u32,
    },
    /// The tasks of a worker declared more than it has.
    BeyondSize {
        /// The worker.
        worker: WorkerId,
        /// What it has.
        size: Resources,
        /// The most of each resource that was declared at a time.
        charge: Resources,
    },
    /// A task ran in two places at once, or twice in one.
    TwoPlaces {
        /// The task.
        task: TaskId,
        /// Where, and at which attempt.
        first: (WorkerId, u32),
        /// Where else, and at which attempt.
        second: (WorkerId, u32),
    },
    /// A key ran more than once.
    KeyRepeated {
        /// The key.
        key: RequestKey,
        /// How often it ran.
        runs: u32,
    },
    /// A request ran although its refusal said that it did not.
    RanThoughRefused {
        /// The request's tag.
        tag: SmolStr,
    },
    /// A request was answered and its record does not show exactly one run.
    NotOnce {
        /// The request's tag.
        tag: SmolStr,
        /// How often it ran.
        runs: u32,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}
