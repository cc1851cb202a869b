//! The saved progress of a job, divided over rows by unit.
//!
//! All units of all occurrences of a job are numbered in order, and each row holds a fixed number
//! of them, so that a unit stays in its row and a change rewrites that row alone. The first row
//! also has the occurrences of a repeated job.

use std::ops::Range;

use jackdawchute_types::{Occurrence, RunNumber, StepIndex, TaskIndex, WorkerId};
use serde::{Deserialize, Serialize};
use spdlog::warn;

use crate::{
    job::{Job, OccurrenceRun, StepRun, Unit},
    records::{encoded, removal},
    row_size::{numbered_key, RowNumber, ROW_BYTES_MAX},
    RowChange, RowTable, StepSpec,
};

/// The highest number of units in a row; a change of one of them rewrites all.
const UNITS_PER_ROW: usize = 256;
/// The most bytes of a unit that is not done, without its failed runs, late starts and checkpoint.
const UNIT_BYTES_MAX: usize = 130;
/// The most bytes of the number of a failed run.
const FAILED_RUN_BYTES_MAX: usize = 21;
/// The bytes of the name of the late starts in a unit, which is left out where there are none.
const LATE_STARTS_FIELD_BYTES: usize = 5;
/// The most bytes of an incomplete occurrence in the first row of a repeated job.
const OCCURRENCE_BYTES_MAX: usize = 24;
/// The most bytes of a row without occurrences and units.
const EMPTY_ROW_BYTES_MAX: usize = 200;
/// The highest number of occurrences that may be incomplete at a time; they take half of a row.
pub(crate) const OCCURRENCES_MAX: u32 = 1_000;

/// The number of a unit among those of all occurrences of its job.
type UnitNumber = u64;

/// A row of a job's progress; units that are in none of its rows have none.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ProgressRecord {
    /// The number of occurrences that are complete; in the first row of a repeated job.
    #[serde(default)]
    pub(crate) occurrences_done: u32,
    /// The occurrences that are due and not complete, as ranges from the first to the last one; in
    /// the first row of a repeated job.
    #[serde(default)]
    pub(crate) incomplete: Vec<(Occurrence, Occurrence)>,
    /// The units that have succeeded, as ranges of a step of an occurrence from the first to the
    /// last one.
    #[serde(default)]
    pub(crate) done: Vec<(Occurrence, StepIndex, u32, u32)>,
    /// The units that have run and not succeeded.
    #[serde(default)]
    pub(crate) unfinished: Vec<UnitRecord>,
    /// The incomplete occurrences, one by one, in rows of earlier versions.
    #[serde(default, skip_serializing)]
    pub(crate) occurrences: Vec<Occurrence>,
    /// All units of the job with progress, in rows of earlier versions.
    #[serde(default, skip_serializing)]
    pub(crate) units: Option<Vec<UnitRecord>>,
}

/// The progress of one unit: a gang, or a single task.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct UnitRecord {
    #[serde(rename = "o")]
    pub(crate) occurrence: Occurrence,
    #[serde(rename = "s")]
    pub(crate) step: StepIndex,
    /// The index of the unit in its step.
    #[serde(rename = "u")]
    pub(crate) unit: u32,
    /// Whether the unit has succeeded, in rows of earlier versions.
    #[serde(rename = "d", default, skip_serializing)]
    pub(crate) done: bool,
    /// The highest run number that may have been ordered when the row was written.
    #[serde(rename = "r")]
    pub(crate) last_run: RunNumber,
    /// The numbers of the runs that failed.
    #[serde(rename = "f")]
    pub(crate) failed_runs: Vec<RunNumber>,
    /// The checkpoint that the next run resumes from; empty if there is none.
    #[serde(rename = "c")]
    pub(crate) checkpoint: jackdawchute_types::Checkpoint,
    /// The tasks that a start without an answer may begin, each with its worker.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) late_starts: Vec<(TaskIndex, WorkerId)>,
}

