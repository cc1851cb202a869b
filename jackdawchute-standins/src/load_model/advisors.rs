//! The simulated advisors, one for each instance.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use jackdawchute_cell::ShortRequestLoad;
use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest, StepName};
use jackdawchute_types::WorkerId;

/// The backlog above which an advisor gets no further requests.
const BACKLOG_MAX: Duration = Duration::from_millis(1_200);
/// The round trip to an advisor through another instance.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// The advisors' queues; each advisor answers one request at a time.
#[derive(Debug)]
pub(super) struct Advisors {
    free_at: Vec<Duration>,
    short_load: ShortRequestLoad,
}

impl Advisors {
    pub(super) fn new(count: usize) -> Self {
        Self {
            free_at: vec![Duration::ZERO; count],
            short_load: ShortRequestLoad::default(),
        }
    }

    pub(super) fn tick(&mut self, elapsed: Duration) {
        self.short_load.tick(elapsed);
    }

    /// Queues a request at the least busy advisor and returns when its answer arrives; `None` if
    /// the backlogs of all are too long.
    pub(super) fn enqueue(&mut self, request: &AdviceRequest, now: Duration) -> Option<Duration> {
        let advisors = self.free_at.len();
        let reserved = self.short_load.reserved_against(request.expected, advisors);
        let free_at = self.free_at.iter_mut().skip(reserved).min()?;
        if free_at.saturating_sub(now) > BACKLOG_MAX {
            return None;
        }
        *free_at = now.max(*free_at) + request.expected;
        Some(*free_at + ROUND_TRIP)
    }
}

/// Returns the answer of an advisor that allows a step a share of all workers.
///
/// Which workers it allows depends on the step and the worker only, so that a repeated request gets
/// the same answer.
pub(super) fn answer(request: &AdviceRequest, allowed_share: f64) -> AdviceAnswer {
    let allowed = request.workers.iter();
    AdviceAnswer {
        allowed: allowed
            .filter(|worker| is_allowed(&request.step, worker, allowed_share))
            .map(|worker| (worker.clone(), "ticket".into()))
            .collect(),
    }
}

fn is_allowed(step: &StepName, worker: &WorkerId, share: f64) -> bool {
    let mut hasher = DefaultHasher::new();
    (&step.job, step.step, worker).hash(&mut hasher);
    (hasher.finish() % 1_000) as f64 / 1_000.0 < share
}
