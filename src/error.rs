//! The errors of commands and their exit codes.

use std::process::ExitCode;

use quick_error::quick_error;

/// The result of a command or one of its steps.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// The exit code of a command that was understood and failed.
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
        /// A file named on the command line could not be read.
        Read(path: String, cause: std::io::Error) {
            display("read {}: {}", path, cause)
        }
        /// The settings file could not be read or is invalid.
        Settings(cause: jackdawchute_settings::Error) {
            display("{}", cause)
            from()
        }
        /// The configuration is invalid.
        Configuration(cause: jackdawchute_configuration::Error) {
            display("{}", cause)
            from()
        }
        /// The entry instance could not start.
        Instance(cause: jackdawchute_entry::Error) {
            display("{}", cause)
            from()
        }
        /// The cell instance could not start.
        Cell(cause: jackdawchute_peer::Error) {
            display("{}", cause)
            from()
        }
        /// A part of the embedded platform of `try` failed.
        Trial(cause: jackdawchute_trial::Error) {
            display("{}", cause)
            from()
        }
        /// A call to an instance got no usable response.
        Call(step: &'static str, peer: String, cause: String) {
            display("{} at {}: {}", step, peer, cause)
        }
        /// An instance refused a call, or the outcome of a step is not the requested one.
        Refused(step: &'static str, problem: String) {
            display("{}: {}", step, problem)
        }
        /// The runtime or the signal handlers could not be set up.
        Process(step: &'static str, cause: std::io::Error) {
            display("could not {}: {}", step, cause)
        }
        /// A successor fenced this instance while it served.
        Fenced {
            display("fenced by a successor; a restart makes a new incarnation")
        }
        /// Some outcomes of the example input differ from the expected ones.
        Unexpected(count: usize) {
            display("{} outcomes were not as expected", count)
        }
    }
}

impl Error {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) => ExitCode::from(USAGE),
            _ => ExitCode::from(FAILURE),
        }
    }
}
