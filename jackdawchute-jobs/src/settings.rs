//! The bounds that the jobs task keeps.

use std::time::Duration;

use jackdawchute_admission::Limits;
use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// Workers with tasks report at least this many times within a lease.
const REPORTS_PER_LEASE: u32 = 6;
/// A start has at least this part of its lease left, as a divisor, after the age of the report.
const REPORT_AGE_DIVISOR: u32 = 2;

/// The bounds that the jobs task keeps; replaced as a whole.
///
/// ```
/// let settings = jackdawchute_jobs::Settings::default();
/// assert!(settings.report_period < settings.lease);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The number of home groups.
    pub partitions: u32,
    /// How long a start or renewal lets a task run, from the worker's last report on.
    #[serde(with = "duration_ms", rename = "lease_ms")]
    pub lease: Duration,
    /// The longest time between two reports of a worker that has tasks; short leases shorten it.
    #[serde(with = "duration_ms", rename = "report_period_ms")]
    pub report_period: Duration,
    /// The longest time between two reports of a worker without tasks.
    #[serde(with = "duration_ms", rename = "idle_report_period_ms")]
    pub idle_report_period: Duration,
    /// A worker whose last report is older gets no new tasks.
    #[serde(with = "duration_ms", rename = "report_age_max_ms")]
    pub report_age_max: Duration,
    /// The most that a worker's clock lags behind ours within one lease.
    #[serde(with = "duration_ms", rename = "clock_margin_ms")]
    pub clock_margin: Duration,
    /// The longest time after a takeover in which the former owner may still renew leases.
    #[serde(with = "duration_ms", rename = "holder_stop_max_ms")]
    pub holder_stop_max: Duration,
    /// How long a rack owner holds capacity for a gang.
    #[serde(with = "duration_ms", rename = "hold_ms")]
    pub hold: Duration,
    /// The time after which an unanswered call to another owner is repeated.
    #[serde(with = "duration_ms", rename = "resend_ms")]
    pub resend: Duration,
    /// The longest that a submission waits for the journal if its job names no deadline.
    #[serde(with = "duration_ms", rename = "accept_wait_max_ms")]
    pub accept_wait_max: Duration,
    /// The first delay of a retried task; it doubles with each failure.
    #[serde(with = "duration_ms", rename = "retry_delay_ms")]
    pub retry_delay: Duration,
    /// The longest delay of a retried task.
    #[serde(with = "duration_ms", rename = "retry_delay_max_ms")]
    pub retry_delay_max: Duration,
    /// The most failures of one task.
    pub failures_max: u32,
    /// Retries that each success of a class pays for, in per cent.
    pub retry_budget_percent: u32,
    /// The most retries that a class can save up.
    pub retry_budget_max: u32,
    /// How long admitted work waits for room before less urgent batch tasks are stopped.
    #[serde(with = "duration_ms", rename = "preempt_after_ms")]
    pub preempt_after: Duration,
    /// The most tasks that are stopped for more urgent ones.
    pub preemptions_per_minute_max: u32,
    /// How long a finished job can be asked for.
    #[serde(with = "duration_ms", rename = "retention_ms")]
    pub retention: Duration,
    /// The most finished jobs that are kept, per owner.
    pub retained_max: usize,
    /// How long a closed attempt is remembered against late duplicates.
    #[serde(with = "duration_ms", rename = "closed_retention_ms")]
    pub closed_retention: Duration,
    /// The most workers of an owner in quarantine, in per cent of its workers.
    pub quarantine_max_percent: u32,
    /// The failures of distinct jobs before a worker can be quarantined.
    pub quarantine_jobs_min: usize,
    /// How many times the fleet's failure rate a worker must have.
    pub quarantine_rate_factor: u32,
    /// The first time in quarantine; it doubles with each failed probe.
    #[serde(with = "duration_ms", rename = "quarantine_ms")]
    pub quarantine: Duration,
    /// Classes and quotas.
    pub limits: Limits,
}

impl Settings {
    /// The time between two reports of a worker: short leases need more of them.
    pub(crate) fn report_period_for(&self, busy: bool) -> Duration {
        let period = if busy {
            self.report_period
        } else {
            self.idle_report_period
        };
        period.min(self.lease / REPORTS_PER_LEASE)
    }

    /// The age of a report beyond which its worker gets no new tasks.
    pub(crate) fn report_age_limit(&self) -> Duration {
        self.report_age_max.min(self.lease / REPORT_AGE_DIVISOR)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            partitions: 16,
            lease: Duration::from_secs(15),
            report_period: Duration::from_secs(1),
            idle_report_period: Duration::from_secs(3),
            report_age_max: Duration::from_secs(8),
            clock_margin: Duration::from_secs(2),
            holder_stop_max: Duration::from_secs(15),
            hold: Duration::from_secs(5),
            resend: Duration::from_secs(1),
            accept_wait_max: Duration::from_secs(10),
            retry_delay: Duration::from_millis(200),
            retry_delay_max: Duration::from_secs(30),
            failures_max: 3,
            retry_budget_percent: 20,
            retry_budget_max: 100,
            preempt_after: Duration::from_millis(500),
            preemptions_per_minute_max: 60,
            retention: Duration::from_secs(600),
            retained_max: 10_000,
            closed_retention: Duration::from_secs(1_200),
            quarantine_max_percent: 20,
            quarantine_jobs_min: 3,
            quarantine_rate_factor: 3,
            quarantine: Duration::from_secs(30),
            limits: Limits::default(),
        }
    }
}
