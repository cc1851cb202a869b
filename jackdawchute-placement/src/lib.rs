//! Placement policies for services, batch jobs and gangs.
//!
//! A policy looks at the fleet and returns the chosen workers. It has no clock, socket or codec.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod by_kind;
mod choice;
mod first_fit;
mod fleet;
mod index;
mod pack;
mod policy;
mod random;
mod spread;

pub use by_kind::ByKind;
pub use first_fit::FirstFit;
pub use fleet::{Fleet, FleetWorker};
pub use pack::Pack;
pub use policy::{PlacementPolicy, PlacementRequest};
pub use random::Random;
pub use spread::Spread;
