//! Several instances that share the work, hand the epoch over and meet failures of the platform.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_cell::Answer;
use jackdawchute_scheduler::JobStatus;
use jackdawchute_standins::cell::SerialAdvisor;
use jackdawchute_tenants::Caller;
use jackdawchute_types::JobId;

use crate::fixtures::*;

#[tokio::test]
async fn a_job_submitted_at_any_instance_runs() {
    let cell = cell(3).await;

    for index in 0..3 {
        let job = format!("job-{index}");
        assert_eq!(cell.submit(index, &job, 3).await, Answer::Accepted);
        cell.wait_until_completed((index + 1) % 3, &job).await;
    }

    assert_eq!(cell.workers.records().len(), 9);
    cell.assert_each_task_ran_once();
}

#[tokio::test]
async fn a_job_submitted_repeatedly_runs_once() {
    let cell = cell(3).await;

    for index in [0, 1, 2, 0] {
        assert_eq!(cell.submit(index, "job", 2).await, Answer::Accepted);
    }
    cell.wait_until_completed(0, "job").await;
    assert_eq!(cell.submit(1, "job", 2).await, Answer::Accepted);
    tokio::time::sleep(TASK_TIME).await;

    assert_eq!(cell.workers.records().len(), 2);
}

#[tokio::test]
async fn another_instance_takes_over_when_the_store_refuses_the_leader() {
    let cell = cell(3).await;
    let leader = cell.leader().await;
    cell.submit_until_accepted(leader, "before", 4).await;

    cell.instances[leader].store.deny(true);
    cell.instances[leader].directory.deny(true);
    let other = (leader + 1) % 3;
    cell.submit_until_accepted(other, "after", 4).await;
    // The replaced leader forwards calls to its successor, though it cannot read the store.
    cell.submit_until_accepted(leader, "at-the-replaced", 2)
        .await;

    for job in ["before", "after", "at-the-replaced"] {
        cell.wait_until_completed(leader, job).await;
    }
    assert_ne!(cell.leader().await, leader);
    cell.assert_each_task_ran_once();
}

/// A leader that is cut off from the store does not know the jobs of its successor. If it answered
/// that such a job is unknown, the caller would take an accepted job for lost.
#[tokio::test]
async fn a_replaced_leader_never_reports_a_job_of_its_successor_as_unknown() {
    let cell = cell(3).await;
    let leader = cell.leader().await;
    let other = (leader + 1) % 3;
    cell.instances[leader].store.deny(true);

    cell.submit_until_accepted(other, "job", 1).await;
    let gateway = &cell.instances[leader].handle.gateway;
    let job: JobId = "job".into();
    let status = gateway
        .status(
            Caller::default(),
            &route().policy.queue,
            job.clone(),
            DEADLINE,
        )
        .await;
    let cancelled = gateway
        .cancel(Caller::default(), &route().policy.queue, job, DEADLINE)
        .await;

    let unknown = Answer::Status(JobStatus::Unknown);
    assert_ne!(status, unknown);
    assert_ne!(cancelled, unknown);
}

/// A commit whose answer is lost may have taken effect: taking it for failed would lose its jobs,
/// and appending it again would run them twice.
#[tokio::test]
async fn jobs_run_once_when_answers_of_the_store_are_lost() {
    let cell = cell(2).await;
    for instance in &cell.instances {
        instance.store.lose_answers(3);
    }

    for index in 0..20 {
        let job = format!("job-{index}");
        cell.submit_until_accepted(index % 2, &job, 1).await;
    }
    for index in 0..20 {
        cell.wait_until_completed(0, &format!("job-{index}")).await;
    }

    assert_eq!(cell.workers.records().len(), 20);
    cell.assert_each_task_ran_once();
}

#[tokio::test]
async fn a_store_outage_stops_acceptance_but_no_running_tasks() {
    let cell = cell(2).await;
    cell.submit_until_accepted(0, "before", 8).await;
    for instance in &cell.instances {
        instance.store.deny(true);
    }
    tokio::time::sleep(Duration::from_millis(600)).await;

    let asked_at = Instant::now();
    let answer = cell.submit(1, "refused", 1).await;
    let took = asked_at.elapsed();
    let started_meanwhile = cell.workers.records().len();
    for instance in &cell.instances {
        instance.store.deny(false);
    }
    cell.wait_until_completed(1, "before").await;

    let Answer::Unavailable { retry_after } = answer else {
        panic!("{answer:?}");
    };
    assert!(retry_after >= Duration::from_secs(1));
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert_eq!(started_meanwhile, 8);
    cell.assert_each_task_ran_once();
}

