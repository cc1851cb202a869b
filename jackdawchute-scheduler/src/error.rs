//! Errors of submitted jobs and saved rows.

use quick_error::quick_error;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a job or a saved row cannot be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A step of the job is not usable as written.
        Step(step: u32, problem: &'static str) {
            display("check job: step {} {}", step, problem)
        }
        /// The job as a whole is not usable as written.
        Job(problem: &'static str) {
            display("check job: {}", problem)
        }
        /// A saved row does not decode.
        Row(key: String, cause: String) {
            display("decode saved row `{}`: {}", key, cause)
        }
    }
}
