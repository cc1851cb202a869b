//! Instances in one process, connected over TCP, on an in-memory platform.

mod busy_leader;
mod fixtures;
mod instances;
mod network;
mod outages;
mod partitions;
mod store_rows;
