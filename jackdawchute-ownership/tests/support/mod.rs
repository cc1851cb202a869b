//! Fixtures: instances over one table in memory, with faults between them.
#![allow(dead_code, unused_imports)]

mod faulty_table;
mod local_peers;
mod node;

pub use faulty_table::{Fault, FaultyTable};
pub use local_peers::{LocalPeers, PeersOf};
pub use node::{entry, eventually, start, within, Cell, Node};
