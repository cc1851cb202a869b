//! Placement: which worker runs which task.
//!
//! In a cell that is nearly full, small tasks go to the fullest worker that they fit on, so that
//! gangs find large gaps. A gang that does not fit reserves the capacity that becomes free first;
//! other tasks use it only if they end before the gang can start.

mod candidates;
mod gangs;
mod reservations;
mod starts;
mod tasks;
mod waits;

use std::time::{Duration, Instant};

pub(crate) use self::{reservations::reservations_max, waits::Waits};
use crate::{
    free_capacity::FreeCapacity,
    rank::RankedStep,
    tenants::TenantRound,
    worker::{Run, RunPhase},
    Scheduler,
};

/// How long an order to start counts as waiting for its answer. A worker answers much sooner; one
/// that does not must not keep others from being placed on.
const START_ANSWER_MAX: Duration = Duration::from_millis(150);

impl Scheduler {
    /// Places as many units as fit, best rank first, and reserves capacity for gangs that do not
    /// fit.
    pub(crate) fn place(
        &mut self,
        ranked: &[RankedStep],
        free_capacity: &mut FreeCapacity,
        tenants: &mut TenantRound,
        now: Instant,
    ) {
        self.reserved_in_last_round = std::mem::take(&mut self.reserved_in_this_round);
        self.drop_waits_of_ended_jobs();
        let mut starts_left = self.starts_left(now);
        let mut reservations = 0;
        let reservations_max = reservations_max(self.workers.len());
        for ranked in ranked.iter().filter(|ranked| !ranked.accepting) {
            let Some(job) = self.jobs.get(&ranked.name.job) else {
                continue;
            };
            if job.recovering {
                continue;
            }
            let Some((spec, _)) = job.step(&ranked.name) else {
                continue;
            };
            let spec = spec.clone();
            let tenant = job.tenant.clone();
            let allowed = tenants.tasks_allowed(tenant.as_ref(), &ranked.name, &spec);
            if spec.gang && allowed == 0 {
                self.set_gang_reservation(&ranked.name, None);
            } else if spec.gang {
                let placed =
                    starts_left > 0 && self.place_gang(&ranked.name, &spec, free_capacity, now);
                if placed {
                    starts_left = starts_left.saturating_sub(spec.tasks as usize);
                    tenants.started(tenant.as_ref(), &spec, spec.tasks as usize);
                } else {
                    let reservation = if reservations < reservations_max {
                        self.reserve_unless_tried(&ranked.name, &spec, free_capacity, now)
                    } else {
                        None
                    };
                    if reservation.is_some() {
                        reservations += 1;
                        tenants.hold_for_gang(tenant.as_ref(), &spec);
                    }
                    self.set_gang_reservation(&ranked.name, reservation);
                }
            } else if starts_left > 0 && allowed > 0 {
                let starts_max = allowed.min(ranked.starts_max.unwrap_or(u32::MAX)) as usize;
                let starts_max = starts_max.min(starts_left);
                let started = self.place_tasks(&ranked.name, &spec, free_capacity, starts_max, now);
                starts_left -= started;
                tenants.started(tenant.as_ref(), &spec, started);
            }
        }
    }

    /// Returns how many more starts may be ordered now.
    fn starts_left(&self, now: Instant) -> usize {
        let awaits_answer = |run: &&Run| {
            run.phase == RunPhase::Starting
                && run.order_under_way
                && now.saturating_duration_since(run.known_since) < START_ANSWER_MAX
        };
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        let under_way = runs.filter(awaits_answer).count();
        self.settings.starts_under_way_max.saturating_sub(under_way)
    }
}
