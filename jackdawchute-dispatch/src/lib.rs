//! Tasks that own the HTTP connections to minions.
//!
//! One task for each minion address sends the requests that it receives. It decides nothing: the
//! grant determines whether and where a request may be sent, and the sender decides what to do
//! after a failure.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod error;
mod headers;
mod link;
mod messages;
mod relay;
mod task;

pub use error::{Error, Result};
pub use headers::end_to_end;
pub use messages::{Answer, Chunk, Outgoing, SendRequest, SetIdleConnections};
pub use task::{spawn, DispatchTask, Options};
