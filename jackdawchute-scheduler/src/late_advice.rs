//! Answers of advisors to requests that were given up.

use std::time::Instant;

use crate::{AdviceAnswer, AdviceRequest, Scheduler};

impl Scheduler {
    /// Handles an advisor's answer to a request that was given up, for which
    /// [`Scheduler::advice_answered`] was called without one.
    ///
    /// Its tickets are of use as those of any answer, but it ends no wait: the step may have sent
    /// other requests meanwhile.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest, Scheduler, Settings, StepName};
    ///
    /// let now = Instant::now();
    /// let mut scheduler = Scheduler::new(Settings::default(), 1, now);
    /// let request = AdviceRequest {
    ///     step: StepName { job: "job".into(), occurrence: 0, step: 0 },
    ///     workers: vec!["w0".into()],
    ///     expected: Duration::from_millis(200),
    /// };
    /// scheduler.late_advice_answered(&request, AdviceAnswer { allowed: Vec::new() }, now);
    /// ```
    pub fn late_advice_answered(
        &mut self,
        request: &AdviceRequest,
        answer: AdviceAnswer,
        now: Instant,
    ) {
        let job = self.jobs.get_mut(&request.step.job);
        if let Some(step) = job.and_then(|job| job.step_mut(&request.step)) {
            // Handling the answer counts one off.
            step.advice_unanswered += 1;
        }
        self.advice_answered(request, Some(answer), now);
    }
}
