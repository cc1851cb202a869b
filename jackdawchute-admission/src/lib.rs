//! Classes, queues, quotas and refusals under overload.
//!
//! A policy is a value that queues work and says what runs next. It has no clock, socket or
//! codec; the caller tells it the time.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod fifo;
mod policy;

pub use fifo::Fifo;
pub use policy::{AdmissionPolicy, ClassLimits, Limits, Ticket, TicketId};
