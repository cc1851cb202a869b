//! The HTTP API for callers: requests to services, and jobs.

mod complete;
mod exchange;
mod inbound;
mod jobs;
mod listener;
mod problem;
mod requests;
mod responses;

pub(crate) use jobs::JobsApi;
pub(crate) use listener::{serve, CallersOptions};
pub(crate) use requests::RequestsApi;
