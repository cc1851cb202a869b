//! The instance's metrics, in the OpenMetrics text format.

use std::{sync::Arc, time::Duration};

use jackdawchute_scheduler::{RenewOutcome, TenantLoad};
use prometheus_client::{
    encoding::{text::encode, EncodeLabelSet},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{exponential_buckets, Histogram},
    },
    registry::{Registry, Unit},
};
use spdlog::error;

use crate::{authority::AuthorityState, tenant_metrics::TenantMetrics};

/// The upper bound of the first latency bucket.
const LATENCY_BUCKET_FIRST_SECONDS: f64 = 0.001;
/// The ratio of each latency bucket's upper bound to the one before.
const LATENCY_BUCKET_FACTOR: f64 = 2.0;
/// The number of latency buckets; the last bound is 8 s.
const LATENCY_BUCKETS: u16 = 14;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct LatencyLabels {
    call: &'static str,
}

/// The instance's metrics; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Registry>,
    calls: Family<CallLabels, Counter>,
    latency: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    rows: Counter,
    ends_listed: Counter,
    ends_new: Counter,
    runs_unknown: Counter,
    worker_restarts: Counter,
    tickets_received: Counter,
    tickets_used: Counter,
    jobs: Gauge,
    epoch: Gauge,
    authority: Gauge,
    configuration_version: Gauge,
    tenants: TenantMetrics,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        LATENCY_BUCKET_FIRST_SECONDS,
        LATENCY_BUCKET_FACTOR,
        LATENCY_BUCKETS,
    ))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Arc::default(),
            calls: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            rows: Counter::default(),
            ends_listed: Counter::default(),
            ends_new: Counter::default(),
            runs_unknown: Counter::default(),
            worker_restarts: Counter::default(),
            tickets_received: Counter::default(),
            tickets_used: Counter::default(),
            jobs: Gauge::default(),
            epoch: Gauge::default(),
            authority: Gauge::default(),
            configuration_version: Gauge::default(),
            tenants: TenantMetrics::default(),
        };
        let mut registry = Registry::with_prefix("jackdawchute_cell");
        registry.register("calls", "Calls by outcome", metrics.calls.clone());
        let help = "Time that a call takes";
        registry.register_with_unit("latency", help, Unit::Seconds, metrics.latency.clone());
        registry.register("committed_rows", "Rows written", metrics.rows.clone());
        let help = "Run ends listed by workers, known ones included";
        registry.register("ends_listed", help, metrics.ends_listed.clone());
        let help = "Run ends listed for the first time";
        registry.register("ends_new", help, metrics.ends_new.clone());
        let help = "Running tasks that a worker listed and the leader did not know";
        registry.register("runs_unknown", help, metrics.runs_unknown.clone());
        let help = "Workers that answered in a later incarnation than the known one";
        registry.register("worker_restarts", help, metrics.worker_restarts.clone());
        let help = "Tickets in answers of advisors";
        registry.register("tickets_received", help, metrics.tickets_received.clone());
        let help = "Tickets with which at least one task was ordered to start";
        registry.register("tickets_used", help, metrics.tickets_used.clone());
        registry.register("jobs", "Jobs that have not ended", metrics.jobs.clone());
        registry.register("epoch", "The epoch held here, or 0", metrics.epoch.clone());
        let help = "The authority held here: 2 confirmed, 1 promised, 0 none";
        registry.register("authority", help, metrics.authority.clone());
        let help = "The configuration version in force here";
        let version = metrics.configuration_version.clone();
        registry.register("configuration_version", help, version);
        metrics.tenants.register(&mut registry);
        metrics.registry = Arc::new(registry);
        metrics
    }
}

impl Metrics {
    /// Returns all metrics as OpenMetrics text.
    ///
    /// ```
    /// assert!(jackdawchute_cell::Metrics::default().text().ends_with("# EOF\n"));
    /// ```
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(cause) = encode(&mut text, &self.registry) {
            error!("metrics cannot be encoded", kv: { cause: = cause });
        }
        text
    }

    /// Records an ended call with its outcome and the time it took.
    pub fn call(&self, call: &'static str, outcome: &'static str, took: Duration) {
        self.calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
        self.latency
            .get_or_create(&LatencyLabels { call })
            .observe(took.as_secs_f64());
    }

    /// Records a call that no tenant's key authorizes, by what its caller was told.
    pub(crate) fn call_denied(&self, outcome: &'static str) {
        let labels = CallLabels {
            call: "authorize",
            outcome,
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// Records a commit attempt that the store answered, with the number of rows in it.
    pub(crate) fn committed(&self, took: Duration, rows: usize) {
        self.call("commit", "answered", took);
        self.rows.inc_by(rows as u64);
    }

    /// Records what a worker listed in its answer to a renewal.
    pub(crate) fn runs_listed(&self, outcome: &RenewOutcome) {
        self.ends_listed.inc_by(outcome.listed as u64);
        self.ends_new.inc_by(outcome.new as u64);
        self.runs_unknown.inc_by(outcome.unknown_runs as u64);
        self.worker_restarts.inc_by(u64::from(outcome.restarted));
    }

    /// Records the tickets that advisors gave, and those that were used.
    pub(crate) fn tickets(&self, received: usize, used: usize) {
        self.tickets_received.inc_by(received as u64);
        self.tickets_used.inc_by(used as u64);
    }

    /// Records a commit attempt that failed or was not answered.
    pub(crate) fn commit_failed(&self) {
        self.call("commit", "failed", Duration::ZERO);
    }

    /// Records a commit that the store rejected for good; a change in it is given up.
    pub(crate) fn commit_rejected(&self) {
        self.call("commit", "rejected", Duration::ZERO);
    }

    /// Sets the epoch that this instance holds; 0 for none.
    pub(crate) fn set_epoch(&self, epoch: u64) {
        self.epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
        if epoch == 0 {
            self.tenants.clear();
        }
    }

    /// Sets what the authority of the local leader rests on.
    pub(crate) fn set_authority(&self, state: AuthorityState) {
        self.authority.set(match state {
            AuthorityState::Confirmed => 2,
            AuthorityState::Promised => 1,
            AuthorityState::Ended => 0,
        });
    }

    /// Sets the load of each tenant.
    pub(crate) fn set_tenants(&self, loads: &[TenantLoad]) {
        self.tenants.set(loads);
    }

    /// Sets the number of jobs that have not ended.
    pub(crate) fn set_jobs(&self, jobs: usize) {
        self.jobs.set(i64::try_from(jobs).unwrap_or(i64::MAX));
    }

    /// Sets the version of the configuration in use.
    pub(crate) fn set_configuration_version(&self, version: u64) {
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        self.configuration_version.set(version);
    }
}
