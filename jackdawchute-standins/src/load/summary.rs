//! Statistics of a load by class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use smol_str::SmolStr;

use super::Finished;

/// The precision of recorded latencies, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The statistics of one class; latencies are those of answered requests, from the intended time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The name of the class.
    pub class: SmolStr,
    /// The number of requests sent.
    pub sent: usize,
    /// The number of requests by outcome.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// The median latency in microseconds.
    pub p50_us: u64,
    /// The 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// The longest latency in microseconds.
    pub max_us: u64,
}

/// Summarizes completed requests by class, in the order of class names.
///
/// ```
/// assert!(jackdawchute_standins::load::summarize(&[]).is_empty());
/// ```
pub fn summarize(finished: &[Finished]) -> Vec<Summary> {
    let mut classes: BTreeMap<&SmolStr, Vec<&Finished>> = BTreeMap::new();
    for request in finished {
        classes.entry(&request.class).or_default().push(request);
    }
    classes
        .into_iter()
        .map(|(class, requests)| summary(class, &requests))
        .collect()
}

fn summary(class: &SmolStr, requests: &[&Finished]) -> Summary {
    let mut outcomes = BTreeMap::new();
    for request in requests {
        *outcomes.entry(request.outcome.name()).or_insert(0) += 1;
    }
    let latencies = latencies(requests);
    let quantile = |quantile| {
        let latencies = latencies.as_ref();
        latencies.map_or(0, |latencies| latencies.value_at_quantile(quantile))
    };
    Summary {
        class: class.clone(),
        sent: requests.len(),
        outcomes,
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        max_us: quantile(1.0),
    }
}

fn latencies(requests: &[&Finished]) -> Option<Histogram<u64>> {
    let mut histogram = Histogram::new(SIGNIFICANT_DIGITS).ok()?;
    let answered = requests.iter().filter(|it| it.outcome.is_answered());
    for request in answered {
        let latency_us = u64::try_from(request.latency.as_micros()).unwrap_or(u64::MAX);
        // The histogram resizes itself; a latency beyond the range of `u64` is left out.
        let _ = histogram.record(latency_us);
    }
    (!histogram.is_empty()).then_some(histogram)
}
