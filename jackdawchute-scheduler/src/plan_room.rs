//! Which room a step plans to use.

use std::time::Instant;

use jackdawchute_types::WorkerId;

use crate::{
    advice_requests::AdviceRound,
    free_capacity::{tasks_fitting, WorkerCapacity},
    job::Advice,
    Scheduler, StepName,
};

impl Scheduler {
    /// Plans the room of a step that waits for answers, or has tickets and has not started yet.
    ///
    /// What does not fit keeps no room from others. A gang with a reservation has its room already.
    pub(crate) fn plan_room(&self, name: &StepName, round: &mut AdviceRound<'_>, now: Instant) {
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let Some((spec, step)) = job.step(name) else {
            return;
        };
        if step.gang_reservation.is_some() {
            return;
        }
        let size = spec.charged_resources();
        let estimate = self.estimate(job, spec);
        let room = |worker: &WorkerId, worker_capacity: &WorkerCapacity| {
            let ends_at = now + self.expected_on(spec, &estimate, worker_capacity);
            round
                .planned_room
                .left(worker, worker_capacity.usable(ends_at))
        };
        let tasks_on = |worker: &WorkerId| {
            let worker_capacity = round.free_capacity.worker(worker);
            worker_capacity.map_or(0, |it| tasks_fitting(&size, room(worker, it)))
        };
        let with_room = |workers: &mut dyn Iterator<Item = &WorkerId>| {
            let counted = workers.map(|worker| (worker.clone(), tasks_on(worker)));
            counted.filter(|(_, tasks)| *tasks > 0).collect::<Vec<_>>()
        };
        let is_denied = |worker: &WorkerId| matches!(step.advice.get(worker), Some(Advice::Denied));
        let workers = if step.advice_under_way.is_empty() {
            let advice = step.advice.iter();
            let allowed = advice.filter(|(_, advice)| advice.is_usable(now));
            with_room(&mut allowed.map(|(worker, _)| worker))
        } else {
            let named = step.advice_under_way.values().flatten();
            with_room(&mut named.filter(|worker| !is_denied(worker)))
        };
        let fitting = workers.iter().map(|(_, tasks)| *tasks);
        let fitting = fitting.fold(0, u32::saturating_add);
        let waiting = u32::try_from(self.waiting_tasks(name)).unwrap_or(u32::MAX);
        if spec.gang && fitting < spec.tasks {
            return;
        }
        round.planned_room.plan(&workers, &size, waiting);
    }
}
