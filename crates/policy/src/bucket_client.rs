//! A bucket as an entry sees it.

use std::time::Duration;

use crate::Batch;
use crate::BatchReport;
use crate::RateLimit;
use crate::bucket::WAITING_EXPIRY;
use crate::held_batch::HeldBatch;

/// Time without an answer after which an entry asks another bucket.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Shortest time between an empty answer and the next ask.
const EMPTY_PAUSE: Duration = Duration::from_millis(5);

/// Shortest time for which a silent bucket is not asked.
const SHORTEST_BACKOFF: Duration = Duration::from_millis(100);

/// Longest time for which a silent bucket is not asked.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);

/// One bucket as an entry sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct BucketClient {
    batches: Vec<HeldBatch>,
    /// Tokens that the bucket may have had when it last answered, absent before.
    left: Option<f64>,
    left_at: Duration,
    not_before: Duration,
    pending: Option<PendingAsk>,
    silences: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    id: u64,
    sent_at: Duration,
    tokens: u32,
    timed_out: bool,
}

impl BucketClient {
    /// Takes in that ask `id` for `tokens` is sent, and returns the reports to send with it.
    pub(crate) fn ask(&mut self, now: Duration, id: u64, tokens: u32) -> Vec<BatchReport> {
        self.batches.retain(|batch| !batch.has_expired(now));
        self.pending = Some(PendingAsk {
            id,
            sent_at: now,
            tokens,
            timed_out: false,
        });
        self.report(id)
    }

    /// Returns the reports to send with ask `id`.
    pub(crate) fn report(&mut self, id: u64) -> Vec<BatchReport> {
        self.batches
            .iter_mut()
            .map(|batch| batch.report(id))
            .collect()
    }

    /// Returns whether a batch is used up and its owner does not know.
    pub(crate) fn needs_report(&self) -> bool {
        self.batches.iter().any(HeldBatch::needs_report)
    }

    /// Returns the tokens that the bucket may have, when its part of the limit is `part`.
    pub(crate) fn expected_level(&self, now: Duration, part: RateLimit) -> f64 {
        let burst = f64::from(part.burst_requests);
        let elapsed = now.saturating_sub(self.left_at).as_secs_f64();
        let refill = elapsed * f64::from(part.rate_requests_per_second);
        self.left.map_or(burst, |left| (left + refill).min(burst))
    }

    /// Returns the tokens that the bucket may have after an answer.
    fn level_after(&self, now: Duration, part: RateLimit, batch: &Batch) -> f64 {
        if batch.next_refill_after > Duration::ZERO {
            let missing = batch.next_refill_after.as_secs_f64();
            return 1.0 - missing * f64::from(part.rate_requests_per_second);
        }
        (self.expected_level(now, part) - f64::from(batch.tokens)).max(1.0)
    }

    /// Takes in an answer, and returns whether it belongs to the last ask.
    pub(crate) fn receive_batch(
        &mut self,
        now: Duration,
        part: RateLimit,
        ask: u64,
        batch: &Batch,
    ) -> bool {
        let Some(pending) = self.pending.filter(|pending| pending.id == ask) else {
            return false;
        };
        self.pending = None;
        self.silences = 0;
        self.batches.retain(|batch| !batch.was_closed_by(ask));
        if batch.tokens > 0 {
            self.batches.push(HeldBatch::new(pending.sent_at, batch));
        }
        self.left = Some(self.level_after(now, part, batch));
        self.left_at = now;
        self.not_before = now;
        if batch.tokens < pending.tokens {
            self.not_before += batch.next_refill_after.max(EMPTY_PAUSE);
        }
        true
    }

    /// Takes in that no answer can come to an ask.
    pub(crate) fn fail_request(&mut self, now: Duration, ask: u64) {
        if self.pending.is_some_and(|pending| pending.id == ask) {
            self.pending = None;
            self.back_off(now);
        }
    }

    /// Backs off from a bucket that has not answered in time; a later answer is still taken.
    pub(crate) fn expire(&mut self, now: Duration) {
        let Some(mut pending) = self.pending else {
            return;
        };
        if now >= pending.sent_at + ASK_TIMEOUT && !pending.timed_out {
            pending.timed_out = true;
            self.pending = Some(pending);
            self.back_off(now);
        }
    }

    /// Returns whether the bucket may be asked.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        now >= self.not_before && self.pending.is_none_or(|pending| pending.timed_out)
    }

    /// Returns for how long the bucket has no token, as it said when it was last asked.
    pub(crate) fn empty_for(&self, now: Duration) -> Duration {
        self.not_before.saturating_sub(now)
    }

    /// Returns whether the last ask got no answer in time.
    pub(crate) fn is_silent(&self) -> bool {
        self.silences > 0
    }

    /// Returns the tokens that an ask under way may bring.
    pub(crate) fn pending_tokens(&self) -> u32 {
        self.pending
            .filter(|pending| !pending.timed_out)
            .map_or(0, |pending| pending.tokens)
    }

    /// Returns the unused tokens.
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
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        self.batches
            .iter_mut()
            .filter(|batch| batch.unused(now) > 0)
            .min_by_key(|batch| batch.expires_at())
            .is_some_and(|batch| batch.take(now))
    }

    /// Returns when the bucket may be asked, or when an ask under way times out.
    pub(crate) fn wake_at(&self) -> Duration {
        match self.pending.filter(|pending| !pending.timed_out) {
            Some(pending) => pending.sent_at + ASK_TIMEOUT,
            None => self.not_before,
        }
    }

    fn back_off(&mut self, now: Duration) {
        let backoff = SHORTEST_BACKOFF * 2_u32.pow(self.silences.min(4));
        self.silences = self.silences.saturating_add(1);
        self.not_before = now + backoff.min(LONGEST_BACKOFF);
    }
}

const _: () = assert!(ASK_TIMEOUT.as_nanos() < WAITING_EXPIRY.as_nanos());
