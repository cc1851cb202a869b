//! Errors of the operations on the configuration.

use jackdawchute_types::ConfigurationVersion;
use jackdawchute_yaml::Problems;
use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of an operation on the configuration.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A failed operation on the configuration.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The candidate is refused, for all these reasons; nothing changed.
        Refused(problems: Problems) {
            display("check configuration: {}", problems)
        }
        /// Another operator's version was accepted first; nothing changed.
        Superseded(version: ConfigurationVersion, author: SmolStr) {
            display("apply configuration: version {} by {} was accepted first", version, author)
        }
        /// Whether the change took effect could not be found out; look the write id up in the
        /// history, or apply again with the same write id.
        OutcomeUnknown(write_id: SmolStr, cause: jackdawchute_ports::Error) {
            display("apply configuration with write id {}: outcome unknown: {}", write_id, cause)
            source(cause)
        }
        /// The table did not answer; nothing changed.
        Table(step: &'static str, cause: jackdawchute_ports::Error) {
            display("{}: {}", step, cause)
            source(cause)
        }
        /// A row has content that this program cannot read.
        Row(step: &'static str, key: SmolStr, cause: String) {
            display("{}: row {}: {}", step, key, cause)
        }
        /// No version was accepted yet.
        NoneAccepted {
            display("read configuration: no version was accepted yet")
        }
        /// No version of that number is kept.
        NoVersion(version: ConfigurationVersion) {
            display("read configuration: version {} is not kept", version)
        }
    }
}
