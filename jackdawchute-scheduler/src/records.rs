//! The saved rows of accepted jobs, ended jobs and workers.

use std::time::{Duration, Instant};

use jackdawchute_types::{whole_ms, JobId, Resources, ServiceId, TenantId, WorkerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use spdlog::error;

use crate::{
    authority::hold_time,
    row_size::{numbered_key, RowNumber, ROW_BYTES_MAX},
    worker::Worker,
    JobGraph, JobOutcome, QueuePolicy, RowChange, RowTable, Settings,
};

/// The row of an accepted job.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// The job as submitted.
    pub(crate) graph: JobGraph,
    /// The policy of the job's queue at its acceptance.
    pub(crate) queue: QueuePolicy,
    /// The tenant that submitted the job; rows of earlier versions have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) tenant: Option<TenantId>,
    /// When the row was written, in Unix milliseconds; a later leader derives the job's age from
    /// it.
    pub(crate) accepted_unix_ms: u64,
}

/// What tasks of an ended job may still run until they are stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunsLeft {
    pub(crate) service: ServiceId,
    pub(crate) resources: Resources,
}

/// The outcome of an ended job; a row holds those of one commit.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EndedRecord {
    pub(crate) job: JobId,
    pub(crate) outcome: JobOutcome,
    /// The tenant that submitted the job; rows of earlier versions have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) tenant: Option<TenantId>,
    /// What counts against the tenant's cap until a new leader knows the runs of all workers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) runs_left: Option<RunsLeft>,
}

/// A worker that may run tasks; a row holds several.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WorkerRecord {
    pub(crate) worker: WorkerId,
    pub(crate) address: std::net::SocketAddr,
    /// Whether the worker may carry out an order late that extends its lease.
    #[serde(default, rename = "late", skip_serializing_if = "std::ops::Not::not")]
    pub(crate) may_extend_late: bool,
    /// When the incarnation started that has acknowledged a leader's token; rows of earlier versions
    /// don't tell.
    #[serde(default, rename = "started", skip_serializing_if = "Option::is_none")]
    pub(crate) acknowledged_start_unix_ms: Option<u64>,
    /// How long runs may last, from when the row was written, under a lease that an order to a former
    /// incarnation extended; rows of earlier versions have none.
    #[serde(default, rename = "former_ms", skip_serializing_if = "Option::is_none")]
    former_lease_left_ms: Option<u64>,
    /// Present in rows of versions that gave tasks to workers before their rows were saved.
    #[serde(default, rename = "service", skip_serializing)]
    earlier_service: Option<SmolStr>,
}

impl WorkerRecord {
    /// Returns the record of a worker, written at `as_of` or later.
    pub(crate) fn new(worker: &Worker, as_of: Instant) -> Self {
        let left = |until: Instant| whole_ms(until.saturating_duration_since(as_of)) + 1;
        Self {
            worker: worker.id().clone(),
            address: worker.entry.address,
            may_extend_late: worker.extensions.may_be_late(),
            acknowledged_start_unix_ms: worker.acknowledged_start_unix_ms,
            former_lease_left_ms: worker.former_lease_until.map(left),
            earlier_service: None,
        }
    }

    /// Returns until when runs may last under a lease that an order to a former incarnation extended,
    /// where the row was written before `now`; `None` if there is no such lease.
    pub(crate) fn former_lease_until(&self, settings: &Settings, now: Instant) -> Option<Instant> {
        let left = Duration::from_millis(self.former_lease_left_ms?);
        Some(now + left.min(hold_time(settings)))
    }

    /// Returns whether workers that no row names may run tasks of the leader that wrote the row.
    pub(crate) fn allows_unsaved_workers(&self) -> bool {
        self.earlier_service.is_some()
    }

    /// Returns the most bytes that the record of a worker takes in its row, whatever address it
    /// has.
    pub(crate) fn bytes_max(worker: &WorkerId) -> usize {
        encoded("worker", worker).len() + WORKER_RECORD_BYTES_MAX
    }
}

/// The most bytes of a worker's record without its id: the names of the fields, the longest address
/// and two times.
const WORKER_RECORD_BYTES_MAX: usize = 144;

/// Returns the removal of a row.
pub(crate) fn removal(table: RowTable, key: SmolStr) -> RowChange {
    RowChange {
        table,
        key,
        value: None,
    }
}

/// Returns the write of a row.
pub(crate) fn saved_row<T: Serialize>(table: RowTable, key: SmolStr, record: &T) -> RowChange {
    let value = encoded(&key, record);
    RowChange {
        table,
        key,
        value: Some(value),
    }
}

/// Returns the writes of a record that is divided over as many rows as it needs.
pub(crate) fn divided_rows<T: Serialize>(table: RowTable, key: &str, record: &T) -> Vec<RowChange> {
    let value = encoded(key, record);
    let parts = (0 as RowNumber..).zip(value.chunks(ROW_BYTES_MAX));
    let row = |(number, part): (RowNumber, &[u8])| RowChange {
        table,
        key: numbered_key(key, number),
        value: Some(part.to_vec()),
    };
    parts.map(row).collect()
}

/// Returns the encoded content of a row.
pub(crate) fn encoded<T: Serialize>(key: &str, record: &T) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_else(|cause| {
        error!("cannot encode saved row", kv: { key = key, cause: = cause });
        Vec::new()
    })
}
