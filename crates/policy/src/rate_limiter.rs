//! Rate limiter of a workspace at an entry.

use std::fmt::Debug;
use std::time::Duration;

use crate::Admission;
use crate::Batch;
use crate::RateLimit;
use crate::RateLimiterStep;

/// Process-local identity of a request.
pub type Ticket = u64;

/// Enforces the rate limit of one workspace at one entry.
///
/// `now` is the time since the start of the process, and never decreases.
pub trait RateLimiter: Debug {
    /// Decides about a request. `ticket` must not belong to another waiting request.
    fn admit(&mut self, now: Duration, ticket: Ticket) -> Admission;

    /// Records the reply to a token request.
    fn receive_batch(&mut self, now: Duration, request_id: u64, batch: &Batch);

    /// Removes a waiting request whose caller has disconnected.
    fn cancel(&mut self, ticket: Ticket);

    /// Reports whether the owner of any bucket responds. If not, a refusal does not mean that the workspace has
    /// exceeded its rate.
    fn has_reachable_owner(&self) -> bool {
        true
    }

    /// Records that a token request did not reach the owner, or that no reply can arrive.
    fn fail_request(&mut self, now: Duration, request_id: u64);

    /// Returns the actions that are due. Call it after each other method and at [`RateLimiter::wake_at`].
    fn poll(&mut self, now: Duration) -> Vec<RateLimiterStep>;

    /// Replaces the limit of the workspace.
    fn set_limit(&mut self, now: Duration, limit: RateLimit);

    /// Returns when to call [`RateLimiter::poll`] next if nothing else happens.
    fn wake_at(&self) -> Option<Duration>;
}
