//! Decides from the holder's row what became of a commit whose answer was lost.

use jackdawchute_ports::RowVersion;
use jackdawchute_types::IncarnationId;

use crate::{rows::IncarnationRow, view::Versioned};

/// What became of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommitStatus {
    /// It took effect.
    Committed {
        /// The current version of the holder's row.
        version: RowVersion,
        /// The successor, if the row was fenced afterwards.
        fenced_by: Option<IncarnationId>,
    },
    /// It has not taken effect yet, but still may: send it again under the same write id.
    Pending,
    /// It did not take effect and never will, because the holder was fenced first.
    Rejected {
        /// The successor.
        fenced_by: IncarnationId,
    },
    /// The row was deleted after the holder had been fenced; whether the commit took effect before
    /// the fence cannot be known.
    RowDeleted,
}

/// Returns the status of a commit, given the holder's row as it was read.
///
/// The commit is conditional on the row having the version `expected_version`. As long as the row
/// has that version, the commit may still arrive. Once it has another one, the write id in the row
/// tells whether this commit made the change, because a fence leaves the last write id of the
/// holder in place.
pub fn commit_status(
    write_id: &str,
    expected_version: RowVersion,
    row: Option<&Versioned<IncarnationRow>>,
) -> CommitStatus {
    let known_row = row.and_then(|known| Some((known.version, known.row.as_ref()?)));
    match known_row {
        None if expected_version == 0 => CommitStatus::Pending,
        None => CommitStatus::RowDeleted,
        Some((version, row)) if row.write_id == write_id => CommitStatus::Committed {
            version,
            fenced_by: row.fenced_by.clone(),
        },
        Some((version, _)) if version == expected_version => CommitStatus::Pending,
        Some((_, row)) => CommitStatus::Rejected {
            fenced_by: row
                .fenced_by
                .clone()
                .unwrap_or_else(|| "an unknown writer".into()),
        },
    }
}
