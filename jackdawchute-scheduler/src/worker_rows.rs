//! The assignment of workers to saved rows.
//!
//! A row holds as many workers as the store takes in one row. A worker stays in the row that it was
//! first assigned to, so that a change of one worker rewrites few others.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use smol_str::{format_smolstr, SmolStr};

use crate::row_size::ROW_BYTES_MAX;

/// The prefix of all row keys, and the key of the first row, which has no number.
const KEY_PREFIX: &str = "workers";
/// How often rows that tell what is left of a lease are written anew.
const LEASES_PERIOD: Duration = Duration::from_secs(2);
/// The highest number of workers in a row; a change of one of them rewrites all.
const WORKERS_PER_ROW: usize = 256;

/// The index of a row of workers, counted from 0.
pub(crate) type RowIndex = usize;

/// What the workers of a row add up to.
#[derive(Clone, Copy, Debug, Default)]
struct RowSize {
    workers: usize,
    bytes: usize,
}

/// The rows in which the workers are saved.
#[derive(Debug, Default)]
pub(crate) struct WorkerRows {
    sizes: Vec<RowSize>,
    /// The rows to write with the next batch.
    unsaved: BTreeSet<RowIndex>,
    /// When the rows that tell what is left of a lease were last due.
    leases_due_at: Option<Instant>,
}

impl WorkerRows {
    /// Assigns a new worker, whose record takes `bytes` at most, to a row with space for it.
    pub(crate) fn assign(&mut self, bytes: usize) -> RowIndex {
        let has_space = |size: &RowSize| {
            size.workers < WORKERS_PER_ROW && size.bytes.saturating_add(bytes) <= ROW_BYTES_MAX
        };
        let with_space = self.sizes.iter().position(has_space);
        let row = with_space.unwrap_or(self.sizes.len());
        self.add(row, bytes);
        row
    }

    /// Counts a worker in a row.
    pub(crate) fn add(&mut self, row: RowIndex, bytes: usize) {
        if self.sizes.len() <= row {
            self.sizes.resize(row + 1, RowSize::default());
        }
        self.sizes[row].workers += 1;
        self.sizes[row].bytes += bytes;
    }

    /// Removes a worker from its row, and marks the row as unsaved.
    pub(crate) fn remove(&mut self, row: RowIndex, bytes: usize) {
        if let Some(size) = self.sizes.get_mut(row) {
            size.workers = size.workers.saturating_sub(1);
            size.bytes = size.bytes.saturating_sub(bytes);
        }
        self.mark_unsaved(row);
    }

    /// Marks a row as unsaved, to be written with the next batch.
    pub(crate) fn mark_unsaved(&mut self, row: RowIndex) {
        self.unsaved.insert(row);
    }

    /// Returns whether rows that tell what is left of a lease are due again, and counts from now if so.
    pub(crate) fn leases_are_due(&mut self, now: Instant) -> bool {
        let due_at = *self.leases_due_at.get_or_insert(now);
        let is_due = now.saturating_duration_since(due_at) >= LEASES_PERIOD;
        if is_due {
            self.leases_due_at = Some(now);
        }
        is_due
    }

    pub(crate) fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    /// Returns the first unsaved row, and marks it as saved.
    pub(crate) fn take_unsaved(&mut self) -> Option<RowIndex> {
        self.unsaved.pop_first()
    }
}

/// Returns the key of a row.
pub(crate) fn row_key(row: RowIndex) -> SmolStr {
    match row {
        0 => KEY_PREFIX.into(),
        _ => format_smolstr!("{KEY_PREFIX}-{row}"),
    }
}

/// Returns the index of the row with this key; 0 for a key of another form.
pub(crate) fn row_index(key: &str) -> RowIndex {
    let number = key
        .strip_prefix(KEY_PREFIX)
        .and_then(|rest| rest.strip_prefix('-'));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
