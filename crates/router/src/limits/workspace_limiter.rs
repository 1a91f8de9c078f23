//! Rate limiter of one workspace at this entry.

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

/// Decision about a request. `Err` holds the delay after which the caller should retry.
pub(crate) type AdmissionResult = Result<(), Duration>;

/// Rate limiter of one workspace at this entry, with the requests that wait for tokens.
#[derive(Debug)]
pub(crate) struct WorkspaceLimiter {
    limit: RateLimit,
    limiter: Box<dyn RateLimiter + Send>,
    next_ticket: Ticket,
    waiting: BTreeMap<Ticket, oneshot::Sender<AdmissionResult>>,
}

/// State of a request right after it was submitted to the limiter.
#[derive(Debug)]
pub(crate) enum AdmissionState {
    /// The decision has been made.
    Decided(AdmissionResult),
    /// The decision is pending.
    Waiting {
        /// Receives the decision.
        decision: oneshot::Receiver<AdmissionResult>,
        /// Identifies the request in the limiter.
        ticket: Ticket,
    },
}

impl WorkspaceLimiter {
    /// Creates the limiter of one of `entries` entries.
    pub(crate) fn new(
        now: Duration,
        limit: RateLimit,
        bucket_seed: u64,
        kind: RateKind,
        entries: u32,
        timing: TokenTiming,
    ) -> Self {
        let limiter: Box<dyn RateLimiter + Send> = match kind {
            RateKind::EvenSplit => Box::new(EvenSplit::new(now, limit, entries.max(1))),
            RateKind::Leased => Box::new(TokenCache::new(limit, bucket_seed).with_timing(timing)),
        };
        Self {
            limit,
            limiter,
            next_ticket: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Submits a request, and updates the limit if it changed.
    pub(crate) fn submit(&mut self, now: Duration, limit: RateLimit) -> AdmissionState {
        if limit != self.limit {
            self.limit = limit;
            self.limiter.set_limit(now, limit);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        match self.limiter.admit(now, ticket) {
            Admission::Admitted => AdmissionState::Decided(Ok(())),
            Admission::Refused { retry_after } => AdmissionState::Decided(Err(retry_after)),
            Admission::Waiting => {
                let (tx, decision) = oneshot::channel();
                self.waiting.insert(ticket, tx);
                AdmissionState::Waiting { decision, ticket }
            }
        }
    }

    /// Records the answer to a token request, or its failure if there is no batch.
    pub(crate) fn complete_token_request(
        &mut self,
        now: Duration,
        request_id: u64,
        batch: Option<&policy::Batch>,
    ) {
        match batch {
            Some(batch) => self.limiter.receive_batch(now, request_id, batch),
            None => self.limiter.fail_request(now, request_id),
        }
    }

    /// Removes a waiting request.
    pub(crate) fn cancel(&mut self, ticket: Ticket) {
        if self.waiting.remove(&ticket).is_some() {
            self.limiter.cancel(ticket);
        }
    }

    /// Makes the decisions that are due, and returns the token requests to send to bucket owners.
    pub(crate) fn poll(&mut self, now: Duration) -> Vec<TokenRequest> {
        let mut token_requests = Vec::new();
        for step in self.limiter.poll(now) {
            match step {
                RateLimiterStep::Admit(ticket) => self.decide(ticket, Ok(())),
                RateLimiterStep::RequestTokens(request) => token_requests.push(request),
                RateLimiterStep::Refuse {
                    ticket,
                    retry_after,
                } => self.decide(ticket, Err(retry_after)),
            }
        }
        token_requests
    }

    /// Reports whether a bucket owner can be reached. Otherwise a refusal is not due to the rate of the workspace.
    pub(crate) fn has_reachable_owner(&self) -> bool {
        self.limiter.has_reachable_owner()
    }

    /// Reports whether requests wait for tokens.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Reports whether a poll is due at `now`.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        self.limiter.wake_at().is_some_and(|at| at <= now)
    }

    fn decide(&mut self, ticket: Ticket, result: AdmissionResult) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            let _ = tx.send(result);
        }
    }
}
