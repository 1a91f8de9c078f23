//! Simulated entry.

use std::time::Duration;

use policy::EvenSplit;
use policy::RateLimiter;
use policy::TokenCache;
use rand::rngs::SmallRng;

use super::clock::Clock;
use super::setup::Setup;

pub(crate) struct Entry {
    pub(crate) cache: Box<dyn RateLimiter>,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) paused_until: Duration,
    /// Time of the current poll. Polls scheduled for other times are ignored.
    pub(crate) poll_at: Duration,
}

impl Entry {
    pub(crate) fn new(rng: &mut SmallRng, setup: &Setup, incarnation: u64) -> Self {
        let clock = Clock::draw(rng);
        let entries = setup.entries as u32;
        let cache: Box<dyn RateLimiter> = if setup.even_split {
            Box::new(EvenSplit::new(
                clock.at(Duration::ZERO),
                setup.limit,
                entries,
            ))
        } else {
            Box::new(TokenCache::new(setup.limit, incarnation))
        };
        Self {
            cache,
            clock,
            incarnation,
            paused_until: Duration::ZERO,
            poll_at: Duration::ZERO,
        }
    }
}
