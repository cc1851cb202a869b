//! The records of what ran in a cell, and checks on them.

use jackdawchute_trial::{minion::MinionRecord, worker::WorkerRecord};

use super::Cell;
use crate::{
    checker::{
        each_key_at_most_once, one_place_at_a_time, within_connections, within_size, within_slots,
        Violation,
    },
    Result,
};

impl Cell {
    /// Returns the record of each minion.
    ///
    /// # Errors
    /// A minion's task has ended.
    pub async fn minion_records(&self) -> Result<Vec<MinionRecord>> {
        let mut records = Vec::new();
        for minion in &self.minions {
            records.push(minion.minion.record().await?);
        }
        Ok(records)
    }

    /// Returns the record of each worker.
    ///
    /// # Errors
    /// A worker's task has ended.
    pub async fn worker_records(&self) -> Result<Vec<WorkerRecord>> {
        let mut records = Vec::new();
        for worker in &self.workers {
            records.push(worker.worker.record().await?);
        }
        Ok(records)
    }

    /// Returns the violations that the records show: more requests or connections than a minion may
    /// have, tasks beyond a worker's resources, a task that ran twice at the same time, and an
    /// idempotency key that ran more than once.
    ///
    /// Tests set keys on non-idempotent requests only, so that a key must not run more than once.
    ///
    /// # Errors
    /// A stand-in's task has ended.
    pub async fn violations(&self) -> Result<Vec<Violation>> {
        let minions = self.minion_records().await?;
        let workers = self.worker_records().await?;
        let mut violations = within_slots(&minions);
        violations.extend(each_key_at_most_once(&minions));
        violations.extend(within_size(&workers));
        violations.extend(one_place_at_a_time(&workers));
        for minion in &self.minions {
            let counts = minion.proxy.counts().await?;
            let counts = (minion.member.id.clone(), counts);
            violations.extend(within_connections(&[counts], minion.connections));
        }
        Ok(violations)
    }
}
