//! Errors of the stand-ins.

use std::io;

use quick_error::quick_error;

/// The result of starting or asking a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A stand-in that did not start, has ended or was asked for something unknown.
    #[derive(Debug)]
    pub enum Error {
        /// A listener did not start.
        Listen(cause: jackdawchute_trial::Error) {
            display("start listener: {}", cause)
            source(cause)
            from()
        }
        /// The task that owns the state has ended.
        Ended(step: &'static str, peer: String) {
            display("{} at {}: the task has ended", step, peer)
        }
        /// A file or socket failed.
        Io(step: &'static str, peer: String, cause: io::Error) {
            display("{} at {}: {}", step, peer, cause)
            source(cause)
        }
        /// A text is not what was expected.
        Invalid(step: &'static str, peer: String, cause: String) {
            display("{} at {}: {}", step, peer, cause)
        }
    }
}
