//! Errors of the command line.

use std::process::ExitCode;

use quick_error::quick_error;

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// The exit code of a command that failed.
const FAILURE: u8 = 1;
/// The exit code of a command line that was not understood.
const USAGE: u8 = 2;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The command line was not understood.
        Usage(text: String) {
            display("{}", text)
        }
        /// A file could not be read.
        Read(path: String, cause: std::io::Error) {
            display("read {}: {}", path, cause)
        }
        /// The settings were refused.
        Settings(cause: jackdawchute_settings::Error) {
            display("{}", cause)
            from()
        }
        /// The configuration was refused.
        Configuration(cause: jackdawchute_configuration::Error) {
            display("{}", cause)
            from()
        }
        /// The instance could not start.
        Instance(cause: jackdawchute_entry::Error) {
            display("{}", cause)
            from()
        }
        /// The instance of a cell could not start.
        Cell(cause: jackdawchute_peer::Error) {
            display("{}", cause)
            from()
        }
        /// A part of the embedded platform could not start.
        Trial(cause: jackdawchute_trial::Error) {
            display("{}", cause)
            from()
        }
        /// A call to an instance failed.
        Call(step: &'static str, peer: String, cause: String) {
            display("{} at {}: {}", step, peer, cause)
        }
        /// An instance refused a call.
        Refused(step: &'static str, problem: String) {
            display("{}: {}", step, problem)
        }
        /// The process could not be set up.
        Process(step: &'static str, cause: std::io::Error) {
            display("{}: {}", step, cause)
        }
        /// A successor fenced this instance.
        Fenced {
            display("fenced by a successor; a restart makes a new incarnation")
        }
        /// Not all came out as it should.
        Unexpected(count: usize) {
            display("{} outcomes were not as expected", count)
        }
    }
}

impl Error {
    /// The code that the process exits with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) => ExitCode::from(USAGE),
            _ => ExitCode::from(FAILURE),
        }
    }
}
