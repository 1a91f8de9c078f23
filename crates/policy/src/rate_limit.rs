//! Rate limit of a workspace.

use ids::BUCKETS_PER_WORKSPACE;
use serde::Deserialize;
use serde::Serialize;

/// Smallest burst of a part when a limit is divided into several.
const MIN_PART_BURST: u32 = 4;

/// Rate and burst, of a workspace or of one of its buckets.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateLimit {
    /// Largest number of requests in a burst.
    pub burst_requests: u32,
    /// Requests per second.
    pub rate_requests_per_second: u32,
}

impl RateLimit {
    /// Returns how many of the [`BUCKETS_PER_WORKSPACE`] buckets get a part of the limit.
    ///
    /// Each part has a burst of at least 1 and a rate of at least 1 per second.
    pub fn part_count(&self) -> u32 {
        let min_parts = u32::from(self.burst_requests > 0);
        let by_burst = (self.burst_requests / MIN_PART_BURST).max(min_parts);
        BUCKETS_PER_WORKSPACE
            .min(by_burst)
            .min(self.rate_requests_per_second)
    }

    /// Returns the part of bucket `index`; the parts of all buckets add up to the limit.
    ///
    /// A limit whose rate or burst is 0 admits nothing, and all its parts are empty.
    pub fn part(&self, index: u32) -> Self {
        let parts = self.part_count();
        if index >= parts {
            return Self::default();
        }
        Self {
            burst_requests: divide(self.burst_requests, parts, index),
            rate_requests_per_second: divide(self.rate_requests_per_second, parts, index),
        }
    }
}

fn divide(total: u32, parts: u32, index: u32) -> u32 {
    total / parts + u32::from(index < total % parts)
}
