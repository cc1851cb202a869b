//! Counts of the leader task's work, for its log line once a second.

use std::time::Duration;

use jackdawchute_scheduler::{RenewOutcome, StartAnswer};
use jackdawchute_types::whole_ms;
use spdlog::info;

use crate::Metrics;

/// A number of calls and the time that they took together.
#[derive(Clone, Copy, Debug, Default)]
struct Timed {
    count: u32,
    took: Duration,
}

impl Timed {
    fn record(&mut self, took: Duration) {
        self.count += 1;
        self.took += took;
    }

    fn mean(&self) -> Duration {
        self.took / self.count.max(1)
    }
}

/// The work since the load was last logged.
#[derive(Debug, Default)]
pub(super) struct WorkDone {
    rounds: Timed,
    /// The orders and requests sent.
    effects: usize,
    /// The orders to start that were answered, from when each was sent.
    starts: Timed,
    renewals: Timed,
    /// The run ends that answers to renewals listed, and how many of them were new.
    ends: RenewOutcome,
    /// The commits that the store answered, from when each batch was taken.
    commits: Timed,
    rows: usize,
    /// The time that the store took for those commits, as seen by their callers.
    store_took: Duration,
    turn_max: Duration,
}

impl WorkDone {
    pub(super) fn record_round(&mut self, took: Duration) {
        self.rounds.record(took);
    }

    pub(super) fn record_effects(&mut self, effects: usize) {
        self.effects += effects;
    }

    pub(super) fn record_start(&mut self, answer: &StartAnswer, took: Duration, metrics: &Metrics) {
        let outcome = match answer {
            StartAnswer::Started { .. } => "answered",
            StartAnswer::Refused { .. } | StartAnswer::OtherIncarnation => "refused",
            StartAnswer::NotDelivered | StartAnswer::NotSent | StartAnswer::Unknown => "failed",
        };
        metrics.call("start", outcome, took);
        self.starts.record(took);
    }

    /// Records an answered renewal with the time that it took beyond the wait that it asked for.
    pub(super) fn record_renewal(&mut self, ends: RenewOutcome, took: Duration, metrics: &Metrics) {
        metrics.call("renew", "answered", took);
        metrics.runs_listed(&ends);
        self.renewals.record(took);
        self.ends.listed += ends.listed;
        self.ends.new += ends.new;
    }

    pub(super) fn record_commit(&mut self, rows: usize, took: Duration, store_took: Duration) {
        self.commits.record(took);
        self.rows += rows;
        self.store_took += store_took;
    }

    /// Records how long an ordinary message of the leader task has waited for its turn.
    pub(super) fn record_turn(&mut self, turn: Duration) {
        self.turn_max = self.turn_max.max(turn);
    }

    /// Logs the work since the last call, together with the present `lag` and `rows_waiting`.
    pub(super) fn log(&mut self, lag: Duration, rows_waiting: usize) {
        let work = std::mem::take(self);
        let store_mean = work.store_took / work.commits.count.max(1);
        info!("scheduling lag", kv: {
            lag_ms = whole_ms(lag), turn_max_ms = whole_ms(work.turn_max),
            rounds = work.rounds.count, rounds_ms = whole_ms(work.rounds.took),
            effects = work.effects,
            starts = work.starts.count, start_ms = whole_ms(work.starts.mean()),
            renewals = work.renewals.count, renewal_ms = whole_ms(work.renewals.mean()),
            ends_listed = work.ends.listed, ends_new = work.ends.new,
            commits = work.commits.count, commit_ms = whole_ms(work.commits.mean()),
            store_ms = whole_ms(store_mean), rows = work.rows, rows_waiting = rows_waiting
        });
    }
}
