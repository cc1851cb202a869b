//! The events of the simulation.

use std::time::Duration;

use jackdawchute_scheduler::{
    AdviceRequest, CommitBatch, RenewAnswer, RenewOrder, StartOrder, StopOrder, TaskName,
};
use jackdawchute_types::WorkerId;

/// A simulated event.
#[derive(Debug)]
pub(super) enum Event {
    /// A job of the kind with this index is submitted.
    JobArrives(usize),
    Tick,
    RoundDue,
    Commit,
    Committed(CommitBatch),
    /// An order to start a task arrives.
    Started(StartOrder),
    /// The answer to an order to start a task arrives.
    StartAnswered(StartOrder),
    Stopped(StopOrder),
    RenewalArrives(RenewOrder),
    /// The lease renewal that waits at a worker must be answered.
    RenewalDue(WorkerId),
    /// The answer to a lease renewal arrives; the time is when the renewal was sent.
    RenewalAnswered(RenewOrder, Duration, RenewAnswer),
    TaskEnds(WorkerId, TaskName, u64),
    /// The answer to an advice request arrives, with the share of workers that it allows.
    AdviceAnswered(AdviceRequest, Option<f64>),
    /// The processor has finished its work and takes the next event.
    ProcessorFree,
}

impl Event {
    /// Returns whether the leader's processor handles the event in its turn; ticks go first.
    pub(super) fn takes_turn(&self) -> bool {
        match self {
            Event::JobArrives(_)
            | Event::RoundDue
            | Event::Committed(_)
            | Event::StartAnswered(_)
            | Event::Stopped(_)
            | Event::RenewalAnswered(..)
            | Event::AdviceAnswered(..) => true,
            Event::Tick
            | Event::Commit
            | Event::Started(_)
            | Event::RenewalArrives(_)
            | Event::RenewalDue(_)
            | Event::TaskEnds(..)
            | Event::ProcessorFree => false,
        }
    }
}
