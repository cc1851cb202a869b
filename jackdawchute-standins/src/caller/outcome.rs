//! The outcome of a call.

use jackdawchute_trial::minion::Echo;
use jackdawchute_types::{Execution, RefusalReason};
use serde::{Deserialize, Serialize};

/// The body of a refusal, a problem document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// The typed reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub execution: Execution,
    /// A description for people.
    #[serde(default)]
    pub detail: String,
}

/// The outcome of a call, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer arrived that belongs to this request.
    Answered(Echo),
    /// An answer arrived that is incomplete, belongs to another request or has an unexpected form.
    Wrong(String),
    /// The instance refused the request.
    Refused(Problem),
    /// No connection to the instance could be opened.
    NotDelivered(String),
    /// The connection broke, or no answer arrived in time.
    Lost(String),
}

impl Outcome {
    /// Returns whether a complete answer arrived that belongs to the request.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }

    /// Returns whether the request is known not to have run: it was refused as such, or not sent.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Refused(problem) => problem.execution == Execution::NotRun,
            Self::NotDelivered(_) => true,
            Self::Answered(_) | Self::Wrong(_) | Self::Lost(_) => false,
        }
    }

    /// Returns the reason of a refusal; `None` for other outcomes.
    pub fn refusal(&self) -> Option<RefusalReason> {
        match self {
            Self::Refused(problem) => Some(problem.reason),
            _ => None,
        }
    }

    /// Returns a short name under which outcomes are counted.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Wrong(_) => "wrong",
            Self::Refused(problem) => problem.reason.as_str(),
            Self::NotDelivered(_) => "not-delivered",
            Self::Lost(_) => "lost",
        }
    }
}
