//! The simulated advisors, one for each instance.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use jackdawchute_cell::{ShortRequestLoad, SHORT_REQUEST_MAX};
use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest, AdvisorSlot, Advisors, StepName};
use jackdawchute_types::{AdvisorId, WorkerId};

/// The backlog above which an advisor gets no further requests.
const BACKLOG_MAX: Duration = Duration::from_millis(1_200);
/// The round trip to an advisor through another instance.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// The advisors' queues; each advisor answers one request at a time.
#[derive(Debug)]
pub(super) struct SimAdvisors {
    free_at: Vec<Duration>,
    short_load: ShortRequestLoad,
}

impl SimAdvisors {
    pub(super) fn new(count: usize) -> Self {
        Self {
            free_at: vec![Duration::ZERO; count],
            short_load: ShortRequestLoad::default(),
        }
    }

    pub(super) fn tick(&mut self, elapsed: Duration) {
        self.short_load.tick(elapsed);
    }

    /// Returns the advisors as the leader sees them.
    pub(super) fn snapshot(&self, origin: Instant) -> Advisors {
        let slots = (0u16..)
            .zip(&self.free_at)
            .map(|(index, free_at)| AdvisorSlot {
                advisor: (Ipv4Addr::LOCALHOST, index).into(),
                free_at: origin + *free_at,
            });
        let reserved = self.short_load.reserved(self.free_at.len());
        Advisors::new(slots.collect(), reserved, SHORT_REQUEST_MAX, BACKLOG_MAX)
    }

    /// Queues a request at an advisor and returns when its answer arrives.
    pub(super) fn enqueue(
        &mut self,
        advisor: AdvisorId,
        request: &AdviceRequest,
        now: Duration,
    ) -> Duration {
        if request.expected <= SHORT_REQUEST_MAX {
            self.short_load.record(request.expected);
        }
        let free_at = &mut self.free_at[usize::from(advisor.port())];
        *free_at = now.max(*free_at) + request.expected;
        *free_at + ROUND_TRIP
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
