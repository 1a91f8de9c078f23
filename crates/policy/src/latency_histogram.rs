//! Histogram of times on an upstream.

use std::time::Duration;

/// Number of buckets of a [`LatencyHistogram`].
pub const LATENCY_BUCKETS: usize = 24;

/// Counts of answers by their time on the upstream.
///
/// The first bucket ends at the square root of 2 ms, and each is a factor of the square root of 2. The last one, from 2.9 s
/// on, has no upper end.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LatencyHistogram {
    counts: [u64; LATENCY_BUCKETS],
}

impl LatencyHistogram {
    /// Creates a histogram with the given counts, as a report carries them.
    pub fn from_counts(counts: [u64; LATENCY_BUCKETS]) -> Self {
        Self { counts }
    }

    /// Returns the count of each bucket, the fastest first.
    pub fn counts(&self) -> &[u64; LATENCY_BUCKETS] {
        &self.counts
    }

    /// Returns the number of recorded answers.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Records an answer after `time` on the upstream.
    pub fn record(&mut self, time: Duration) {
        let index = position(time.as_secs_f64() * 1_000.0) as usize;
        self.counts[index.min(LATENCY_BUCKETS - 1)] += 1;
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        for (count, added) in self.counts.iter_mut().zip(&other.counts) {
            *count += added;
        }
    }

    /// Returns the time in milliseconds that the given fraction of answers doesn't exceed, interpolated within its bucket, or
    /// `None` without answers.
    pub fn quantile_ms(&self, fraction: f64) -> Option<f64> {
        let wanted = self.total() as f64 * fraction;
        let mut below = 0.0;
        for (index, &count) in self.counts.iter().enumerate() {
            let count = count as f64;
            if count > 0.0 && below + count >= wanted {
                let within = (wanted - below) / count;
                return Some(2_f64.powf((index as f64 + within) / 2.0));
            }
            below += count;
        }
        None
    }

    /// Returns how many answers took longer than `limit_ms` milliseconds.
    ///
    /// The count is a fraction, since the bucket in which the limit lies is interpolated.
    pub fn count_above(&self, limit_ms: f64) -> f64 {
        let limit = position(limit_ms);
        let part = |(index, count): (usize, &u64)| {
            let above = (index as f64 + 1.0 - limit).clamp(0.0, 1.0);
            *count as f64 * above
        };
        self.counts.iter().enumerate().map(part).sum()
    }

    /// Returns the counts since `earlier`, or `None` if a count is smaller than it was then.
    pub(crate) fn since(&self, earlier: &Self) -> Option<Self> {
        let mut counts = self.counts;
        for (count, earlier) in counts.iter_mut().zip(&earlier.counts) {
            *count = count.checked_sub(*earlier)?;
        }
        Some(Self { counts })
    }
}

/// Returns the place of a time on the scale of buckets, from 0 on.
fn position(ms: f64) -> f64 {
    (ms.max(1.0).log2() * 2.0).min(LATENCY_BUCKETS as f64 - 1e-9)
}
