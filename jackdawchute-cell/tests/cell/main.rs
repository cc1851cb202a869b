//! Instances in one process, connected over TCP, on an in-memory platform.

mod advice;
mod advice_review;
mod busy_leader;
mod fixtures;
mod instances;
mod keys;
mod late_extensions;
mod late_orders;
mod network;
mod outages;
mod partitions;
mod replaced_leader;
mod restarted_leases;
mod restarts;
mod store_rows;
