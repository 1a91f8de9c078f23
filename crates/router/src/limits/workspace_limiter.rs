//! The rate of one workspace at this entry.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::Admission;
use policy::EvenSplit;
use policy::RateLimit;
use policy::RateLimiter;
use policy::RateLimiterStep;
use policy::Ticket;
use policy::TokenCache;
use policy::TokenRequest;
use policy::TokenTiming;
use tokio::sync::oneshot;

use crate::settings::RateKind;

/// Decision about a request that waited for a token.
pub(crate) type Decided = Result<(), Duration>;

/// The rate of one workspace at this entry, with the requests that wait for it.
#[derive(Debug)]
pub(crate) struct WorkspaceLimiter {
    limit: RateLimit,
    limiter: Box<dyn RateLimiter + Send>,
    next: Ticket,
    waiting: BTreeMap<Ticket, oneshot::Sender<Decided>>,
}

/// How a request starts under the rate of its workspace.
#[derive(Debug)]
pub(crate) enum Start {
    /// The decision is made.
    Decided(Decided),
    /// The decision follows.
    Waiting {
        /// Receives the decision.
        decided: oneshot::Receiver<Decided>,
        /// Identity of the request.
        ticket: Ticket,
    },
}

impl WorkspaceLimiter {
    /// Creates the limiter of one of `entries` entries.
    pub(crate) fn new(
        now: Duration,
        limit: RateLimit,
        spread: u64,
        kind: RateKind,
        entries: u32,
        timing: TokenTiming,
    ) -> Self {
        let limiter: Box<dyn RateLimiter + Send> = match kind {
            RateKind::EvenSplit => Box::new(EvenSplit::new(now, limit, entries.max(1))),
            RateKind::Leased => Box::new(TokenCache::new(limit, spread).with_timing(timing)),
        };
        Self {
            limit,
            limiter,
            next: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Starts a request.
    pub(crate) fn start(&mut self, now: Duration, limit: RateLimit) -> Start {
        if limit != self.limit {
            self.limit = limit;
            self.limiter.set_limit(now, limit);
        }
        let ticket = self.next;
        self.next += 1;
        match self.limiter.admit(now, ticket) {
            Admission::Admitted => Start::Decided(Ok(())),
            Admission::Refused { retry_after } => Start::Decided(Err(retry_after)),
            Admission::Waiting => {
                let (tx, decided) = oneshot::channel();
                self.waiting.insert(ticket, tx);
                Start::Waiting { decided, ticket }
            }
        }
    }

    /// Takes in the answer to an ask, or its failure.
    pub(crate) fn answered(&mut self, now: Duration, ask: u64, batch: Option<&policy::Batch>) {
        match batch {
            Some(batch) => self.limiter.receive_batch(now, ask, batch),
            None => self.limiter.fail_request(now, ask),
        }
    }

    /// Forgets a waiting request.
    pub(crate) fn cancel(&mut self, ticket: Ticket) {
        if self.waiting.remove(&ticket).is_some() {
            self.limiter.cancel(ticket);
        }
    }

    /// Decides what can be decided, and returns what is to be asked of bucket owners.
    pub(crate) fn poll(&mut self, now: Duration) -> Vec<TokenRequest> {
        let mut asks = Vec::new();
        for step in self.limiter.poll(now) {
            match step {
                RateLimiterStep::Admit(ticket) => self.decide(ticket, Ok(())),
                RateLimiterStep::RequestTokens(ask) => asks.push(ask),
                RateLimiterStep::Refuse {
                    ticket,
                    retry_after,
                } => self.decide(ticket, Err(retry_after)),
            }
        }
        asks
    }

    /// Tells whether tokens can be had at all. A refusal is otherwise not the workspace's doing.
    pub(crate) fn has_reachable_owner(&self) -> bool {
        self.limiter.has_reachable_owner()
    }

    /// Tells whether requests wait for tokens.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Tells whether there is something to decide at `now`.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        self.limiter.wake_at().is_some_and(|at| at <= now)
    }

    fn decide(&mut self, ticket: Ticket, decided: Decided) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            let _ = tx.send(decided);
        }
    }
}
