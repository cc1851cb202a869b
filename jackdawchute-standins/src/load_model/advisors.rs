//! The advisors of a simulated cell, one an instance.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use jackdawchute_cell::ShortRequestLoad;
use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest, StepName};
use jackdawchute_types::WorkerId;

/// The backlog beyond which an advisor gets no further question.
const BACKLOG_MAX: Duration = Duration::from_millis(1_200);
/// The way to an advisor and back, through another instance.
const WAY: Duration = Duration::from_millis(4);

/// Answers questions one at a time through each instance.
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

    /// When the answer to a question is there; `None` if all advisors are busy for long.
    pub(super) fn ask(&mut self, request: &AdviceRequest, now: Duration) -> Option<Duration> {
        let advisors = self.free_at.len();
        let passed_over = self.short_load.reserved_against(request.expected, advisors);
        let free_at = self.free_at.iter_mut().skip(passed_over).min()?;
        if free_at.saturating_sub(now) > BACKLOG_MAX {
            return None;
        }
        *free_at = now.max(*free_at) + request.expected;
        Some(*free_at + WAY)
    }
}

/// The answer for a step of which an advisor allows a share of all workers.
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
