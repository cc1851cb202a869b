//! Errors in submitted jobs and in saved rows.

use quick_error::quick_error;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a submitted job or a saved row is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The step with this index is invalid.
        Step(step: u32, problem: &'static str) {
            display("check job: step {} {}", step, problem)
        }
        /// The job as a whole is invalid.
        Job(problem: &'static str) {
            display("check job: {}", problem)
        }
        /// The saved row with this key cannot be decoded.
        Row(key: String, cause: String) {
            display("decode saved row `{}`: {}", key, cause)
        }
    }
}
