//! The settings of the jobs task.

use std::time::Duration;

use jackdawchute_admission::Limits;
use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// The least number of reports that each worker is asked for within one lease.
const REPORTS_PER_LEASE: u32 = 6;
/// The lease divided by this is the greatest age of a report that a start may be based on: leases
/// count from that report, so the start still has the rest of its lease.
const REPORT_AGE_DIVISOR: u32 = 2;

/// The settings of the jobs task, which are replaced as a whole.
///
/// ```
/// let settings = jackdawchute_jobs::Settings::default();
/// assert!(settings.report_period < settings.lease);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The number of home groups that the jobs are divided among.
    pub partitions: u32,
    /// How long a start or renewal lets a task run, counted from the worker's last report.
    #[serde(with = "duration_ms", rename = "lease_ms")]
    pub lease: Duration,
    /// The longest time between two reports of a worker that has tasks; shorter with a short lease.
    #[serde(with = "duration_ms", rename = "report_period_ms")]
    pub report_period: Duration,
    /// The longest time between two reports of a worker without tasks; shorter with a short lease.
    #[serde(with = "duration_ms", rename = "idle_report_period_ms")]
    pub idle_report_period: Duration,
    /// The age of the last report beyond which a worker gets no new tasks.
    #[serde(with = "duration_ms", rename = "report_age_max_ms")]
    pub report_age_max: Duration,
    /// The most that a worker's clock falls behind this instance's within one lease.
    #[serde(with = "duration_ms", rename = "clock_margin_ms")]
    pub clock_margin: Duration,
    /// The longest time after a takeover in which a fenced predecessor may still renew leases.
    #[serde(with = "duration_ms", rename = "holder_stop_max_ms")]
    pub holder_stop_max: Duration,
    /// The time after which a rack owner's hold for a gang lapses.
    #[serde(with = "duration_ms", rename = "hold_ms")]
    pub hold: Duration,
    /// The time after which an unanswered call to another owner is repeated.
    #[serde(with = "duration_ms", rename = "resend_ms")]
    pub resend: Duration,
    /// The longest that a submission waits for the journal if neither its job nor the class of the
    /// job has a deadline.
    #[serde(with = "duration_ms", rename = "accept_wait_max_ms")]
    pub accept_wait_max: Duration,
    /// The longest delay before the first retry of a task; it doubles with each failure. Jitter
    /// shortens each delay to between half and all of it.
    #[serde(with = "duration_ms", rename = "retry_delay_ms")]
    pub retry_delay: Duration,
    /// The upper limit of the doubled retry delay.
    #[serde(with = "duration_ms", rename = "retry_delay_max_ms")]
    pub retry_delay_max: Duration,
    /// The number of failed attempts after which a task fails for good.
    pub failures_max: u32,
    /// The part of a retry that each successful task adds to the budget of its class, in per cent.
    pub retry_budget_percent: u32,
    /// The most retries in the budget of a class, which starts full.
    pub retry_budget_max: u32,
    /// The time after a job's acceptance from which on less urgent batch tasks are stopped for its
    /// admitted tasks that find no worker.
    #[serde(with = "duration_ms", rename = "preempt_after_ms")]
    pub preempt_after: Duration,
    /// The most tasks that a home owner stops for more urgent ones within a minute.
    pub preemptions_per_minute_max: u32,
    /// How long a finished job is kept for status queries.
    #[serde(with = "duration_ms", rename = "retention_ms")]
    pub retention: Duration,
    /// The most finished jobs that one instance keeps.
    pub retained_max: usize,
    /// How long a closed attempt is remembered, so that a start delivered late is refused.
    #[serde(with = "duration_ms", rename = "closed_retention_ms")]
    pub closed_retention: Duration,
    /// The most workers in quarantine, in per cent of the workers of the owned racks.
    pub quarantine_max_percent: u32,
    /// The number of distinct jobs that must have failed on a worker before its quarantine.
    pub quarantine_jobs_min: usize,
    /// The factor by which a worker's failure rate must exceed that of the other workers before its
    /// quarantine.
    pub quarantine_rate_factor: u32,
    /// The length of a worker's first quarantine; it doubles with each failed probe.
    #[serde(with = "duration_ms", rename = "quarantine_ms")]
    pub quarantine: Duration,
    /// The classes of jobs and the quotas of teams.
    pub limits: Limits,
}

impl Settings {
    /// Returns the time between two reports of a worker, which a short lease shortens.
    pub(crate) fn report_period_for(&self, busy: bool) -> Duration {
        let period = if busy {
            self.report_period
        } else {
            self.idle_report_period
        };
        period.min(self.lease / REPORTS_PER_LEASE)
    }

    /// Returns the age of a report beyond which its worker gets no new tasks.
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
