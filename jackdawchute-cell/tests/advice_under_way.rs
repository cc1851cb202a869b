//! Calls to advisors without an outcome: which of them a step waits for, and which advisors are late.

use std::time::{Duration, Instant};

use jackdawchute_cell::AdviceUnderWay;
use jackdawchute_scheduler::{AdviceRequest, StepName};
use jackdawchute_types::AdvisorId;

/// The expected time of each request.
const EXPECTED: Duration = Duration::from_millis(500);
/// How long a step waits for an outcome.
const STEP_WAIT_MAX: Duration = Duration::from_millis(2_500);

fn advisor(number: u8) -> AdvisorId {
    ([127, 0, 0, number], 80).into()
}

/// Returns a request about a step of this job.
fn request(job: &str) -> AdviceRequest {
    AdviceRequest {
        number: 0,
        step: StepName {
            job: job.into(),
            occurrence: 0,
            step: 0,
        },
        workers: vec!["w0".into()],
        expected: EXPECTED,
    }
}

#[test]
fn only_the_requests_to_an_advisor_that_is_gone_are_given_up() {
    let now = Instant::now();
    let mut under_way = AdviceUnderWay::default();
    let to_gone = under_way.begin(advisor(1), request("first"), now, now + EXPECTED);
    let to_other = under_way.begin(advisor(2), request("second"), now, now + EXPECTED);

    let given_up = under_way.give_up(now, |it| it == advisor(1));
    let again = under_way.give_up(now, |it| it == advisor(1));

    assert_eq!(given_up, [(advisor(1), request("first"))]);
    assert!(again.is_empty(), "{again:?}");
    assert!(!under_way.end(to_gone), "its step has been told already");
    assert!(under_way.end(to_other));
}

#[test]
fn an_advisor_is_late_until_the_call_that_it_has_not_answered_ends() {
    let now = Instant::now();
    let mut under_way = AdviceUnderWay::default();
    let call = under_way.begin(advisor(1), request("first"), now, now + EXPECTED);
    under_way.begin(advisor(2), request("second"), now, now + EXPECTED * 4);

    let in_time = under_way.late(now + EXPECTED);
    let late = under_way.late(now + EXPECTED * 2);
    under_way.end(call);
    let ended = under_way.late(now + EXPECTED * 2);

    assert!(in_time.is_empty(), "{in_time:?}");
    assert_eq!(late, [advisor(1)]);
    assert!(ended.is_empty(), "{ended:?}");
}

#[test]
fn a_request_without_an_answer_in_time_is_given_up_before_its_step_may_ask_again_by_itself() {
    let now = Instant::now();
    let mut under_way = AdviceUnderWay::default();
    under_way.begin(advisor(1), request("first"), now, now + EXPECTED);

    let at_first = under_way.give_up(now + EXPECTED * 2, |_| false);
    let later = under_way.give_up(now + STEP_WAIT_MAX, |_| false);

    assert!(at_first.is_empty(), "a busy advisor may take that long");
    assert_eq!(later, [(advisor(1), request("first"))]);
}

/// A step that has waited for too long asks again by itself; what its former requests come to is not
/// what its new ones do.
#[test]
fn requests_end_the_wait_for_earlier_ones_about_the_same_step() {
    let now = Instant::now();
    let later = now + STEP_WAIT_MAX;
    let mut under_way = AdviceUnderWay::default();
    let former = under_way.begin(advisor(1), request("first"), now, now + EXPECTED);
    let of_other_step = under_way.begin(advisor(1), request("second"), now, now + EXPECTED);

    let repeated =
        [2, 3].map(|it| under_way.begin(advisor(it), request("first"), later, later + EXPECTED));

    assert!(!under_way.end(former));
    assert!(under_way.end(of_other_step));
    assert!(repeated.into_iter().all(|call| under_way.end(call)));
}
