//! The order in which the changes of jobs are saved, and which run ends that saves.
//!
//! Every recorded run end has a sequence number and changes at most one job. A job with unsaved
//! changes has the number of the first end, or other event, that none of its saved rows reflects.
//! All run ends before the lowest of these numbers are saved.

use std::collections::{BTreeSet, HashMap};

use jackdawchute_types::JobId;

/// The position of a run end, or of another change of a job, among all of an epoch.
pub(crate) type ChangeNumber = u64;

/// The jobs with unsaved changes.
#[derive(Debug, Default)]
pub(crate) struct UnsavedJobs {
    last: ChangeNumber,
    since: HashMap<JobId, ChangeNumber>,
    oldest_first: BTreeSet<(ChangeNumber, JobId)>,
}

impl UnsavedJobs {
    /// Returns the number of the next change.
    pub(crate) fn next_change(&mut self) -> ChangeNumber {
        self.last += 1;
        self.last
    }

    /// Marks a job as unsaved since a change, or since the earlier one that it is marked with.
    pub(crate) fn insert(&mut self, job: &JobId, change: ChangeNumber) {
        let since = self.since.entry(job.clone()).or_insert(change);
        let first = change.min(*since);
        self.oldest_first.remove(&(*since, job.clone()));
        self.oldest_first.insert((first, job.clone()));
        *since = first;
    }

    /// Marks the job that has been unsaved for longest as saved and returns it.
    pub(crate) fn pop_first(&mut self) -> Option<(ChangeNumber, JobId)> {
        let first = self.oldest_first.pop_first()?;
        self.since.remove(&first.1);
        Some(first)
    }

    /// Returns whether the effects of a change are saved, together with those of all before it.
    pub(crate) fn is_saved(&self, change: ChangeNumber) -> bool {
        let oldest = self.oldest_first.first();
        oldest.is_none_or(|(oldest, _)| change < *oldest)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.since.len()
    }
}
