//! Enforcement of a workspace's rate at an entry.

use std::fmt::Debug;
use std::time::Duration;

use crate::Admission;
use crate::Batch;
use crate::RateLimit;
use crate::RateLimiterStep;

/// Identity of a request at the process that decides about it.
pub type Ticket = u64;

/// Enforcement of one workspace's rate at one entry.
///
/// `now` is the time since the start of the process, and never decreases.
pub trait RateLimiter: Debug {
    /// Decides about a request. `ticket` must not belong to another waiting request.
    fn admit(&mut self, now: Duration, ticket: Ticket) -> Admission;

    /// Takes in the answer to an ask.
    fn receive_batch(&mut self, now: Duration, ask: u64, batch: &Batch);

    /// Forgets a waiting request, whose caller has gone.
    fn cancel(&mut self, ticket: Ticket);

    /// Returns whether tokens can be had at all; a refusal is otherwise not the workspace's doing.
    fn has_reachable_owner(&self) -> bool {
        true
    }

    /// Takes in that an ask did not reach the owner, or that no answer can come.
    fn fail_request(&mut self, now: Duration, ask: u64);

    /// Returns what is to be done now; call it after each other method and when [`RateLimiter::wake_at`] says.
    fn poll(&mut self, now: Duration) -> Vec<RateLimiterStep>;

    /// Replaces the limit of the workspace.
    fn set_limit(&mut self, now: Duration, limit: RateLimit);

    /// Returns when to call [`RateLimiter::poll`] next if nothing else happens.
    fn wake_at(&self) -> Option<Duration>;
}
