//! The size of saved rows, and the division of a value over several of them.

use smol_str::{format_smolstr, SmolStr};

/// The most bytes of a saved row. The store takes 64 KB for each in base64, which adds a third.
pub(crate) const ROW_BYTES_MAX: usize = 48_000;

/// The most bytes of an accepted job with the policy of its queue, over all its rows.
pub(crate) const JOB_BYTES_MAX: usize = 350_000;
/// The most bytes of a job's steps and payload; the rest is left to the policy, which is part of a
/// single row of the configuration.
pub(crate) const JOB_GRAPH_BYTES_MAX: usize = 290_000;

/// The character before the number in a row key; ids of jobs have none.
const NUMBER_SEPARATOR: char = '/';

/// The number of a row among those that hold one value.
pub(crate) type RowNumber = u64;

/// Returns the key of one of the rows that hold a value; the first has the key of the value.
pub(crate) fn numbered_key(key: &str, number: RowNumber) -> SmolStr {
    match number {
        0 => key.into(),
        _ => format_smolstr!("{key}{NUMBER_SEPARATOR}{number}"),
    }
}

/// Splits the key of one of several rows into the key of the value and the number of the row.
pub(crate) fn split_key(key: &str) -> (&str, RowNumber) {
    let numbered = key
        .rsplit_once(NUMBER_SEPARATOR)
        .and_then(|(key, number)| Some((key, number.parse().ok()?)));
    numbered.unwrap_or((key, 0))
}
