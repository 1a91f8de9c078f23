//! Rate limiter that holds prefetched tokens.

use std::collections::VecDeque;
use std::time::Duration;

use ids::BUCKETS_PER_WORKSPACE;

use crate::Admission;
use crate::Batch;
use crate::RateLimit;
use crate::RateLimiter;
use crate::RateLimiterStep;
use crate::Ticket;
use crate::TokenRequest;
use crate::TokenTiming;
use crate::WantedTokens;
use crate::bucket_client::BucketClient;
use crate::request_rate::RequestRate;

/// Longest time for which a request waits for a token.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Shortest time after which a caller should retry a request that was refused because no bucket owner replied.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An entry prefetches at most one in this many tokens of a bucket's burst.
const PREFETCH_BURST_DIVISOR: u32 = 4;

/// Largest burst of a bucket whose used tokens are reported at once.
const SMALL_BURST: u32 = 5;

/// Cache at an entry of one workspace's tokens, which come from its [`BUCKETS_PER_WORKSPACE`] buckets.
#[derive(Clone, Debug)]
pub struct TokenCache {
    buckets: Vec<BucketClient>,
    /// Time of the last reply of a bucket owner.
    replied_at: Option<Duration>,
    /// Whether a request was refused after a wait in which no bucket owner replied, and none has replied since.
    is_unanswered: bool,
    request_rate: RequestRate,
    limit: RateLimit,
    next_request_id: u64,
    next_bucket: u32,
    timing: TokenTiming,
    refused: Vec<Waiter>,
    waiting: VecDeque<Waiter>,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    waiting_since: Duration,
    ticket: Ticket,
}

