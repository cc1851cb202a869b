//! Errors of the stand-ins.

use std::io;

use quick_error::quick_error;

/// The result of starting or calling a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A failure to start, call or configure a stand-in; `step` names what was attempted, `subject`
    /// the address, file or option concerned.
    #[derive(Debug)]
    pub enum Error {
        /// A listener could not be started.
        Listen(cause: jackdawchute_trial::Error) {
            display("start listener: {}", cause)
            source(cause)
            from()
        }
        /// The task that owns the stand-in's state has ended.
        Ended(step: &'static str, subject: String) {
            display("{} at {}: the task has ended", step, subject)
        }
        /// An operation on a file, socket or process failed.
        Io(step: &'static str, subject: String, cause: io::Error) {
            display("{} at {}: {}", step, subject, cause)
            source(cause)
        }
        /// A text or response does not have the expected form.
        Invalid(step: &'static str, subject: String, cause: String) {
            display("{} at {}: {}", step, subject, cause)
        }
    }
}
