//! The scheduler's decisions on submissions, worker reports and changes of the platform's list.

mod advice;
mod authority;
mod cut_off_lists;
mod fixtures;
mod impossible_jobs;
mod incomplete_lists;
mod large_cells;
mod large_jobs;
mod lasting_tasks;
mod late_extensions;
mod late_orders;
mod lateness;
mod lost_workers;
mod other_kinds;
mod pending_jobs;
mod recovery;
mod repeated_starts;
mod repeats;
mod restarted_workers;
mod row_limits;
mod saving;
mod starts_under_way;
mod tenants;
