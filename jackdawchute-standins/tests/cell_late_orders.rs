//! Orders that in-memory workers carry out late, restarts as another kind and their own counts.

use std::time::{Duration, Instant};

use jackdawchute_cell::{Advisor, Workers};
use jackdawchute_scheduler::{
    AdviceRequest, EndReason, JobGraph, RenewOrder, StartAnswer, StartOrder, StartRefusal,
    StepName, StepSpec, StopOrder, TaskName,
};
use jackdawchute_standins::cell::{MemoryWorkers, OrderKind, TicketAdvisor};
use jackdawchute_types::{Resources, WorkerId};

const TASK_TIME: Duration = Duration::from_secs(30);
/// The age of the first incarnations.
const AGE: Duration = Duration::from_secs(12);
/// How long after its arrival a late order is carried out.
const LATE: Duration = Duration::from_millis(200);
/// How long the workers get to carry out late orders, and to end what lapses.
const PAUSE: Duration = Duration::from_millis(500);

fn worker() -> WorkerId {
    "w0".into()
}

fn task(index: u32) -> TaskName {
    TaskName {
        step: StepName {
            job: "job".into(),
            occurrence: 0,
            step: 0,
        },
        index,
    }
}

/// An order that an aged worker takes until 4 s from now.
fn start(index: u32) -> StartOrder {
    StartOrder {
        worker: worker(),
        address: ([127, 0, 0, 1], 9).into(),
        task: task(index),
        run: 1,
        payload: "".into(),
        checkpoint: "".into(),
        ticket: None,
        lease_until: AGE + Duration::from_secs(4),
        token: 1,
    }
}

fn stop(index: u32) -> StopOrder {
    let StartOrder {
        worker,
        address,
        task,
        run,
        token,
        ..
    } = start(index);
    StopOrder {
        worker,
        address,
        task,
        run,
        token,
    }
}

fn renewal(lease_until: Option<Duration>, token: u64) -> RenewOrder {
    RenewOrder {
        worker: worker(),
        address: start(0).address,
        lease_until,
        ends_saved: 0,
        ends_recorded: 0,
        wait: Duration::ZERO,
        token,
    }
}

/// Returns what the clock shows before each of `restarts`, and right after it.
async fn clocks_around(workers: &MemoryWorkers, restarts: usize) -> Vec<(Duration, Duration)> {
    let read = || async {
        let answer = workers.renew(&renewal(None, 0)).await;
        answer.expect("no token is above 0").clock
    };
    let mut clocks = Vec::new();
    for _ in 0..restarts {
        let former = read().await;
        workers.crash(&worker());
        clocks.push((former, read().await));
    }
    clocks
}

fn aged_worker() -> MemoryWorkers {
    let workers = MemoryWorkers::new(1, TASK_TIME);
    workers.set_clocks(AGE, 1.0);
    workers
}

/// Sends an order to start that is carried out late, and crashes the worker in between.
async fn late_start_after_crash(workers: &MemoryWorkers) -> (StartAnswer, Instant) {
    workers.set_late(&worker(), &[OrderKind::Start], Some(LATE));
    let (handle, order) = (workers.handle(), start(0));
    let crash = async {
        tokio::time::sleep(LATE / 2).await;
        workers.crash(&worker());
        Instant::now()
    };
    tokio::join!(handle.start(&order), crash)
}

#[tokio::test]
async fn a_late_start_gets_no_answer_and_begins_in_the_next_incarnation() {
    let workers = aged_worker();

    let (answer, crashed_at) = late_start_after_crash(&workers).await;
    let records = workers.records();

    assert_eq!(answer, StartAnswer::Unknown);
    assert_eq!(records.len(), 1);
    assert!(records[0].began_at > crashed_at);
    assert_eq!(records[0].ended_at, None);
    assert_eq!(workers.late_orders(OrderKind::Start), [] as [WorkerId; 0]);
}

#[tokio::test]
async fn a_late_start_under_a_lower_token_than_the_next_incarnation_has_seen_does_not_begin() {
    let workers = aged_worker();
    workers.set_late(&worker(), &[OrderKind::Start], Some(LATE));

    let (handle, order) = (workers.handle(), start(0));
    let raised = async {
        workers.crash(&worker());
        workers.renew(&renewal(None, 2)).await
    };
    let (answer, raised) = tokio::join!(handle.start(&order), raised);

    assert_eq!(answer, StartAnswer::Unknown);
    assert!(raised.is_ok(), "{raised:?}");
    assert_eq!(workers.records(), []);
}

#[tokio::test]
async fn a_late_start_whose_lease_has_lapsed_on_the_clock_of_its_incarnation_does_not_begin() {
    let workers = aged_worker();
    workers.set_late(&worker(), &[OrderKind::Start], Some(LATE));

    let mut order = start(0);
    order.lease_until = AGE + LATE / 2;
    let answer = workers.handle().start(&order).await;

    assert_eq!(answer, StartAnswer::Unknown);
    assert_eq!(workers.records(), []);
}

