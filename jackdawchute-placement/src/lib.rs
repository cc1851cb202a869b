//! Placement policies for services, batch jobs and gangs.
//!
//! A policy reads a [`Fleet`] and returns the workers chosen for the tasks of one request; the
//! caller charges them. It has no clock, socket or codec.
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
