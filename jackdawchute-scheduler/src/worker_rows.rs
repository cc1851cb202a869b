//! Which saved row names which worker.
//!
//! One row of the store holds a few hundred workers at most, and a change of one is to rewrite few
//! others, so that each worker keeps the row that it was first given.

use std::collections::BTreeSet;

use smol_str::{format_smolstr, SmolStr};

/// What the keys of all rows begin with; the first has no number.
const KEY: &str = "workers";
/// The most workers in a row: half of the 64 KB that the store allows for a row at the usual 90
/// bytes each, with a third more for their encoding.
const WORKERS_PER_ROW: usize = 256;

/// The number of a row.
pub(crate) type RowIndex = usize;

/// The rows that name the workers.
#[derive(Debug, Default)]
pub(crate) struct WorkerRows {
    /// How many workers each has.
    sizes: Vec<usize>,
    unsaved: BTreeSet<RowIndex>,
}

impl WorkerRows {
    /// Gives a new worker a row, which is to be saved.
    pub(crate) fn join(&mut self) -> RowIndex {
        let free = self.sizes.iter().position(|size| *size < WORKERS_PER_ROW);
        let row = free.unwrap_or(self.sizes.len());
        self.rejoin(row);
        self.changed(row);
        row
    }

    /// Counts a worker that was found in a saved row.
    pub(crate) fn rejoin(&mut self, row: RowIndex) {
        if self.sizes.len() <= row {
            self.sizes.resize(row + 1, 0);
        }
        self.sizes[row] += 1;
    }

    /// Takes a worker out of its row.
    pub(crate) fn leave(&mut self, row: RowIndex) {
        if let Some(size) = self.sizes.get_mut(row) {
            *size = size.saturating_sub(1);
        }
        self.changed(row);
    }

    /// Has a row saved with the next batch.
    pub(crate) fn changed(&mut self, row: RowIndex) {
        self.unsaved.insert(row);
    }

    pub(crate) fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    pub(crate) fn take_unsaved(&mut self) -> Option<RowIndex> {
        self.unsaved.pop_first()
    }
}

/// The key of a row.
pub(crate) fn row_key(row: RowIndex) -> SmolStr {
    match row {
        0 => KEY.into(),
        _ => format_smolstr!("{KEY}-{row}"),
    }
}

/// The row of a key; an unknown key counts as that of the first row.
pub(crate) fn row_of_key(key: &str) -> RowIndex {
    let number = key
        .strip_prefix(KEY)
        .and_then(|rest| rest.strip_prefix('-'));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