impl TokenCache {
    /// Creates a cache without tokens.
    ///
    /// `seed` should differ between entries, so that they start with different buckets.
    pub fn new(limit: RateLimit, seed: u64) -> Self {
        let next_bucket = u32::try_from(seed % u64::from(BUCKETS_PER_WORKSPACE))
            .expect("the remainder is below the number of buckets");
        Self {
            buckets: (0..BUCKETS_PER_WORKSPACE)
                .map(|_| BucketClient::default())
                .collect(),
            replied_at: None,
            is_unanswered: false,
            request_rate: RequestRate::default(),
            limit,
            next_request_id: 0,
            next_bucket,
            timing: TokenTiming::default(),
            refused: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Sets the timing of a cache without tokens.
    pub fn with_timing(mut self, timing: TokenTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Returns the number of unused tokens.
    pub fn unused(&self, now: Duration) -> u32 {
        self.buckets.iter().map(|bucket| bucket.unused(now)).sum()
    }

    fn use_token(&mut self, now: Duration) -> bool {
        let first = self
            .buckets
            .iter_mut()
            .filter_map(|bucket| Some((bucket.first_expiry(now)?, bucket)))
            .min_by_key(|(expiry, _)| *expiry);
        first.is_some_and(|(_, bucket)| bucket.use_token(now))
    }

    /// Returns how long a new request would wait if this entry got the whole rate.
    fn expected_wait(&self) -> Duration {
        let rate = self.limit.rate_requests_per_second.max(1);
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        Duration::from_secs(1) / rate * waiting
    }

    /// Returns the time after which a refused request should be retried: not before the waiting requests are served, and
    /// not before a bucket has announced a token.
    fn retry_after(&self, now: Duration) -> Duration {
        let rate = self.limit.rate_requests_per_second.max(1);
        let expected = self.expected_wait() + Duration::from_secs(1) / rate;
        let parts = self.limit.part_count() as usize;
        let buckets = self.buckets[..parts].iter();
        let refilled = buckets.map(|bucket| bucket.time_to_next_request(now)).min();
        let unanswered = self.is_unanswered.then_some(UNANSWERED_RETRY_DELAY);
        expected
            .max(self.timing.min_retry_after)
            .max(unanswered.unwrap_or_default())
            .max(refilled.unwrap_or_default())
    }

    fn prefetch_target(&self, now: Duration) -> u32 {
        let expected =
            self.request_rate.requests_per_second(now) * self.timing.prefetch_time.as_secs_f64();
        let part = self.limit.part(0).burst_requests / PREFETCH_BURST_DIVISOR;
        // The cast saturates and drops the fraction, so that nothing is prefetched at low request rates.
        (expected as u32).min(part)
    }

    fn admit_waiting(&mut self, now: Duration, steps: &mut Vec<RateLimiterStep>) {
        while !self.waiting.is_empty() && self.use_token(now) {
            if let Some(waiter) = self.waiting.pop_front() {
                steps.push(RateLimiterStep::Admit(waiter.ticket));
            }
        }
    }

    /// Returns how long a request waits for a token before it is refused.
    fn max_wait(&self) -> Duration {
        let rate = self.limit.rate_requests_per_second.max(1);
        let wait = Duration::from_secs(1) / rate * self.timing.wait_tokens;
        wait.clamp(self.timing.min_wait, MAX_WAIT)
    }

    fn refuse_timed_out(&mut self, now: Duration, steps: &mut Vec<RateLimiterStep>) {
        let max_wait = self.max_wait();
        while let Some(waiter) = self.waiting.front() {
            if now < waiter.waiting_since + max_wait {
                break;
            }
            self.is_unanswered |= self.replied_at < Some(waiter.waiting_since);
            self.refused.extend(self.waiting.pop_front());
        }
        let retry_after = self.retry_after(now);
        let refused = std::mem::take(&mut self.refused);
        steps.extend(refused.into_iter().map(|waiter| RateLimiterStep::Refuse {
            ticket: waiter.ticket,
            retry_after,
        }));
    }

    fn request_tokens(&mut self, now: Duration, steps: &mut Vec<RateLimiterStep>) {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let prefetch = self.prefetch_target(now);
        let mut pending: u32 = self.buckets.iter().map(BucketClient::pending_tokens).sum();
        let mut needs_prefetch = self.unused(now) + pending < waiting + prefetch.div_ceil(2);
        for _ in 0..BUCKETS_PER_WORKSPACE {
            let uncovered = waiting.saturating_sub(pending);
            if uncovered == 0 && !needs_prefetch {
                return;
            }
            let Some(index) = self.next_ready(now) else {
                return;
            };
            let wanted = WantedTokens {
                prefetch: if needs_prefetch { prefetch } else { 0 },
                waiting: uncovered,
            };
            pending += wanted.prefetch + wanted.waiting;
            needs_prefetch = false;
            steps.push(RateLimiterStep::RequestTokens(
                self.request_from_bucket(now, index, wanted),
            ));
        }
    }

    /// Returns the ready bucket with the highest estimated fill ratio, and among equals the next in rotation.
    fn next_ready(&mut self, now: Duration) -> Option<u32> {
        let parts = self.limit.part_count();
        let level = |index: &u32| {
            let part = self.limit.part(*index);
            let level = self.buckets[*index as usize].estimated_level(now, part);
            level / f64::from(part.burst_requests)
        };
        let index = (1..=parts)
            .map(|step| (self.next_bucket + parts - step) % parts)
            .filter(|index| self.buckets[*index as usize].is_ready(now))
            .max_by(|a, b| level(a).total_cmp(&level(b)))?;
        self.next_bucket = (index + 1) % parts;
        Some(index)
    }

    /// Reports used tokens of buckets with a small burst at once, because every token matters there.
    fn report_used_tokens(&mut self, steps: &mut Vec<RateLimiterStep>) {
        for index in 0..self.limit.part_count() {
            let is_small = self.limit.part(index).burst_requests <= SMALL_BURST;
            let bucket = &mut self.buckets[index as usize];
            if is_small && bucket.needs_report() {
                let id = self.next_request_id;
                self.next_request_id += 1;
                let reports = bucket.report(id);
                steps.push(RateLimiterStep::RequestTokens(TokenRequest {
                    bucket: index,
                    id,
                    reports,
                    wanted: WantedTokens::default(),
                }));
            }
        }
    }

    fn request_from_bucket(
        &mut self,
        now: Duration,
        index: u32,
        wanted: WantedTokens,
    ) -> TokenRequest {
        let id = self.next_request_id;
        self.next_request_id += 1;
        let tokens = wanted.prefetch + wanted.waiting;
        TokenRequest {
            bucket: index,
            id,
            reports: self.buckets[index as usize].start_request(now, id, tokens),
            wanted,
        }
    }
}

impl RateLimiter for TokenCache {
    fn admit(&mut self, now: Duration, ticket: Ticket) -> Admission {
        self.request_rate.record_request(now);
        if self.waiting.is_empty() && self.use_token(now) {
            return Admission::Admitted;
        }
        if self.limit.part_count() == 0 || self.expected_wait() >= self.max_wait() {
            return Admission::Refused {
                retry_after: self.retry_after(now),
            };
        }
        self.waiting.push_back(Waiter {
            waiting_since: now,
            ticket,
        });
        Admission::Waiting
    }

    fn receive_batch(&mut self, now: Duration, request_id: u64, batch: &Batch) {
        for (index, bucket) in (0..).zip(&mut self.buckets) {
            let part = self.limit.part(index);
            if bucket.receive_batch(now, part, request_id, batch) {
                self.replied_at = Some(now);
                self.is_unanswered = false;
                return;
            }
        }
    }

    fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiter| waiter.ticket != ticket);
    }

    fn fail_request(&mut self, now: Duration, request_id: u64) {
        for bucket in &mut self.buckets {
            bucket.fail_request(now, request_id);
        }
    }

    fn has_reachable_owner(&self) -> bool {
        let parts = self.limit.part_count() as usize;
        let mut buckets = self.buckets[..parts].iter();
        let is_any_responsive = buckets.any(|bucket| !bucket.is_unresponsive());
        parts == 0 || (is_any_responsive && !self.is_unanswered)
    }

    fn poll(&mut self, now: Duration) -> Vec<RateLimiterStep> {
        let mut steps = Vec::new();
        for bucket in &mut self.buckets {
            bucket.check_timeout(now);
        }
        self.admit_waiting(now, &mut steps);
        self.refuse_timed_out(now, &mut steps);
        self.request_tokens(now, &mut steps);
        self.report_used_tokens(&mut steps);
        steps
    }

    fn set_limit(&mut self, _now: Duration, limit: RateLimit) {
        self.limit = limit;
        if limit.part_count() == 0 {
            self.refused.extend(self.waiting.drain(..));
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let oldest = self.waiting.front()?;
        let parts = self.limit.part_count() as usize;
        let requests = self.buckets[..parts]
            .iter()
            .map(BucketClient::wake_at)
            .min();
        Some((oldest.waiting_since + self.max_wait()).min(requests?))
    }
}
