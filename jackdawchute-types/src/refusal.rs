//! Why a request or job was refused or retried.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::duration_ms;

/// Whether a refused request had any effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// It did not run and never will under this attempt.
    NotRun,
    /// It may have run; ask again with the same idempotency key.
    Unknown,
}

/// Why a request or job was refused; each has a counter of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The class's queue is at its bound.
    QueueFull,
    /// The team's quota is used up.
    QuotaExceeded,
    /// The deadline cannot be met any more.
    DeadlineUnreachable,
    /// The deadline passed while the work was queued.
    DeadlineExpired,
    /// No live minion serves the service.
    NoMinion,
    /// The job's tasks fit no worker of the fleet.
    NeverFits,
    /// The platform's table service is down, and this work needs a journaled intent.
    StoreUnavailable,
    /// The group's owner could not be reached.
    OwnerUnavailable,
    /// The instance is shutting down.
    Draining,
    /// The instance cannot confirm its configuration.
    ConfigurationUnconfirmed,
    /// The connection to the minion failed before any byte was sent.
    ConnectFailed,
    /// The answer was lost after the request had been sent.
    AnswerLost,
    /// The earlier request with this key is still running.
    KeyInProgress,
    /// The key was used before with another request.
    KeyMismatch,
    /// The answer to this key is older than the retention or too large to keep.
    AnswerNotRetained,
    /// The retry budget is used up.
    RetryBudgetExhausted,
    /// The caller cancelled the work.
    Cancelled,
    /// The request is malformed.
    Invalid,
    /// No route or job of that name.
    NotFound,
    /// The request exceeds a size bound.
    TooLarge,
}

impl RefusalReason {
    /// Every reason, for counters that start at zero.
    pub const ALL: [Self; 20] = [
        Self::QueueFull,
        Self::QuotaExceeded,
        Self::DeadlineUnreachable,
        Self::DeadlineExpired,
        Self::NoMinion,
        Self::NeverFits,
        Self::StoreUnavailable,
        Self::OwnerUnavailable,
        Self::Draining,
        Self::ConfigurationUnconfirmed,
        Self::ConnectFailed,
        Self::AnswerLost,
        Self::KeyInProgress,
        Self::KeyMismatch,
        Self::AnswerNotRetained,
        Self::RetryBudgetExhausted,
        Self::Cancelled,
        Self::Invalid,
        Self::NotFound,
        Self::TooLarge,
    ];

    /// The name used in metrics and problem bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::QuotaExceeded => "quota-exceeded",
            Self::DeadlineUnreachable => "deadline-unreachable",
            Self::DeadlineExpired => "deadline-expired",
            Self::NoMinion => "no-minion",
            Self::NeverFits => "never-fits",
            Self::StoreUnavailable => "store-unavailable",
            Self::OwnerUnavailable => "owner-unavailable",
            Self::Draining => "draining",
            Self::ConfigurationUnconfirmed => "configuration-unconfirmed",
            Self::ConnectFailed => "connect-failed",
            Self::AnswerLost => "answer-lost",
            Self::KeyInProgress => "key-in-progress",
            Self::KeyMismatch => "key-mismatch",
            Self::AnswerNotRetained => "answer-not-retained",
            Self::RetryBudgetExhausted => "retry-budget-exhausted",
            Self::Cancelled => "cancelled",
            Self::Invalid => "invalid",
            Self::NotFound => "not-found",
            Self::TooLarge => "too-large",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why an attempt was repeated; each has a counter of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryReason {
    /// The minion refused the connection.
    ConnectFailed,
    /// The minion closed the connection during an idempotent request.
    AnswerLost,
    /// The group's owner changed during the call.
    OwnerChanged,
    /// The table service did not answer.
    StoreUnavailable,
    /// No worker had room for the task.
    NoCapacity,
    /// The task failed on its worker.
    TaskFailed,
    /// The task's lease lapsed.
    LeaseLapsed,
}

/// A typed refusal, with what the caller may rely on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason, counted in the metrics.
    pub reason: RefusalReason,
    /// Whether the work may have run.
    pub execution: Execution,
    /// When a retry may succeed.
    #[serde(with = "duration_ms", rename = "retry_after_ms")]
    pub retry_after: Duration,
    /// What exactly was refused, for people.
    pub detail: String,
}

impl Refusal {
    /// A refusal of work that did not run.
    ///
    /// ```
    /// use jackdawchute_types::{Execution, Refusal, RefusalReason};
    ///
    /// let refusal = Refusal::not_run(RefusalReason::QueueFull, "class counter");
    /// assert_eq!(refusal.execution, Execution::NotRun);
    /// ```
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
            retry_after: Duration::from_secs(1),
            detail: detail.into(),
        }
    }

    /// A refusal of work whose outcome is unknown.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            execution: Execution::Unknown,
            ..Self::not_run(reason, detail)
        }
    }
}
