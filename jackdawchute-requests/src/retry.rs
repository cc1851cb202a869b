//! Retries: the instance that holds the caller's connection decides here on each further attempt.

use std::{collections::HashMap, time::Duration};

use jackdawchute_types::{ClassId, Recorder, Refusal, RefusalReason, RetryReason};

/// The cost of one retry, in hundredths of a token.
const RETRY_COST: u32 = 100;

/// The limits of retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// The retries allowed in the long run, in per cent of the class's successful requests.
    pub budget_percent: u32,
    /// The most retries that the budget of a class can accumulate.
    pub budget_max: u32,
    /// The most attempts of one request, the first one included.
    pub attempts_max: u32,
    /// The backoff between two attempts.
    pub backoff: Backoff,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget_percent: 10,
            budget_max: 20,
            attempts_max: 3,
            backoff: Backoff::default(),
        }
    }
}

/// An exponential backoff with full jitter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The longest delay before the second attempt; doubled at each further one.
    pub base: Duration,
    /// The longest delay before any attempt.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(20),
            max: Duration::from_secs(1),
        }
    }
}

impl Backoff {
    /// Returns the delay after `attempts` attempts; `random` picks it evenly between zero and the
    /// longest.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_requests::Backoff;
    ///
    /// let backoff = Backoff {
    ///     base: Duration::from_millis(100),
    ///     max: Duration::from_millis(300),
    /// };
    /// assert_eq!(backoff.delay(1, u32::MAX), Duration::from_millis(100));
    /// assert_eq!(backoff.delay(2, u32::MAX), Duration::from_millis(200));
    /// assert_eq!(backoff.delay(9, u32::MAX), Duration::from_millis(300));
    /// assert_eq!(backoff.delay(9, 0), Duration::ZERO);
    /// ```
    pub fn delay(&self, attempts: u32, random: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(u32::BITS - 1);
        let longest = self.base.saturating_mul(1 << doublings).min(self.max);
        longest.mul_f64(f64::from(random) / f64::from(u32::MAX))
    }
}

/// A failed attempt at a request, for the decision whether to retry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The admission class of the request.
    pub class: ClassId,
    /// Whether the request may be sent more than once.
    pub idempotent: bool,
    /// Whether any byte of any attempt may have reached a minion.
    pub sent: bool,
    /// The number of attempts so far.
    pub attempts: u32,
    /// Why the last attempt failed.
    pub reason: RetryReason,
    /// How long the caller still waits.
    pub remaining: Duration,
}

/// Limits retries to a share of the successful requests of each class.
///
/// Each class has a token bucket: a success adds a fraction of a token and a retry takes a whole
/// one, so that retries do not amplify an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// The tokens of each class, in hundredths.
    tokens: HashMap<ClassId, u32>,
}

impl RetryBudget {
    /// Creates a budget that is full for every class.
    ///
    /// ```
    /// use jackdawchute_requests::{RetryBudget, RetrySettings};
    ///
    /// let mut budget = RetryBudget::new(RetrySettings::default());
    /// budget.succeeded(&"counter".into());
    /// ```
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            tokens: HashMap::new(),
        }
    }

    fn max(&self) -> u32 {
        self.settings.budget_max.saturating_mul(RETRY_COST)
    }

    /// Records a successful request of the class.
    pub fn succeeded(&mut self, class: &ClassId) {
        let max = self.max();
        let tokens = self.tokens.entry(class.clone()).or_insert(max);
        *tokens = tokens.saturating_add(self.settings.budget_percent).min(max);
    }

    /// Decides on the next attempt and returns the delay before it.
    ///
    /// # Errors
    /// A refusal if there is no further attempt. It says whether the request may have run, which is
    /// ruled out if no byte was sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_requests::{FailedAttempt, RetryBudget, RetrySettings};
    /// use jackdawchute_types::{Execution, NoRecorder, RetryReason};
    ///
    /// let mut budget = RetryBudget::new(RetrySettings::default());
    /// let lost = FailedAttempt {
    ///     class: "counter".into(),
    ///     idempotent: false,
    ///     sent: true,
    ///     attempts: 1,
    ///     reason: RetryReason::AnswerLost,
    ///     remaining: Duration::from_secs(5),
    /// };
    /// let refusal = budget.retry(&lost, 0, &NoRecorder).unwrap_err();
    /// assert_eq!(refusal.execution, Execution::Unknown);
    /// ```
    pub fn retry(
        &mut self,
        attempt: &FailedAttempt,
        random: u32,
        recorder: &dyn Recorder,
    ) -> std::result::Result<Duration, Refusal> {
        let decision = self.decide(attempt, random);
        match &decision {
            Ok(_) => recorder.retried(&attempt.class, attempt.reason),
            Err(refusal) => recorder.refused(&attempt.class, refusal.reason),
        }
        decision
    }

    fn decide(
        &mut self,
        attempt: &FailedAttempt,
        random: u32,
    ) -> std::result::Result<Duration, Refusal> {
        if attempt.sent && !attempt.idempotent {
            return Err(refusal(attempt, RefusalReason::AnswerLost, "may have run"));
        }
        if attempt.attempts >= self.settings.attempts_max {
            let reason = final_reason(attempt);
            return Err(refusal(attempt, reason, "every attempt failed"));
        }
        let delay = self.settings.backoff.delay(attempt.attempts, random);
        if delay >= attempt.remaining {
            let reason = RefusalReason::DeadlineExpired;
            return Err(refusal(attempt, reason, "no time is left for a retry"));
        }
        let max = self.max();
        let tokens = self.tokens.entry(attempt.class.clone()).or_insert(max);
        if *tokens < RETRY_COST {
            let reason = RefusalReason::RetryBudgetExhausted;
            return Err(refusal(attempt, reason, "the class failed too often"));
        }
        *tokens -= RETRY_COST;
        Ok(delay)
    }
}

fn final_reason(attempt: &FailedAttempt) -> RefusalReason {
    match attempt.reason {
        RetryReason::ConnectFailed => RefusalReason::ConnectFailed,
        RetryReason::OwnerChanged => RefusalReason::OwnerUnavailable,
        RetryReason::StoreUnavailable => RefusalReason::StoreUnavailable,
        _ => RefusalReason::AnswerLost,
    }
}

fn refusal(attempt: &FailedAttempt, reason: RefusalReason, detail: &str) -> Refusal {
    if attempt.sent {
        Refusal::unknown(reason, detail)
    } else {
        Refusal::not_run(reason, detail)
    }
}
