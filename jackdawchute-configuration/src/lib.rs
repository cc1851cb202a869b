//! The versioned configuration of the fleet: its content, checks, acceptance and distribution.
//!
//! One versioned row of the platform's table holds the configuration. Operators change it by
//! compare-and-swap. Instances read it from the table or, while the table does not answer, get it
//! from their peers, and they only ever switch to a higher version.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod apply;
pub mod diff;
pub mod history;
pub mod wait;

mod bounds;
mod check;
mod class;
mod configuration;
mod defaults;
mod error;
mod exception;
mod messages;
mod resolve;
mod route;
mod rows;
mod state;
mod task;
mod unix_ms;

pub use class::Class;
pub use configuration::Configuration;
pub use defaults::Defaults;
pub use error::{Error, Result};
pub use exception::{Exception, Override, Target};
pub use jackdawchute_yaml::{Problem, Problems};
pub use messages::{
    Accepted, Call, Confirmation, Current, Incoming, KnownConfiguration, NoPeers, PeerAnswer,
    PeerAnswers, PeerCalls, PeerFailure, Reply, Subscribe, SubscribeConfirmation,
};
pub use resolve::{ServiceConfiguration, WorkerConfiguration};
pub use route::Route;
pub use rows::CURRENT_KEY;
pub use state::{Plan, State, TableRead};
pub use task::{spawn, ConfigurationTask, Options};
