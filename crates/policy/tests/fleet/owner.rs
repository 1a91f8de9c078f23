//! Simulated owner of a bucket.

use std::time::Duration;

use policy::Bucket;
use policy::RateLimit;
use rand::rngs::SmallRng;

use super::clock::Clock;

pub(crate) struct Owner {
    pub(crate) bucket: Option<Bucket>,
    pub(crate) clock: Clock,
    pub(crate) paused_until: Duration,
}

impl Owner {
    pub(crate) fn new(rng: &mut SmallRng, now: Duration, fence: u64, part: RateLimit) -> Self {
        let clock = Clock::draw(rng);
        Self {
            bucket: Some(Bucket::new(clock.at(now), fence, part)),
            clock,
            paused_until: now,
        }
    }
}
