//! Reserves capacity for gangs that do not fit yet.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use jackdawchute_types::WorkerId;

use crate::{
    free_capacity::{can_run, FreeCapacity, ReservedCapacity, WorkerCapacity},
    job::{Advice, GangReservation, Job, StepRun},
    Scheduler, StepName, StepSpec,
};

/// How many gangs hold a reservation at a time, as a multiple of the square root of the number of
/// workers: two with 48 workers, six with 350. A gang without a reservation starts only if enough
/// capacity happens to be free at once; more reservations leave capacity idle that single tasks
/// could use. In the load model of the stand-ins, gangs earned 0.73 to 0.79 of their worth with six
/// reservations and 0.69 to 0.73 with 22.
const RESERVATIONS_PER_ROOT: f64 = 0.3;
/// The longest time before a gang's expected start for which capacity is reserved.
const RESERVATION_HORIZON: Duration = Duration::from_secs(8);
/// The precision of expected run times: capacity that becomes free within the same interval of this
/// length counts as free at the same time.
const FREE_TIME_INTERVAL: Duration = Duration::from_millis(250);
/// The number of a gang's tasks for each spare worker that its reservation names. Tickets are
/// requested for the spare workers too, since some of the expected capacity is used by others, or
/// does not become free, until the gang starts.
const SPARE_DIVISOR: usize = 3;

impl Scheduler {
    /// Returns the workers that may run a step, one entry for each of its tasks that will fit
    /// there, with the time from which the task fits as runs end.
    fn expected_fits(
        &self,
        job: &Job,
        spec: &StepSpec,
        step: &StepRun,
        free_capacity: &FreeCapacity,
        horizon: Instant,
        now: Instant,
    ) -> Vec<(Instant, WorkerId)> {
        let size = spec.charged_resources();
        let per_worker_max = spec.per_worker_max.unwrap_or(u32::MAX).min(spec.tasks) as usize;
        let mut fits = Vec::new();
        let mut add = |id: &WorkerId, worker_capacity: &WorkerCapacity| {
            let may_run = can_run(&self.workers, id, worker_capacity, job, spec);
            if let Some(worker) = self.workers.get(id).filter(|_| may_run) {
                let times = worker_capacity.fitting_times(
                    worker,
                    &size,
                    worker_capacity.usable(horizon),
                    now,
                );
                fits.extend(
                    times
                        .into_iter()
                        .take(per_worker_max)
                        .map(|fits_at| (fits_at, id.clone())),
                );
            }
        };
        if job.queue.advice.is_none() {
            free_capacity
                .workers()
                .for_each(|(id, worker_capacity)| add(id, worker_capacity));
            return fits;
        }
        // Lapsed tickets count too: they are requested again before the gang starts.
        for (id, advice) in &step.advice {
            let is_allowed = matches!(advice, Advice::Allowed { .. });
            if let Some(worker_capacity) = free_capacity.worker(id).filter(|_| is_allowed) {
                add(id, worker_capacity);
            }
        }
        fits
    }

    /// Reserves capacity for a gang unless that has failed a short time ago: each try counts the
    /// capacity of all workers, and many gangs may wait for capacity that does not become free.
    pub(super) fn reserve_unless_tried(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &mut FreeCapacity,
        now: Instant,
    ) -> Option<GangReservation> {
        let (_, step) = self.jobs.get(&name.job)?.step(name)?;
        if step.reservation_check_at.is_some_and(|at| now < at) {
            return None;
        }
        let reservation = self.reserve(name, spec, free_capacity, now);
        let check_at = reservation
            .is_none()
            .then(|| now + self.advice_check_pause());
        let job = self.jobs.get_mut(&name.job);
        if let Some(step) = job.and_then(|job| job.step_mut(name)) {
            step.reservation_check_at = check_at;
        }
        reservation
    }

    /// Reserves for a gang the capacity that becomes free first; returns `None` if it is not enough
    /// within the reservation horizon.
    fn reserve(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &mut FreeCapacity,
        now: Instant,
    ) -> Option<GangReservation> {
        let job = self.jobs.get(&name.job)?;
        let (_, step) = job.step(name)?;
        let horizon = now + RESERVATION_HORIZON;
        let mut fits = self.expected_fits(job, spec, step, free_capacity, horizon, now);
        // Workers of the previous reservation are preferred, so that their tickets can be used.
        let was_reserved = |worker: &WorkerId| {
            let reservation = step.gang_reservation.as_ref();
            reservation.is_some_and(|reservation| reservation.workers.contains(worker))
        };
        fits.sort_by_cached_key(|(fits_at, worker)| {
            let wait_intervals =
                fits_at.saturating_duration_since(now).as_millis() / FREE_TIME_INTERVAL.as_millis();
            (wait_intervals, !was_reserved(worker), worker.clone())
        });
        let needed = spec.tasks as usize;
        let starts_at = fits
            .get(..needed)?
            .iter()
            .map(|(fits_at, _)| *fits_at)
            .max()?;
        if starts_at > horizon {
            return None;
        }
        let spare = fits.split_off(needed).into_iter();
        let spare = spare.take_while(|(fits_at, _)| *fits_at <= starts_at + FREE_TIME_INTERVAL);
        let spare: Vec<WorkerId> = spare
            .take(needed.div_ceil(SPARE_DIVISOR))
            .map(|(_, worker)| worker)
            .collect();
        let mut per_worker: HashMap<WorkerId, u32> = HashMap::new();
        for (_, worker) in fits {
            *per_worker.entry(worker).or_default() += 1;
        }
        let mut workers: Vec<WorkerId> = per_worker.keys().cloned().collect();
        for worker in spare {
            if !workers.contains(&worker) {
                workers.push(worker);
            }
        }
        let gang_reservation = GangReservation { workers, starts_at };
        for (worker, count) in per_worker {
            let reserved = ReservedCapacity {
                resources: spec.charged_resources().saturating_mul(count),
                starts_at,
            };
            self.reserved_in_this_round.insert(worker.clone());
            free_capacity.reserve(&worker, reserved);
        }
        Some(gang_reservation)
    }

    /// Stores a gang's reservation in its step.
    pub(super) fn set_gang_reservation(
        &mut self,
        name: &StepName,
        reservation: Option<GangReservation>,
    ) {
        let job = self.jobs.get_mut(&name.job);
        if let Some(step) = job.and_then(|job| job.step_mut(name)) {
            step.gang_reservation = reservation;
        }
    }
}

/// Returns how many gangs may hold a reservation at a time, by the number of workers in the cell.
pub(crate) fn reservations_max(workers: usize) -> usize {
    ((workers as f64).sqrt() * RESERVATIONS_PER_ROOT)
        .round()
        .max(1.0) as usize
}
