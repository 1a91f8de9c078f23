//! Number of requests that an upstream runs at once.

use std::fmt::Debug;
use std::time::Duration;

use crate::Completion;
use crate::Ticket;

/// Number of requests that a home lets its upstream run at once.
pub trait ConcurrencyLimiter: Debug {
    /// Starts a request if the limit allows it, and returns its identity.
    fn acquire(&mut self, now: Duration) -> Option<Ticket>;

    /// Returns the number of requests that run.
    fn in_flight(&self) -> u32;

    /// Returns how many requests may run at once now.
    fn limit(&self, now: Duration) -> u32;

    /// Ends a request.
    fn release(&mut self, now: Duration, ticket: Ticket, completion: Completion);

    /// Takes in that the upstream has started anew with `slots`, and that nothing runs on it.
    fn restart(&mut self, now: Duration, slots: u32);

    /// Takes in the passing of time; call it at least ten times a second while requests run.
    fn tick(&mut self, now: Duration);
}
