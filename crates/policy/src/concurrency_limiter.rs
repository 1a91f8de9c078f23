//! Limit of the requests that an upstream runs at once.

use std::fmt::Debug;
use std::time::Duration;

use crate::Completion;
use crate::Ticket;

/// Limit of the requests that a home lets its upstream run at once.
pub trait ConcurrencyLimiter: Debug {
    /// Starts a request if the limit allows it, and returns its ticket.
    fn acquire(&mut self, now: Duration) -> Option<Ticket>;

    /// Returns the number of running requests.
    fn in_flight(&self) -> u32;

    /// Returns the number of requests that may run at once.
    fn limit(&self, now: Duration) -> u32;

    /// Ends a request, and adapts the limit to how it completed.
    fn release(&mut self, now: Duration, ticket: Ticket, completion: Completion);

    /// Resets the limiter after the upstream has restarted with `slots` and no running requests.
    fn restart(&mut self, now: Duration, slots: u32);

    /// Checks for overdue requests. Call it at least ten times a second while requests run.
    fn tick(&mut self, now: Duration);
}
