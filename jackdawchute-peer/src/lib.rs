//! Remote calls between instances.
//!
//! This crate is only the transport: it sends the typed calls of any slice, that is of any part of
//! the scheduler with its own state and protocol, as JSON-RPC over a WebSocket and does not depend
//! on their types. One task for each peer owns the connection to it.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod error;
mod link;
mod messages;
mod network;
mod rpc;
mod server;

pub use error::{Error, Result};
pub use messages::{CallPeer, PeerService, SliceName, Token};
pub use network::{spawn, spawn_from, NetworkTask, PeerClient};
pub use server::{bind, BoundServer, Options, RunningServer, Services};