#[tokio::test]
async fn a_lease_is_cut_to_the_longest_hold_on_the_clock_of_the_incarnation() {
    let workers = aged_worker();
    workers.set_hold_max(LATE);

    late_start_after_crash(&workers).await;
    tokio::time::sleep(PAUSE).await;
    let record = workers.records().remove(0);

    let ran = record.ended_at.map(|ended| ended - record.began_at);
    assert_eq!(record.reason, Some(EndReason::LeaseLapsed));
    assert_eq!(ran, Some(LATE));
}

#[tokio::test]
async fn a_late_renewal_extends_the_lease_of_the_next_incarnation() {
    let workers = aged_worker();
    workers.set_late(&worker(), &[OrderKind::Renewal], Some(LATE));
    let until = AGE + Duration::from_secs(4);
    let mut order = start(0);
    order.lease_until = LATE + PAUSE;

    let handle = workers.handle();
    let renewal = renewal(Some(until), 1);
    let crash_and_start = async {
        workers.crash(&worker());
        workers.start(&order).await
    };
    let (renewed, started) = tokio::join!(handle.renew(&renewal), crash_and_start);
    tokio::time::sleep(PAUSE).await;

    assert!(renewed.is_err(), "{renewed:?}");
    assert!(
        matches!(started, StartAnswer::Started { .. }),
        "{started:?}"
    );
    assert_eq!(workers.records()[0].ended_at, None);
}

#[tokio::test]
async fn a_start_beside_a_run_that_is_being_stopped_counts_both() {
    let workers = aged_worker();
    workers.set_stop_time(PAUSE);
    let step = StepSpec {
        tasks: 3,
        resources: Resources::new(1_500, 10, 0),
        ..StepSpec::default()
    };
    let graph = JobGraph {
        steps: vec![step],
        ..JobGraph::default()
    };
    workers.register_job(&"job".into(), &graph);
    workers.crash_to_capacity(&worker(), 3_000);

    for index in 0..2 {
        workers.start(&start(index)).await;
    }
    let stopped = workers.stop(&stop(0)).await;
    let overloads_before = workers.overloads();
    workers.start(&start(2)).await;
    let overloads = workers.overloads();
    tokio::time::sleep(PAUSE).await;
    let record = workers.records().remove(0);

    assert!(stopped.is_ok(), "{stopped:?}");
    assert_eq!(overloads_before, []);
    assert_eq!(overloads.len(), 1);
    assert_eq!(
        (overloads[0].task.index, overloads[0].used_millicores),
        (2, 4_500)
    );
    assert!(!overloads[0].late);
    assert_eq!(record.reason, Some(EndReason::Stopped));
}

#[tokio::test]
async fn a_ticket_of_an_earlier_incarnation_is_refused() {
    let workers = aged_worker();
    let advisor = TicketAdvisor::new(workers.clone());
    let request = AdviceRequest {
        number: 0,
        step: task(0).step,
        workers: vec![worker()],
        expected: Duration::ZERO,
    };
    let answer = advisor.advise(&request, PAUSE).await;
    let mut answer = answer.expect("this advisor always answers");
    let mut order = start(0);
    order.ticket = answer.allowed.pop().map(|(_, ticket)| ticket);

    workers.crash(&worker());
    let refused = workers.start(&order).await;

    let of_ticket = matches!(
        refused,
        StartAnswer::Refused {
            reason: StartRefusal::Ticket,
            ..
        }
    );
    assert!(of_ticket, "{refused:?}");
}

#[tokio::test]
async fn clocks_start_below_and_above_those_of_former_incarnations_as_the_seed_says() {
    const RESTARTS: usize = 30;
    let seeded = || {
        let workers = MemoryWorkers::new(1, TASK_TIME);
        workers.draw_clocks(7);
        workers
    };

    let clocks = clocks_around(&seeded(), RESTARTS).await;
    let again = clocks_around(&seeded(), RESTARTS).await;

    let lower = clocks.iter().filter(|(former, clock)| clock < former);
    let lower = lower.count();
    assert!((5..=25).contains(&lower), "{clocks:?}");
    for ((_, clock), (_, clock_again)) in clocks.into_iter().zip(again) {
        assert!(clock.abs_diff(clock_again) < PAUSE);
    }
}

#[tokio::test]
async fn clocks_start_where_a_test_sets_them() {
    let later = Duration::from_secs(8_030);
    let workers = aged_worker();

    let from_zero = clocks_around(&workers, 1).await[0];
    workers.set_next_clocks(later);
    let from_later = clocks_around(&workers, 1).await[0];

    assert!(from_zero.0 >= AGE && from_zero.1 < PAUSE, "{from_zero:?}");
    assert!(from_later.1 >= later && from_later.1 < later + PAUSE);
}

#[tokio::test]
async fn an_order_to_the_former_incarnation_is_carried_out_by_the_next_one_when_it_is_up() {
    let workers = aged_worker();
    workers.set_late(&worker(), &[OrderKind::Start], Some(TASK_TIME));
    let handle = workers.handle();
    let order = start(0);

    let answer = handle.start(&order).await;
    workers.crash(&worker());
    let before = workers.records();
    workers.carry_out_late(&worker());
    let records = workers.records();

    assert_eq!((answer, before), (StartAnswer::Unknown, Vec::new()));
    assert_eq!(records.len(), 1);
    assert!(records[0].late && records[0].ended_at.is_none());
}
