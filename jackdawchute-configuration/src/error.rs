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
        /// The candidate has these problems; nothing changed.
        Refused(problems: Problems) {
            display("check configuration: {}", problems)
        }
        /// Another change was accepted first, and this is the version that is now accepted, with
        /// its author; nothing changed.
        Superseded(version: ConfigurationVersion, author: SmolStr) {
            display("apply configuration: version {} by {} was accepted first", version, author)
        }
        /// It is unknown whether the change took effect. To find out, look up the write id in the
        /// history, or apply the change again with the same write id.
        OutcomeUnknown(write_id: SmolStr, cause: jackdawchute_ports::Error) {
            display("apply configuration with write id {}: outcome unknown: {}", write_id, cause)
            source(cause)
        }
        /// The table did not answer; nothing changed.
        Table(step: &'static str, cause: jackdawchute_ports::Error) {
            display("{}: {}", step, cause)
            source(cause)
        }
        /// Content cannot be decoded or encoded: that of the row with this key or, where no row is
        /// involved, a document in the format that is named in place of the key.
        Row(step: &'static str, key: SmolStr, cause: String) {
            display("{}: row {}: {}", step, key, cause)
        }
        /// The table holds no accepted version yet.
        NoneAccepted {
            display("read configuration: no version was accepted yet")
        }
        /// The history has no version with this number: it was never accepted, or its row was
        /// deleted as too old.
        NoVersion(version: ConfigurationVersion) {
            display("read configuration: version {} is not kept", version)
        }
    }
}
