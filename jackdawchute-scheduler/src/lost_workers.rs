//! Conclusions from the silence of workers.

use std::time::{Duration, Instant};

use jackdawchute_types::{whole_ms, WorkerId};
use spdlog::warn;

use crate::{Scheduler, TaskName};

/// How long a worker without runs is kept after the platform no longer lists it.
const UNLISTED_RETENTION: Duration = Duration::from_secs(15);

impl Scheduler {
    /// Removes the runs of silent workers whose leases are known to have lapsed, and drops workers
    /// that have been unlisted for long.
    pub(crate) fn drop_lost_workers(&mut self, now: Instant) {
        let view = self.lapse_view();
        let silence_max = self.settings.worker_silence_max;
        let lost: Vec<(WorkerId, Vec<TaskName>)> = self
            .workers
            .values()
            .filter(|worker| {
                let is_silent = worker
                    .unanswered_since
                    .is_some_and(|since| now.saturating_duration_since(since) > silence_max);
                !worker.runs.is_empty() && is_silent && worker.lease_lapsed(view)
            })
            .map(|worker| {
                // In the incarnation that is known, an order to start that may still arrive carries
                // a lease that has lapsed too.
                let runs = worker.runs.keys().cloned().collect();
                (worker.id().clone(), runs)
            })
            .collect();
        for (worker, tasks) in lost {
            self.log_lapsed_lease(&worker, now);
            for task in tasks {
                self.remove_run(&worker, &task, now);
                self.stop_rest_of_gang(&task);
            }
        }
        let (token_raises, rows) = (&mut self.token_raises, &mut self.worker_rows);
        self.workers.retain(|id, worker| {
            let is_old = worker
                .unlisted_at
                .is_some_and(|at| now.saturating_duration_since(at) > UNLISTED_RETENTION);
            let keep = worker.listed || worker.row_needed || !worker.is_idle() || !is_old;
            let raises = worker.incarnations_seen + worker.token_raises;
            if !keep && raises > 0 {
                token_raises.insert(id.clone(), raises);
            }
            if !keep {
                rows.remove(worker.row, worker.row_bytes);
            }
            keep
        });
    }

    /// Logs that the runs of a silent worker are taken as ended, and what that follows from.
    fn log_lapsed_lease(&self, worker: &WorkerId, now: Instant) {
        let Some(worker) = self.workers.get(worker) else {
            return;
        };
        let since = |at: Instant| whole_ms(now.saturating_duration_since(at));
        let incarnation = worker.incarnation.as_ref();
        let unanswered = worker.runs.values().filter(|run| run.start_outcome_unknown);
        warn!("lease of a silent worker has lapsed", kv: {
            worker = worker.id().as_str(), runs = worker.runs.len(),
            unanswered_starts = unanswered.count(),
            silent_ms:? = worker.unanswered_since.map(since),
            answered_ms:? = incarnation.map(|it| since(it.clock_received_at)),
            lease_until_ms = whole_ms(worker.lease_sent),
            clock_ms:? = worker.clock_earliest(now).map(whole_ms),
            reported = worker.reported, epoch_age_ms = since(self.epoch_began_at),
            confirmed_ms = since(self.authority.confirmed_at)
        });
    }
}
