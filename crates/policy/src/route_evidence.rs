//! Evidence about one route at one home.

use std::time::Duration;

use crate::LatencyHistogram;

/// Cumulative counts of the answers on one route at one home.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteEvidence {
    /// Number of answers, including failures.
    pub answers: u64,
    /// Number of failures: answers with a status of 500 and above, and requests that ended without an answer.
    pub failures: u64,
    /// Times on the upstream of the answers that are not failures.
    pub latencies: LatencyHistogram,
}

impl RouteEvidence {
    /// Records an answer that is not a failure, after `time` on the upstream.
    pub fn record_answer(&mut self, time: Duration) {
        self.answers += 1;
        self.latencies.record(time);
    }

    /// Records a failure.
    pub fn record_failure(&mut self) {
        self.answers += 1;
        self.failures += 1;
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.latencies.add(&other.latencies);
    }

    /// Returns the counts since `earlier`. A count that became smaller means that the home counts from zero again, and all
    /// counts are new.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let difference = || {
            Some(Self {
                answers: self.answers.checked_sub(earlier.answers)?,
                failures: self.failures.checked_sub(earlier.failures)?,
                latencies: self.latencies.since(&earlier.latencies)?,
            })
        };
        difference().unwrap_or_else(|| self.clone())
    }
}