impl ProgressRecord {
    /// Returns whether the row shows that a task has started; a late start alone does not.
    pub(crate) fn has_begun(&self) -> bool {
        let has_run =
            |unit: &UnitRecord| !unit.failed_runs.is_empty() || !unit.checkpoint.is_empty();
        self.occurrences_done > 0
            || !self.done.is_empty()
            || self.units.is_some()
            || self.unfinished.iter().any(has_run)
    }
}

impl Job {
    /// Returns how many units a row holds, however often they fail before the job does.
    fn units_per_row(&self) -> UnitNumber {
        let occurrences = match self.graph.repeat {
            Some(_) => OCCURRENCES_MAX as usize * OCCURRENCE_BYTES_MAX,
            None => 0,
        };
        let failures = self.queue.attempts_max.max(1) as usize;
        let unit_bytes = UNIT_BYTES_MAX + failures.saturating_mul(FAILED_RUN_BYTES_MAX);
        let units = (ROW_BYTES_MAX - EMPTY_ROW_BYTES_MAX - occurrences) / unit_bytes;
        units.clamp(1, UNITS_PER_ROW) as UnitNumber
    }

    /// Returns the numbers of an occurrence's units.
    fn units_of(&self, occurrence: Occurrence) -> Range<UnitNumber> {
        let units = units_in(&self.graph.steps);
        let first = UnitNumber::from(occurrence) * units;
        first..first + units
    }

    /// Marks the progress of the unit with a task as unsaved.
    pub(crate) fn mark_unit_unsaved(
        &mut self,
        occurrence: Occurrence,
        step: StepIndex,
        unit: usize,
    ) {
        let units_before = units_in(self.graph.steps.get(..step as usize).unwrap_or_default());
        let number = self.units_of(occurrence).start + units_before + unit as UnitNumber;
        let row = number / self.units_per_row();
        self.progress_unsaved.insert(row);
        if self.graph.repeat.is_some() {
            self.progress_unsaved.insert(0);
        }
    }

    /// Marks the progress of all units of an occurrence as unsaved.
    pub(crate) fn mark_occurrence_unsaved(&mut self, occurrence: Occurrence) {
        let (units, per_row) = (self.units_of(occurrence), self.units_per_row());
        self.progress_unsaved.insert(0);
        self.progress_unsaved
            .extend(units.start / per_row..=units.end.saturating_sub(1) / per_row);
    }

    /// Returns the rows to write, in the order in which they may be written one after the other.
    ///
    /// The first row says which occurrences are complete, whose units are left out of the others,
    /// so it goes first; that of an earlier version holds all units, so it is replaced last.
    pub(crate) fn unsaved_progress_rows(&self) -> Vec<RowNumber> {
        let rows = self.progress_unsaved.iter().copied();
        if self.progress_in_one_row {
            rows.rev().collect()
        } else {
            rows.collect()
        }
    }

    /// Returns the current content of a progress row, or its removal if it would be empty.
    pub(crate) fn progress_row(&self, row: RowNumber) -> RowChange {
        let key = numbered_key(&self.id, row);
        let mut record = self.progress_record(row);
        if row > 0 && record.done.is_empty() && record.unfinished.is_empty() {
            return removal(RowTable::Progress, key);
        }
        let late_starts: Vec<_> = record
            .unfinished
            .iter_mut()
            .map(|unit| std::mem::take(&mut unit.late_starts))
            .collect();
        let checkpoints: Vec<_> = record
            .unfinished
            .iter_mut()
            .map(|unit| std::mem::take(&mut unit.checkpoint))
            .collect();
        let mut bytes = encoded(&key, &record).len();
        for (unit, late_starts) in record.unfinished.iter_mut().zip(late_starts) {
            if late_starts.is_empty() {
                continue;
            }
            let late_starts_bytes = LATE_STARTS_FIELD_BYTES + encoded(&key, &late_starts).len();
            if bytes + late_starts_bytes > ROW_BYTES_MAX {
                warn!("late starts too many to be saved", kv: {
                    job = self.id.as_str(), step = unit.step, unit = unit.unit,
                    late_starts = late_starts.len()
                });
                continue;
            }
            bytes += late_starts_bytes;
            unit.late_starts = late_starts;
        }
        for (unit, checkpoint) in record.unfinished.iter_mut().zip(checkpoints) {
            let checkpoint_bytes = encoded(&key, &checkpoint).len();
            if bytes + checkpoint_bytes > ROW_BYTES_MAX {
                warn!("checkpoint too long to be saved", kv: {
                    job = self.id.as_str(), step = unit.step, unit = unit.unit,
                    bytes = checkpoint_bytes
                });
                continue;
            }
            bytes += checkpoint_bytes;
            unit.checkpoint = checkpoint;
        }
        RowChange {
            table: RowTable::Progress,
            value: Some(encoded(&key, &record)),
            key,
        }
    }

