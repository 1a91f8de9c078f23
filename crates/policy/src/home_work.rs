//! What a home states of its work.

use std::time::Duration;

/// What a home states of the work of its upstream in a reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HomeWork {
    /// Cost that the home expects of requests like the one that it replies to, `None` if it has not learned it.
    pub cost: Option<Duration>,
    /// Work that the upstream still has to do, as time on an upstream of speed 1.
    pub remaining: Duration,
    /// Speed of the upstream at present.
    pub speed: f64,
}
