//! Instances in one process, connected over TCP, on an in-memory platform.

mod fixtures;
mod instances;
mod outages;
mod store_rows;