    fn progress_record(&self, row: RowNumber) -> ProgressRecord {
        let mut record = ProgressRecord::default();
        if row == 0 && self.graph.repeat.is_some() {
            record.occurrences_done = self.occurrences_done;
            for occurrence_run in &self.occurrences {
                let occurrence = occurrence_run.occurrence;
                match record.incomplete.last_mut() {
                    Some((_, last)) if *last + 1 == occurrence => *last = occurrence,
                    _ => record.incomplete.push((occurrence, occurrence)),
                }
            }
        }
        let per_row = self.units_per_row();
        let in_row = row * per_row..(row + 1) * per_row;
        for occurrence_run in &self.occurrences {
            let units = self.units_of(occurrence_run.occurrence);
            if units.start < in_row.end && in_row.start < units.end {
                add_occurrence(&mut record, occurrence_run, units.start, &in_row);
            }
        }
        record
    }
}

fn units_in(steps: &[StepSpec]) -> UnitNumber {
    steps
        .iter()
        .map(|spec| UnitNumber::from(spec.units()))
        .sum()
}

/// Adds the units of an occurrence whose numbers are in a range; `first` is that of its first one.
fn add_occurrence(
    record: &mut ProgressRecord,
    occurrence_run: &OccurrenceRun,
    first: UnitNumber,
    numbers: &Range<UnitNumber>,
) {
    let mut step_first = first;
    for (step, step_run) in (0u32..).zip(&occurrence_run.steps) {
        let step_end = step_first + step_run.units.len() as UnitNumber;
        let from = numbers.start.clamp(step_first, step_end) - step_first;
        let to = numbers.end.clamp(step_first, step_end) - step_first;
        add_units(record, occurrence_run.occurrence, step, step_run, from..to);
        step_first = step_end;
    }
}

fn add_units(
    record: &mut ProgressRecord,
    occurrence: Occurrence,
    step: StepIndex,
    step_run: &StepRun,
    units: Range<UnitNumber>,
) {
    let (from, to) = (units.start as usize, units.end as usize);
    let units = step_run.units.iter().enumerate().take(to).skip(from);
    for (index, unit) in units {
        let index = index as u32;
        if unit.done {
            match record.done.last_mut() {
                Some((in_occurrence, in_step, _, last))
                    if (*in_occurrence, *in_step, *last + 1) == (occurrence, step, index) =>
                {
                    *last = index;
                }
                _ => record.done.push((occurrence, step, index, index)),
            }
        } else if has_progress(unit) {
            record.unfinished.push(UnitRecord {
                occurrence,
                step,
                unit: index,
                done: false,
                last_run: unit.last_run,
                failed_runs: unit.failed_runs.clone(),
                checkpoint: unit.checkpoint.clone(),
                late_starts: unit.saved_late_starts().cloned().collect(),
            });
        }
    }
}

fn has_progress(unit: &Unit) -> bool {
    !unit.failed_runs.is_empty()
        || !unit.checkpoint.is_empty()
        || unit.saved_late_starts().next().is_some()
}
