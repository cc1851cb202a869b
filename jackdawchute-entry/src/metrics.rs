//! The metrics of an instance, in the OpenMetrics text format.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jackdawchute_ownership::LeaseState;
use jackdawchute_types::{ClassId, Recorder, RefusalReason, RetryReason};
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

/// The upper bound of the first bucket of waiting times.
const WAITING_BUCKET_FIRST_SECONDS: f64 = 0.001;
/// The ratio of the upper bounds of two adjacent buckets.
const WAITING_BUCKET_FACTOR: f64 = 2.0;
/// The number of buckets of waiting times; the last upper bound is 65 s.
const WAITING_BUCKETS: u16 = 17;

/// The class under which refusals of calls without a known class are counted.
pub(crate) const NO_CLASS: &str = "none";

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabels {
    class: String,
    reason: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ClassLabels {
    class: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

/// The metrics of one instance; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Registry>,
    refusals: Family<ReasonLabels, Counter>,
    retries: Family<ReasonLabels, Counter>,
    waiting: Family<ClassLabels, Histogram, fn() -> Histogram>,
    answers: Family<ClassLabels, Counter>,
    table_calls: Family<CallLabels, Counter>,
    requests_in_flight: Gauge,
    lease_state: Gauge,
    configuration_version: Gauge,
}

fn waiting_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        WAITING_BUCKET_FIRST_SECONDS,
        WAITING_BUCKET_FACTOR,
        WAITING_BUCKETS,
    ))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Arc::default(),
            refusals: Family::default(),
            retries: Family::default(),
            waiting: Family::new_with_constructor(waiting_histogram),
            answers: Family::default(),
            table_calls: Family::default(),
            requests_in_flight: Gauge::default(),
            lease_state: Gauge::default(),
            configuration_version: Gauge::default(),
        };
        metrics.registry = Arc::new(metrics.register());
        metrics
    }
}

impl Metrics {
    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("jackdawchute");
        registry.register("refusals", "Refused work by reason", self.refusals.clone());
        registry.register(
            "retries",
            "Repeated attempts by reason",
            self.retries.clone(),
        );
        let help = "Time from arrival to placement";
        registry.register_with_unit("waiting", help, Unit::Seconds, self.waiting.clone());
        registry.register(
            "answers",
            "Requests answered by a minion",
            self.answers.clone(),
        );
        let help = "Calls to the platform's table service by outcome";
        registry.register("table_calls", help, self.table_calls.clone());
        let help = "Requests that were sent to a minion and are not done";
        registry.register("requests_in_flight", help, self.requests_in_flight.clone());
        let help = "0 confirmed, 1 store down, 2 cut off, 3 fenced";
        registry.register("standing", help, self.lease_state.clone());
        let help = "The configuration version in force here";
        registry.register(
            "configuration_version",
            help,
            self.configuration_version.clone(),
        );
        registry
    }

    /// Returns all metrics in the OpenMetrics text format.
    ///
    /// ```
    /// let metrics = jackdawchute_entry::Metrics::default();
    /// assert!(metrics.text().ends_with("# EOF\n"));
    /// ```
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail; an error would mean a bug in an encoder.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts a response of a minion to a request of `class`.
    pub fn answered(&self, class: &ClassId) {
        self.answers
            .get_or_create(&ClassLabels {
                class: class.to_string(),
            })
            .inc();
    }

    /// Counts a call to the table service by its outcome.
    pub(crate) fn table_call(&self, call: &'static str, outcome: &'static str) {
        self.table_calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// Returns the gauge of requests that were sent to a minion and are not done.
    pub(crate) fn in_flight(&self) -> &Gauge {
        &self.requests_in_flight
    }

    /// Sets the gauge of the lease state; its help text lists the numbers.
    pub(crate) fn set_lease_state(&self, lease_state: LeaseState) {
        let value = match lease_state {
            LeaseState::Confirmed => 0,
            LeaseState::StoreDown => 1,
            LeaseState::CutOff => 2,
            LeaseState::Fenced => 3,
        };
        self.lease_state.set(value);
    }

    /// Sets the gauge of the configuration version that this instance applies.
    pub(crate) fn set_configuration_version(&self, version: u64) {
        self.configuration_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Returns the number of refusals of a class by reason, for the status page. Reasons that never
    /// occurred are left out.
    ///
    /// ```
    /// use jackdawchute_types::{Recorder, RefusalReason};
    ///
    /// let metrics = jackdawchute_entry::Metrics::default();
    /// metrics.refused(&"counter".into(), RefusalReason::QueueFull);
    /// let counts = metrics.refusals(&"counter".into());
    /// assert_eq!(counts.get(&RefusalReason::QueueFull), Some(&1));
    /// ```
    pub fn refusals(&self, class: &ClassId) -> BTreeMap<RefusalReason, u64> {
        let count = |reason: RefusalReason| {
            let labels = ReasonLabels {
                class: class.to_string(),
                reason: reason.to_string(),
            };
            let counter = self.refusals.get(&labels)?;
            Some((reason, counter.get()))
        };
        RefusalReason::ALL.into_iter().filter_map(count).collect()
    }
}

/// Returns the value of the label `reason` for retries.
fn retry_label(reason: RetryReason) -> &'static str {
    match reason {
        RetryReason::ConnectFailed => "connect-failed",
        RetryReason::AnswerLost => "answer-lost",
        RetryReason::OwnerChanged => "owner-changed",
        RetryReason::StoreUnavailable => "store-unavailable",
        RetryReason::NoCapacity => "no-capacity",
        RetryReason::TaskFailed => "task-failed",
        RetryReason::LeaseLapsed => "lease-lapsed",
    }
}

impl Recorder for Metrics {
    fn refused(&self, class: &ClassId, reason: RefusalReason) {
        let labels = ReasonLabels {
            class: class.to_string(),
            reason: reason.to_string(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    fn retried(&self, class: &ClassId, reason: RetryReason) {
        let reason = retry_label(reason).to_owned();
        self.retries
            .get_or_create(&ReasonLabels {
                class: class.to_string(),
                reason,
            })
            .inc();
    }

    fn placed(&self, class: &ClassId, waited: Duration) {
        let labels = ClassLabels {
            class: class.to_string(),
        };
        self.waiting
            .get_or_create(&labels)
            .observe(waited.as_secs_f64());
    }
}
