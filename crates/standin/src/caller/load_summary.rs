//! Counts and latencies of a load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Observation;

/// Highest latency that the histogram distinguishes, in microseconds. Higher ones are recorded as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant digits of recorded latencies.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of requests, in which every attempt counts as a request of its own.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadSummary {
    /// Requests that were acknowledged.
    pub acknowledged: u64,
    /// Requests without a response.
    pub unanswered: u64,
    /// Requests that were sent.
    pub sent: u64,
    /// Refusals by outcome and reason, and other unsuccessful responses by status.
    pub refused: BTreeMap<String, u64>,
    /// Latency percentiles of acknowledged requests, in milliseconds from the time at which each was due.
    pub latency_ms: BTreeMap<String, f64>,
}

impl LoadSummary {
    pub(crate) fn from_observations<'a>(
        observations: impl Iterator<Item = &'a Observation>,
    ) -> Self {
        let mut latencies =
            Histogram::<u64>::new_with_max(MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)
                .expect("the highest value and the digits are valid for a histogram");
        let mut summary = Self {
            acknowledged: 0,
            unanswered: 0,
            sent: 0,
            refused: BTreeMap::new(),
            latency_ms: BTreeMap::new(),
        };
        for observation in observations {
            summary.count_observation(observation);
            if let (true, Some(answered_us)) =
                (observation.is_acknowledged(), observation.answered_us)
            {
                latencies.saturating_record(answered_us.saturating_sub(observation.due_us));
            }
        }
        summary.latency_ms = percentiles(&latencies);
        summary
    }

    fn count_observation(&mut self, observation: &Observation) {
        self.sent += 1;
        if observation.is_acknowledged() {
            self.acknowledged += 1;
            return;
        }
        let Some(status) = observation.status else {
            self.unanswered += 1;
            return;
        };
        let name = match (&observation.outcome, &observation.reason) {
            (Some(outcome), Some(reason)) => format!("{outcome}/{reason}"),
            _ => format!("status/{status}"),
        };
        *self.refused.entry(name).or_insert(0) += 1;
    }
}

fn percentiles(latencies: &Histogram<u64>) -> BTreeMap<String, f64> {
    let named = [
        ("p50", 50.0),
        ("p90", 90.0),
        ("p99", 99.0),
        ("p99.9", 99.9),
        ("max", 100.0),
    ];
    named
        .into_iter()
        .filter(|_| !latencies.is_empty())
        .map(|(name, percentile)| {
            let us = latencies.value_at_percentile(percentile);
            (name.to_owned(), us as f64 / 1_000.0)
        })
        .collect()
}
