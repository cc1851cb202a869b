//! What callers are told when an attempt of their call to the leader got no answer.

use std::time::Duration;

use jackdawchute_cell::Answer;
use jackdawchute_scheduler::JobStatus;

/// The answers that say that a submission has had no effect.
fn refusals() -> [Answer; 3] {
    let retry_after = Duration::from_secs(1);
    [
        Answer::Refused { retry_after },
        Answer::Unavailable { retry_after },
        Answer::NoQueue,
    ]
}

/// The first attempt could be accepted after the second was refused, and the job ran.
#[test]
fn no_refusal_is_passed_on_while_an_earlier_attempt_may_be_accepted() {
    let told = refusals().map(Answer::after_unanswered_attempt);

    assert_eq!(told, [Answer::Unknown, Answer::Unknown, Answer::Unknown]);
}

#[test]
fn what_the_leader_has_done_is_passed_on_after_an_unanswered_attempt() {
    let answers = [
        Answer::Accepted,
        Answer::Status(JobStatus::Running),
        Answer::Pending(3),
        Answer::Unknown,
    ];

    let told = answers.clone().map(Answer::after_unanswered_attempt);

    assert_eq!(told, answers);
}
