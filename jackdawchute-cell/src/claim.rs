//! Claims of the cell's epoch.

use jackdawchute_types::Epoch;
use serde::{Deserialize, Serialize};

use crate::{
    rows::{encode, HeadRecord, LeaderRecord, HEAD_TABLE, LEADER_TABLE, PART, SOLE_KEY},
    Transaction, TransactionOutcome, Write,
};

/// The leader row with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderRow {
    pub(crate) record: LeaderRecord,
    pub(crate) version: u64,
}

/// The outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimOutcome {
    /// This instance is the leader, and the chain continues from the version.
    Won { epoch: Epoch, version: u64 },
    /// Another instance has claimed the epoch; the leader row, if the store returned it.
    Lost(Option<LeaderRow>),
}

/// Returns the transaction that claims the epoch after `known`, the leader row to replace.
///
/// It writes the head row without a condition on its version, so that a predecessor that still
/// commits can neither prevent the claim nor commit after it.
pub(crate) fn transaction(known: Option<&LeaderRow>, claim: &LeaderRecord) -> Transaction {
    let head = HeadRecord {
        epoch: claim.epoch,
        commits: 0,
        settled: known.is_none(),
    };
    let write = |table: &str, value| Write {
        table: table.into(),
        key: SOLE_KEY.into(),
        value: Some(value),
    };
    let version = known.map_or(0, |row| row.version);
    Transaction {
        part: PART.into(),
        expected: vec![(LEADER_TABLE.into(), SOLE_KEY.into(), version)],
        writes: vec![
            write(LEADER_TABLE, encode(claim)),
            write(HEAD_TABLE, encode(&head)),
        ],
    }
}

/// Returns the outcome of a claim; a conflict may show that an earlier attempt of it took effect.
pub(crate) fn outcome(claim: &LeaderRecord, outcome: TransactionOutcome) -> ClaimOutcome {
    match outcome {
        TransactionOutcome::Committed { version } => ClaimOutcome::Won {
            epoch: claim.epoch,
            version,
        },
        TransactionOutcome::Conflict { rows } => {
            let row = rows.into_iter().find(|row| row.table == LEADER_TABLE);
            let row = row.and_then(|row| {
                let record = serde_json::from_slice(row.value.as_deref()?).ok()?;
                Some(LeaderRow {
                    record,
                    version: row.version,
                })
            });
            match row {
                Some(row) if row.record == *claim => ClaimOutcome::Won {
                    epoch: claim.epoch,
                    version: row.version,
                },
                other => ClaimOutcome::Lost(other),
            }
        }
    }
}
