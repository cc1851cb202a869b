//! Pauses before lasting tasks start again that end soon after each start.
//!
//! Lasting tasks have the best rank and no limit of attempts. Without a pause, many that fail at once
//! would take all starts of each round from other jobs.

use std::time::{Duration, Instant};

use jackdawchute_types::RunNumber;
use spdlog::info;

use crate::{job::JobPhase, EndReason, EndedRun, Scheduler};

/// A run that lasts as long is no reason to pause before the next one.
const SOUND_RUN_MIN: Duration = Duration::from_secs(2);
/// The pause after the second short run in a row; doubles with each further one.
const RESTART_PAUSE_MIN: Duration = Duration::from_millis(100);
/// The time between two tasks of a step that start again after short runs, so that many of them
/// leave starts to other jobs.
const RESTART_SPACING: Duration = Duration::from_micros(2_500);
/// The longest pause; a lasting task must run again within 6 s.
const RESTART_PAUSE_MAX: Duration = Duration::from_secs(4);

/// The short runs of a unit of lasting tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShortRuns {
    /// How many of the last runs were short, without a longer one between.
    in_a_row: u32,
    /// The last run that was counted; each task of a gang reports its end.
    counted: RunNumber,
    /// Whether the unit pauses before its next run.
    pub(crate) pausing: bool,
}

impl ShortRuns {
    /// Counts a run that has ended by itself, and returns how long the unit should pause now; `None`
    /// if the run was not short, or was counted before.
    fn record(&mut self, run: RunNumber, run_time: Duration) -> Option<Duration> {
        if run <= self.counted {
            return None;
        }
        self.counted = run;
        if run_time >= SOUND_RUN_MIN {
            self.in_a_row = 0;
            return None;
        }
        self.in_a_row = self.in_a_row.saturating_add(1);
        // A single short run may be the fault of its worker.
        let Some(doublings) = self.in_a_row.checked_sub(2) else {
            return Some(Duration::ZERO);
        };
        let factor = 2u32.saturating_pow(doublings);
        Some(RESTART_PAUSE_MIN.saturating_mul(factor))
    }
}

impl Scheduler {
    /// Lets the unit of a lasting task pause if its runs end soon after their starts.
    pub(crate) fn pause_restart(&mut self, end: &EndedRun, run_time: Duration, now: Instant) {
        if !matches!(end.reason, EndReason::Succeeded | EndReason::Failed) {
            return;
        }
        let task = &end.task;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let spec = job.graph.steps.get(task.step.step as usize);
        if !spec.is_some_and(|spec| spec.long_running) {
            return;
        }
        let Some(unit) = job.unit_mut(&task.step, task.index) else {
            return;
        };
        let Some(unit_pause) = unit.short_runs.record(end.run, run_time) else {
            return;
        };
        let Some(step) = job.step_mut(&task.step) else {
            return;
        };
        let step_pause = step.restart_next_at.map_or(Duration::ZERO, |next_at| {
            next_at.saturating_duration_since(now)
        });
        step.restart_next_at = Some(now + step_pause.min(RESTART_PAUSE_MAX) + RESTART_SPACING);
        let pause = unit_pause.max(step_pause).min(RESTART_PAUSE_MAX);
        if pause.is_zero() {
            return;
        }
        if let Some(unit) = job.unit_mut(&task.step, task.index) {
            unit.short_runs.pausing = true;
        }
        self.pauses.insert((now + pause, task.clone()));
        info!("lasting task pauses before its next run", kv: {
            job = task.step.job.as_str(), step = task.step.step, task = task.index,
            run = end.run, pause_ms = pause.as_millis() as u64
        });
    }

    /// Lets the units whose pause is over be placed again.
    pub(crate) fn end_pauses(&mut self, now: Instant) {
        while self.pauses.first().is_some_and(|(until, _)| *until <= now) {
            let Some((_, task)) = self.pauses.pop_first() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&task.step.job) else {
                continue;
            };
            let is_live = job.phase == JobPhase::Live;
            if let Some(unit) = job.unit_mut(&task.step, task.index) {
                unit.short_runs.pausing = false;
            }
            if is_live {
                self.make_placeable(&task.step.job, now);
            }
        }
    }
}
