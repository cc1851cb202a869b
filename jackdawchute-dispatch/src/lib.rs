//! Tasks that own the connections to minions.
//!
//! One task for each minion sends the requests that it is handed. It decides nothing: whether and
//! where a request may go was granted before, and what follows a failure is the sender's matter.
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
