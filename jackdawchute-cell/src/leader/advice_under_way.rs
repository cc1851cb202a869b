//! The calls to advisors that have no outcome yet, and which of them a step waits for.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::AdviceRequest;
use jackdawchute_types::AdvisorId;

/// How much later than expected an answer is when its advisor gets no further request until the call
/// has ended.
const LATE_MIN: Duration = Duration::from_millis(150);

/// How much later than expected an answer is when the requests to its advisor are given up, so that
/// their steps ask others while the tickets that they have are valid. Late answers are used all the
/// same.
const LATE_MAX: Duration = Duration::from_millis(500);

/// The number of a call to an advisor, in the order of sending.
pub type AdviceCallId = u64;

/// A call that has no outcome yet.
#[derive(Debug)]
struct AdviceCall {
    advisor: AdvisorId,
    request: AdviceRequest,
    sent_at: Instant,
    /// When the answer is expected.
    expected_at: Instant,
    /// Whether the step waits for the outcome.
    awaited: bool,
}

/// The calls to advisors that have no outcome yet.
#[derive(Debug, Default)]
pub struct AdviceUnderWay {
    last_call: AdviceCallId,
    calls: BTreeMap<AdviceCallId, AdviceCall>,
}

impl AdviceUnderWay {
    /// Adds a call that is sent at `sent_at` and answered at `expected_at` as expected, and returns its
    /// number.
    ///
    /// Its step waits no longer for calls that were sent before.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_cell::AdviceUnderWay;
    /// use jackdawchute_scheduler::{AdviceRequest, StepName};
    ///
    /// let request = AdviceRequest {
    ///     number: 1,
    ///     step: StepName { job: "job".into(), occurrence: 0, step: 0 },
    ///     workers: vec!["w0".into()],
    ///     expected: Duration::from_millis(200),
    /// };
    /// let advisor = ([127, 0, 0, 1], 80).into();
    /// let mut under_way = AdviceUnderWay::default();
    /// let now = Instant::now();
    /// let call = under_way.begin(advisor, request, now, now + Duration::from_millis(200));
    /// assert!(under_way.end(call));
    /// ```
    pub fn begin(
        &mut self,
        advisor: AdvisorId,
        request: AdviceRequest,
        sent_at: Instant,
        expected_at: Instant,
    ) -> AdviceCallId {
        let same_step = |call: &&mut AdviceCall| call.request.step == request.step;
        for former in self.calls.values_mut().filter(same_step) {
            former.awaited &= former.sent_at >= sent_at;
        }
        self.last_call += 1;
        let call = AdviceCall {
            advisor,
            request,
            sent_at,
            expected_at,
            awaited: true,
        };
        self.calls.insert(self.last_call, call);
        self.last_call
    }

    /// Removes a call that has an outcome; returns whether its step still waits for that.
    ///
    /// ```
    /// assert!(!jackdawchute_cell::AdviceUnderWay::default().end(1));
    /// ```
    pub fn end(&mut self, call: AdviceCallId) -> bool {
        self.calls.remove(&call).is_some_and(|call| call.awaited)
    }

    /// Gives up the requests to advisors that are gone and those that are not answered in time, and
    /// returns them. The calls go on.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut under_way = jackdawchute_cell::AdviceUnderWay::default();
    /// assert!(under_way.give_up(Instant::now(), |_| true).is_empty());
    /// ```
    pub fn give_up(
        &mut self,
        now: Instant,
        is_gone: impl Fn(AdvisorId) -> bool,
    ) -> Vec<(AdvisorId, AdviceRequest)> {
        let overdue = self
            .calls
            .values()
            .filter(|call| now > call.expected_at + LATE_MAX);
        let overdue: Vec<AdvisorId> = overdue.map(|call| call.advisor).collect();
        let awaited = self.calls.values_mut().filter(|call| call.awaited);
        let given_up =
            awaited.filter(|call| overdue.contains(&call.advisor) || is_gone(call.advisor));
        given_up
            .map(|call| {
                call.awaited = false;
                (call.advisor, call.request.clone())
            })
            .collect()
    }

    /// Returns whether an advisor has a call under way.
    ///
    /// ```
    /// let under_way = jackdawchute_cell::AdviceUnderWay::default();
    /// assert!(!under_way.is_asked(([127, 0, 0, 1], 80).into()));
    /// ```
    pub fn is_asked(&self, advisor: AdvisorId) -> bool {
        self.calls.values().any(|call| call.advisor == advisor)
    }

    /// Returns the advisors that are late with an answer: they may answer none, and would count as
    /// free by what is expected.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let under_way = jackdawchute_cell::AdviceUnderWay::default();
    /// assert!(under_way.late(Instant::now()).is_empty());
    /// ```
    pub fn late(&self, now: Instant) -> Vec<AdvisorId> {
        let late = self
            .calls
            .values()
            .filter(|call| now > call.expected_at + LATE_MIN);
        late.map(|call| call.advisor).collect()
    }
}
