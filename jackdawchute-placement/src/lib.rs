//! Placement policies for services, batch jobs and gangs.
//!
//! A policy looks at the fleet and returns the chosen workers. It has no clock, socket or codec.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod first_fit;
mod fleet;
mod policy;

pub use first_fit::FirstFit;
pub use fleet::{Fleet, WorkerSlot};
pub use policy::{Ask, PlacementPolicy};
