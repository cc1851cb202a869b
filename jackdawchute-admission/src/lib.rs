//! Classes, queues, quotas and refusals under overload.
//!
//! A policy is a value that queues work and says what runs next. It has no clock, socket or
//! codec; the caller tells it the time.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod estimate;
mod fair_share;
mod fifo;
mod policy;
mod strict_priority;
mod team_queues;
mod token_bucket;

pub use estimate::ServiceTime;
pub use fair_share::FairShare;
pub use fifo::Fifo;
pub use policy::{AdmissionPolicy, ClassLimits, Limits, WorkItem, WorkItemId};
pub use strict_priority::StrictPriority;
pub use token_bucket::{Rate, TokenBucket};
