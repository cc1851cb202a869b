//! What became of a call.

use jackdawchute_trial::minion::Echo;
use jackdawchute_types::{Execution, RefusalReason};
use serde::{Deserialize, Serialize};

/// A refusal's problem body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// The reason.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub execution: Execution,
    /// What was refused, for people.
    #[serde(default)]
    pub detail: String,
}

/// What became of a call, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came, to this very request.
    Answered(Echo),
    /// An answer came that is not whole or not to this request.
    Wrong(String),
    /// The product refused it.
    Refused(Problem),
    /// The product could not be connected to.
    NotDelivered(String),
    /// The connection broke, or no answer came in time.
    Lost(String),
}

impl Outcome {
    /// Whether a whole answer of its own came.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }

    /// Whether the caller was told, or can tell, that it did not run.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Refused(problem) => problem.execution == Execution::NotRun,
            Self::NotDelivered(_) => true,
            Self::Answered(_) | Self::Wrong(_) | Self::Lost(_) => false,
        }
    }

    /// The reason of a refusal.
    pub fn refusal(&self) -> Option<RefusalReason> {
        match self {
            Self::Refused(problem) => Some(problem.reason),
            _ => None,
        }
    }

    /// A short name for counting.
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
