//! The assignment of workers to saved rows.
//!
//! A row of the store holds a few hundred workers at most. A worker stays in the row that it was
//! first assigned to, so that a change of one worker rewrites few others.

use std::collections::BTreeSet;

use smol_str::{format_smolstr, SmolStr};

/// The prefix of all row keys, and the key of the first row, which has no number.
const KEY_PREFIX: &str = "workers";
/// The highest number of workers in a row. At the usual 90 bytes for each and a third more for the
/// encoding, they take half of the 64 KB that the store allows for a row.
const WORKERS_PER_ROW: usize = 256;

/// The index of a row of workers, counted from 0.
pub(crate) type RowIndex = usize;

/// The rows in which the workers are saved.
#[derive(Debug, Default)]
pub(crate) struct WorkerRows {
    /// The number of workers in each row.
    sizes: Vec<usize>,
    /// The rows to write with the next batch.
    unsaved: BTreeSet<RowIndex>,
}

impl WorkerRows {
    /// Assigns a new worker to a row with free space, and marks the row as unsaved.
    pub(crate) fn assign(&mut self) -> RowIndex {
        let with_space = self.sizes.iter().position(|size| *size < WORKERS_PER_ROW);
        let row = with_space.unwrap_or(self.sizes.len());
        self.add(row);
        self.mark_unsaved(row);
        row
    }

    /// Counts a worker in a row.
    pub(crate) fn add(&mut self, row: RowIndex) {
        if self.sizes.len() <= row {
            self.sizes.resize(row + 1, 0);
        }
        self.sizes[row] += 1;
    }

    /// Removes a worker from its row, and marks the row as unsaved.
    pub(crate) fn remove(&mut self, row: RowIndex) {
        if let Some(size) = self.sizes.get_mut(row) {
            *size = size.saturating_sub(1);
        }
        self.mark_unsaved(row);
    }

    /// Marks a row as unsaved, to be written with the next batch.
    pub(crate) fn mark_unsaved(&mut self, row: RowIndex) {
        self.unsaved.insert(row);
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
