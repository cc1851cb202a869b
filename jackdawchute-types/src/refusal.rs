//! Refusals of requests and jobs, and the reasons for refusals and retries.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::duration_ms;

/// Whether refused work may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// The work did not run and this attempt never will.
    NotRun,
    /// The work may have run; a repetition with the same idempotency key returns its outcome.
    Unknown,
}

/// The reason for which a request or job was refused; each has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The queue of the class, or the team's part of it, is full.
    QueueFull,
    /// The quota of the team or the rate of the class is used up.
    QuotaExceeded,
    /// The deadline can no longer be met.
    DeadlineUnreachable,
    /// The deadline passed while the work was queued.
    DeadlineExpired,
    /// The service has no live minion.
    NoMinion,
    /// The job's tasks fit no worker of the fleet.
    NeverFits,
    /// The platform's table service is not available, and this work needs a journaled intent.
    StoreUnavailable,
    /// The group's owner could not be reached.
    OwnerUnavailable,
    /// The instance is shutting down.
    Draining,
    /// The instance has not confirmed its configuration in time.
    ConfigurationUnconfirmed,
    /// The connection to the minion failed before any byte was sent.
    ConnectFailed,
    /// The response was lost after the request had been sent.
    AnswerLost,
    /// The earlier request with this idempotency key is still running.
    KeyInProgress,
    /// The idempotency key was used before with a different request.
    KeyMismatch,
    /// The answer for this idempotency key is past its retention or was too large to keep.
    AnswerNotRetained,
    /// The retry budget is used up.
    RetryBudgetExhausted,
    /// The caller cancelled the work.
    Cancelled,
    /// The request is malformed.
    Invalid,
    /// There is no route or job of that name.
    NotFound,
    /// The request exceeds a size bound.
    TooLarge,
}

impl RefusalReason {
    /// Every reason, so that each counter can start at zero.
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

    /// Returns the name used in metrics and problem bodies.
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

/// The reason for which an attempt was repeated; each has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryReason {
    /// The minion refused the connection.
    ConnectFailed,
    /// The minion closed the connection during an idempotent request.
    AnswerLost,
    /// The group's owner changed during the call.
    OwnerChanged,
    /// The table service did not respond.
    StoreUnavailable,
    /// No worker had enough free capacity for the task.
    NoCapacity,
    /// The task failed on its worker.
    TaskFailed,
    /// The task's lease lapsed.
    LeaseLapsed,
}

/// A refusal, with its reason and whether the work may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason, which is counted in the metrics.
    pub reason: RefusalReason,
    /// Whether the work may have run.
    pub execution: Execution,
    /// The time after which a retry may succeed.
    #[serde(with = "duration_ms", rename = "retry_after_ms")]
    pub retry_after: Duration,
    /// A description of what was refused, for people.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of work that did not run, with a retry after 1 s.
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

    /// Creates a refusal of work that may have run, with a retry after 1 s.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            execution: Execution::Unknown,
            ..Self::not_run(reason, detail)
        }
    }
}
