//! Fixtures: instances over one table in memory, with faults between them.
#![allow(dead_code, unused_imports)]

mod faulty_table;
mod instance;
mod local_peers;

pub use faulty_table::{Fault, FaultyTable};
pub use instance::{entry, eventually, start, within, Cell, Instance};
pub use local_peers::{LocalPeers, PeersOfInstance};