/// With a slow store, jobs beyond the next few commits cannot be accepted within their deadline.
/// They must be refused at once, so that their callers can try again later.
#[tokio::test]
async fn jobs_that_a_slow_store_cannot_save_in_time_are_refused_at_once() {
    let cell = Arc::new(cell(1).await);
    cell.instances[0]
        .store
        .slow_down(Duration::from_millis(400));
    cell.submit_until_accepted(0, "first", 1).await;

    let submissions = (0..1_500).map(|index| {
        let cell = Arc::clone(&cell);
        tokio::spawn(async move {
            let asked_at = Instant::now();
            let answer = cell.submit(0, &format!("job-{index}"), 1).await;
            (answer, asked_at.elapsed())
        })
    });
    let submissions: Vec<_> = submissions.collect();
    let (mut accepted, mut refused) = (0, 0);
    for submission in submissions {
        match submission.await.expect("a submission does not panic") {
            (Answer::Accepted, _) => accepted += 1,
            (Answer::Unavailable { retry_after }, took) => {
                assert!(retry_after >= Duration::from_secs(1), "{retry_after:?}");
                assert!(took < Duration::from_secs(1), "refused after {took:?}");
                refused += 1;
            }
            (answer, took) => panic!("{answer:?} after {took:?}"),
        }
    }

    assert!(accepted >= 90, "{accepted} accepted, {refused} refused");
    assert!(refused >= 500, "{accepted} accepted, {refused} refused");
}

#[tokio::test]
async fn a_leaving_leader_hands_over_within_a_second() {
    let cell = cell(3).await;
    let leader = cell.leader().await;

    cell.instances[leader].handle.leave().await;
    let asked_at = Instant::now();
    cell.submit_until_accepted((leader + 1) % 3, "job", 2).await;
    let took = asked_at.elapsed();
    cell.wait_until_completed((leader + 2) % 3, "job").await;

    assert!(!cell.instances[leader].handle.gateway.ready());
    assert!(took < Duration::from_secs(1), "{took:?}");
    wait_for_other_leader(&cell, leader).await;
}

#[tokio::test]
async fn a_stronger_instance_that_joins_becomes_leader() {
    let mut cell = cell_with_processors(&[120, 120]).await;
    let weak = cell.leader().await;
    cell.submit_until_accepted(0, "before", 4).await;

    cell.add_instance(500).await;
    wait_for_other_leader(&cell, weak).await;
    cell.submit_until_accepted(0, "after", 4).await;

    assert_eq!(cell.leader().await, 2);
    for job in ["before", "after"] {
        cell.wait_until_completed(1, job).await;
    }
    cell.assert_each_task_ran_once();
}

#[tokio::test]
async fn a_leaving_leader_hands_over_to_the_strongest_instance() {
    let mut cell = cell_with_processors(&[500]).await;
    for processor_millicores in [120, 500, 120] {
        cell.add_instance(processor_millicores).await;
    }
    cell.wait_until_ready().await;

    cell.instances[0].handle.leave().await;
    wait_for_other_leader(&cell, 0).await;

    assert_eq!(cell.leader().await, 2);
}

/// An instance that does not reach the store can't claim the epoch, though it still sends heartbeats.
#[tokio::test]
async fn a_leaving_leader_hands_over_past_a_stronger_instance_that_is_cut_off_from_the_store() {
    let cell = cell_with_processors(&[1_000, 900, 800]).await;
    let leader = cell.leader().await;
    let stronger = (0..3).find(|index| *index != leader);
    cell.cut_store(stronger.expect("there are others"), true);

    cell.instances[leader].handle.leave().await;
    let asked_at = Instant::now();
    wait_for_other_leader(&cell, leader).await;

    let took = asked_at.elapsed();
    assert!(took < Duration::from_secs(1), "{took:?}");
}

#[tokio::test]
async fn an_instance_cut_off_from_the_store_applies_the_leaders_configuration() {
    let cell = cell(3).await;
    let denied = (cell.leader().await + 1) % 3;
    cell.instances[denied].store.deny(true);
    cell.instances[denied].directory.deny(true);

    cell.routes.send_replace(routes(5));

    let version = || cell.instances[denied].handle.gateway.routes().version;
    wait_for("version 5 is not applied", || version() == 5).await;
}

/// An advisor that is overloaded by earlier requests answers late. Requests that time out and are
/// sent again would keep it overloaded forever, and jobs that need advice would never run.
#[tokio::test]
async fn all_jobs_complete_after_the_advisor_was_overloaded() {
    let overloaded = SerialAdvisor::busy_for(Duration::from_secs(3));
    let cell = cell_with_advisor(&[1_000], Arc::new(overloaded)).await;
    let gateway = &cell.instances[0].handle.gateway;
    let route = advised_route();

    // The jobs need eight seconds of advice, and the leader does not know yet how busy the advisor
    // is.
    let jobs: Vec<String> = (0..40).map(|index| format!("job-{index}")).collect();
    for job in &jobs {
        let submitted = gateway.submit(
            Caller::default(),
            job.as_str().into(),
            graph(1),
            &route,
            DEADLINE,
        );
        assert_eq!(submitted.await, Answer::Accepted);
    }

    for job in &jobs {
        cell.wait_until_completed(0, job).await;
    }
}
