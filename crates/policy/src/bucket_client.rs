//! State of one bucket at an entry.

use std::time::Duration;

use crate::Batch;
use crate::BatchReport;
use crate::RateLimit;
use crate::bucket::WAITING_EXPIRY;
use crate::held_batch::HeldBatch;

/// Time without a reply after which an entry requests tokens from another bucket.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// Shortest time between a reply with too few tokens and the next request.
const MIN_EMPTY_BACKOFF: Duration = Duration::from_millis(5);

/// Initial backoff after a request that got no reply.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest backoff after requests that got no reply.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// State of one bucket at an entry: the batches held, the pending request and the backoff.
#[derive(Clone, Debug, Default)]
pub(crate) struct BucketClient {
    batches: Vec<HeldBatch>,
    /// Estimated tokens in the bucket at its last reply, if there was one.
    last_level: Option<f64>,
    last_level_at: Duration,
    next_request_at: Duration,
    pending: Option<PendingRequest>,
    failures: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    id: u64,
    sent_at: Duration,
    tokens: u32,
    timed_out: bool,
}

impl BucketClient {
    /// Records that request `id` for `tokens` is sent, and returns the reports to send with it.
    pub(crate) fn start_request(
        &mut self,
        now: Duration,
        id: u64,
        tokens: u32,
    ) -> Vec<BatchReport> {
        self.batches.retain(|batch| !batch.has_expired(now));
        self.pending = Some(PendingRequest {
            id,
            sent_at: now,
            tokens,
            timed_out: false,
        });
        self.report(id)
    }

    /// Returns the reports to send with request `id`.
    pub(crate) fn report(&mut self, id: u64) -> Vec<BatchReport> {
        self.batches
            .iter_mut()
            .map(|batch| batch.report(id))
            .collect()
    }

    /// Reports whether a batch is used up and has not been reported as closed.
    pub(crate) fn needs_report(&self) -> bool {
        self.batches.iter().any(HeldBatch::needs_report)
    }

    /// Returns the estimated tokens in the bucket, whose part of the limit is `part`.
    pub(crate) fn estimated_level(&self, now: Duration, part: RateLimit) -> f64 {
        let burst = f64::from(part.burst_requests);
        let elapsed = now.saturating_sub(self.last_level_at).as_secs_f64();
        let refill = elapsed * f64::from(part.rate_requests_per_second);
        self.last_level
            .map_or(burst, |level| (level + refill).min(burst))
    }

    /// Returns the estimated tokens in the bucket after a reply.
    fn level_after(&self, now: Duration, part: RateLimit, batch: &Batch) -> f64 {
        if batch.next_refill_after > Duration::ZERO {
            let missing = batch.next_refill_after.as_secs_f64();
            return 1.0 - missing * f64::from(part.rate_requests_per_second);
        }
        (self.estimated_level(now, part) - f64::from(batch.tokens)).max(1.0)
    }

    /// Records a reply, and returns whether it belongs to the last request.
    pub(crate) fn receive_batch(
        &mut self,
        now: Duration,
        part: RateLimit,
        request_id: u64,
        batch: &Batch,
    ) -> bool {
        let Some(pending) = self.pending.filter(|pending| pending.id == request_id) else {
            return false;
        };
        self.pending = None;
        self.failures = 0;
        self.batches
            .retain(|batch| !batch.was_closed_by(request_id));
        if batch.tokens > 0 {
            self.batches.push(HeldBatch::new(pending.sent_at, batch));
        }
        self.last_level = Some(self.level_after(now, part, batch));
        self.last_level_at = now;
        self.next_request_at = now;
        if batch.tokens < pending.tokens {
            self.next_request_at += batch.next_refill_after.max(MIN_EMPTY_BACKOFF);
        }
        true
    }

    /// Records that a request gets no reply.
    pub(crate) fn fail_request(&mut self, now: Duration, request_id: u64) {
        if self.pending.is_some_and(|pending| pending.id == request_id) {
            self.pending = None;
            self.back_off(now);
        }
    }

    /// Backs off if the pending request has timed out. A late reply is still accepted.
    pub(crate) fn check_timeout(&mut self, now: Duration) {
        let Some(mut pending) = self.pending else {
            return;
        };
        if now >= pending.sent_at + REQUEST_TIMEOUT && !pending.timed_out {
            pending.timed_out = true;
            self.pending = Some(pending);
            self.back_off(now);
        }
    }

    /// Reports whether a request may be sent to the bucket.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        now >= self.next_request_at && self.pending.is_none_or(|pending| pending.timed_out)
    }

    /// Returns the time until a request may be sent, by the last reply or the backoff.
    pub(crate) fn time_to_next_request(&self, now: Duration) -> Duration {
        self.next_request_at.saturating_sub(now)
    }

    /// Reports whether the last request failed or timed out.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.failures > 0
    }

    /// Returns the number of tokens requested by the pending request.
    pub(crate) fn pending_tokens(&self) -> u32 {
        self.pending
            .filter(|pending| !pending.timed_out)
            .map_or(0, |pending| pending.tokens)
    }

    /// Returns the number of unused tokens.
    pub(crate) fn unused(&self, now: Duration) -> u32 {
        self.batches.iter().map(|batch| batch.unused(now)).sum()
    }

    /// Returns the expiry of the first batch with unused tokens.
    pub(crate) fn first_expiry(&self, now: Duration) -> Option<Duration> {
        self.batches
            .iter()
            .filter(|batch| batch.unused(now) > 0)
            .map(HeldBatch::expires_at)
            .min()
    }

    /// Uses a token of the batch that expires first, and returns whether there was one.
    pub(crate) fn use_token(&mut self, now: Duration) -> bool {
        self.batches
            .iter_mut()
            .filter(|batch| batch.unused(now) > 0)
            .min_by_key(|batch| batch.expires_at())
            .is_some_and(|batch| batch.use_token(now))
    }

    /// Returns when the pending request times out or, without one, when the next may be sent.
    pub(crate) fn wake_at(&self) -> Duration {
        match self.pending.filter(|pending| !pending.timed_out) {
            Some(pending) => pending.sent_at + REQUEST_TIMEOUT,
            None => self.next_request_at,
        }
    }

    fn back_off(&mut self, now: Duration) {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(4));
        self.failures = self.failures.saturating_add(1);
        self.next_request_at = now + backoff.min(MAX_BACKOFF);
    }
}

const _: () = assert!(REQUEST_TIMEOUT.as_nanos() < WAITING_EXPIRY.as_nanos());
