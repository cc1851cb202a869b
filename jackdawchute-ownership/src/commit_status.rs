//! Decides the fate of a commit whose answer was lost, from the holder's row.

use jackdawchute_ports::RowVersion;
use jackdawchute_types::IncarnationId;

use crate::{rows::IncarnationRow, view::Versioned};

/// What became of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommitStatus {
    /// It took effect.
    Committed {
        /// The version that the holder's row has now.
        version: RowVersion,
        /// The successor, if the row was fenced afterwards.
        fenced_by: Option<IncarnationId>,
    },
    /// It has not taken effect, and may still: send it again under the same write id.
    Pending,
    /// It did not take effect and never will, because its holder was fenced.
    Rejected {
        /// The successor.
        fenced_by: IncarnationId,
    },
    /// The row was deleted after its holder had been fenced: it may have taken effect before.
    RowDeleted,
}

/// Reads a commit's fate from its holder's row.
///
/// The commit depends on the row's version being `expected`. As long as the row has that version
/// the commit may still arrive; once it has another one, the write id in the row tells whether
/// the change was this commit, because a fence leaves the holder's last write id in place.
pub fn commit_status(
    write_id: &str,
    expected: RowVersion,
    row: Option<&Versioned<IncarnationRow>>,
) -> CommitStatus {
    let found = row.and_then(|known| Some((known.version, known.row.as_ref()?)));
    match found {
        None if expected == 0 => CommitStatus::Pending,
        None => CommitStatus::RowDeleted,
        Some((version, row)) if row.write_id == write_id => CommitStatus::Committed {
            version,
            fenced_by: row.fenced_by.clone(),
        },
        Some((version, _)) if version == expected => CommitStatus::Pending,
        Some((_, row)) => CommitStatus::Rejected {
            fenced_by: row
                .fenced_by
                .clone()
                .unwrap_or_else(|| "an unknown writer".into()),
        },
    }
}
