//! Token bucket at its owner.

use std::time::Duration;

use ids::Fence;
use ids::VmId;

use crate::Batch;
use crate::BatchId;
use crate::BatchReport;
use crate::BucketState;
use crate::RateLimit;
use crate::TokenTiming;
use crate::WantedTokens;
use crate::outstanding_batches::OutstandingBatches;
use crate::token_timing::HOLD_MARGIN_DIVISOR;

/// Time for which a batch that includes prefetched tokens may be used.
pub const PREFETCH_EXPIRY: Duration = Duration::from_millis(500);

/// Time for which a batch with tokens for waiting requests only may be used.
pub const WAITING_EXPIRY: Duration = Duration::from_millis(300);

/// Largest relative drift of any process's clock, in thousandths.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u32 = 5;

/// Number of nanotokens (billionths of a token) in one token.
pub(crate) const NANOTOKENS_PER_TOKEN: u64 = 1_000_000_000;

/// State at its owner of one of the token buckets that a workspace's rate limit is divided into.
///
/// Let `r` be the rate and `b` the burst of the bucket's part of the limit, `L(t)` the number of tokens
/// in the bucket, and `O(t)` the number of tokens in the batches that the owner counts as outstanding,
/// without those reported as used.
///
/// **Bound.** In every window of length `w` at most `r * w + b` requests are admitted with tokens of
/// the bucket, over all entries, whichever entries and owners crash, pause or are partitioned. The
/// bound of the workspace is the sum over its buckets, because their parts add up to its limit.
///
/// **Assumptions.** Clocks keep running while a process is paused. Each advances between `1 - d` and
/// `1 + d` seconds per second of real time, with `d` = [`MAX_CLOCK_DRIFT_PER_MILLE`] / 1000. An owner
/// grants only within its lease. A request counts as admitted at the clock reading that the decision
/// is based on.
///
/// **Proof.** (1) *Tokens that an entry may use are outstanding at the owner.* An entry may use a
/// batch until `x` after it sent the token request, on its own clock, which is at most
/// `x / (1 - d) < 1.0051 * x` of real time. The owner grants after the request was sent, and counts the
/// batch as outstanding for `1.02 * x` on its own clock, which is at least
/// `1.02 * x / (1 + d) > 1.0149 * x` of real time. Until that time has passed, the owner counts a token
/// as used only after the entry has reported it, so after the token has admitted a request. It counts
/// a token as back in the bucket only after the entry has given it up.
/// (2) *`L + O <= b` at all times.* A grant moves tokens from `L` to `O`. A report or an expiry lowers
/// `O`. A report that closes a batch moves the tokens that the entry gives up from `O` to `L`. Refill
/// raises `L`, and stops at `b - O`.
/// (3) *Refill.* Within `w` of real time, the owner's clock advances by at most `w * (1 + d)`. Refill
/// runs at `r * (1 - d)` per second of that clock, so it adds less than `r * w` to `L`.
/// (4) *Bound under one owner.* A request admitted in a window `[s, e]` uses a token that was
/// outstanding at `s`, in the bucket at `s`, or refilled within the window. No token is used twice, and
/// one that is given up returns to the bucket unused. So at most `O(s) + L(s) + r * (e - s)` requests
/// are admitted, and by (2) at most `b + r * (e - s)`.
/// (5) *Loss of the owner, whose lease ends at `T`.* The new owner starts with `L = 0` and `O = 0`, and
/// neither refills nor grants until every batch of the old owner has expired. Before that, all tokens
/// are the old owner's, whose refill ended at `T`. In a window that begins before `T`, the old owner's
/// tokens are at most `b + r * (T - s)`, and the new owner adds at most `r * (e - T)`. In a window that
/// begins within the wait, the old owner's tokens are at most `O(T) <= b`, and the new owner adds at
/// most `r * (e - s)`. In later windows, (4) holds for the new owner alone.
/// (6) *Planned move.* The old owner grants nothing after the export. The new owner takes over `L` and
/// `O`, and keeps each batch outstanding for longer than the old owner would have. No refill takes
/// place during the move. So (2) to (4) still hold.
/// (7) *Change of the limit.* Refill up to the change runs at the old rate, so `r * w` becomes the
/// integral of the rate. After a decrease of the burst, (2) holds for the old burst until the batches
/// granted before the change have expired, at most the longest hold of the bucket's [`TokenTiming`]
/// later.
#[derive(Clone, Debug)]
pub struct Bucket {
    fence: Fence,
    /// Tokens in the bucket, in nanotokens.
    level: u64,
    limit: RateLimit,
    next_batch_number: u64,
    outstanding: OutstandingBatches,
    timing: TokenTiming,
    no_grants_until: Duration,
    refilled_at: Duration,
}

impl Bucket {
    /// Longest time for which a batch counts as outstanding under the default [`TokenTiming`].
    pub const MAX_HOLD: Duration = Duration::from_millis(510);

    /// Creates the bucket of a new owner after the lease of the previous owner has ended.
    ///
    /// The bucket is empty, and grants nothing until the batches of the previous owner have expired.
    pub fn new(now: Duration, fence: Fence, part: RateLimit) -> Self {
        let no_grants_until = now + Self::MAX_HOLD;
        Self {
            fence,
            level: 0,
            limit: part,
            next_batch_number: first_batch_number(now),
            outstanding: OutstandingBatches::default(),
            timing: TokenTiming::default(),
            no_grants_until,
            refilled_at: no_grants_until,
        }
    }

    /// Creates the bucket of the next owner in a planned move.
    ///
    /// The previous owner must have granted nothing since it exported `state`.
    pub fn import(now: Duration, fence: Fence, state: &BucketState) -> Self {
        let margin = TokenTiming::RELAXED.max_hold() / HOLD_MARGIN_DIVISOR;
        let no_grants_until = now + state.quiet_for;
        Self {
            fence,
            level: state.level_nanotokens,
            limit: state.limit,
            next_batch_number: first_batch_number(now),
            outstanding: OutstandingBatches::import(now, margin, &state.outstanding),
            timing: TokenTiming::default(),
            no_grants_until,
            refilled_at: no_grants_until,
        }
    }

    /// Sets the timing of a bucket that has granted nothing yet. All owners of a bucket must use the same timing.
    pub fn with_timing(mut self, timing: TokenTiming) -> Self {
        if self.outstanding.unused() == 0 {
            let longer = timing.max_hold().saturating_sub(Self::MAX_HOLD);
            self.no_grants_until += longer;
            self.refilled_at += longer;
        }
        self.timing = timing;
        self
    }

    /// Consumes the bucket, and returns its state for the next owner.
    pub fn export(mut self, now: Duration) -> BucketState {
        self.refill(now);
        BucketState {
            level_nanotokens: self.level,
            limit: self.limit,
            outstanding: self.outstanding.export(now),
            quiet_for: self.no_grants_until.saturating_sub(now),
        }
    }

    /// Replaces the bucket's part of the limit.
    pub fn set_limit(&mut self, now: Duration, part: RateLimit) {
        self.refill(now);
        self.limit = part;
        self.cap_level();
    }

    /// Applies the reports of an entry on its batches.
    pub fn report(&mut self, now: Duration, reports: &[BatchReport]) {
        self.refill(now);
        for report in reports {
            let given_up = self.outstanding.report(report);
            self.level += u64::from(given_up) * NANOTOKENS_PER_TOKEN;
        }
        self.cap_level();
    }

    /// Grants tokens for waiting requests, and up to half of the remaining tokens for prefetch.
    pub fn grant(&mut self, now: Duration, _entry: &VmId, wanted: WantedTokens) -> Batch {
        self.refill(now);
        let available = if now < self.no_grants_until {
            0
        } else {
            u32::try_from(self.level / NANOTOKENS_PER_TOKEN).unwrap_or(u32::MAX)
        };
        let waiting = available.min(wanted.waiting);
        let prefetch = wanted.prefetch.min((available - waiting) / 2);
        let expires_after = if prefetch == 0 {
            WAITING_EXPIRY
        } else {
            self.timing.prefetch_expiry
        };
        let id = self.record_grant(now, waiting + prefetch, expires_after);
        Batch {
            expires_after,
            id,
            next_refill_after: self.next_token_after(now),
            tokens: waiting + prefetch,
        }
    }

    /// Returns the number of tokens that entries may still use.
    pub fn outstanding(&self) -> u64 {
        self.outstanding.unused()
    }

    fn record_grant(&mut self, now: Duration, tokens: u32, expires_after: Duration) -> BatchId {
        let id = BatchId {
            fence: self.fence,
            number: self.next_batch_number,
        };
        if tokens > 0 {
            self.next_batch_number += 1;
            self.level -= u64::from(tokens) * NANOTOKENS_PER_TOKEN;
            let until = now + expires_after + expires_after / HOLD_MARGIN_DIVISOR;
            self.outstanding.add(id, tokens, until);
        }
        id
    }

    /// Refills up to each batch expiry in turn, because an expiry raises the maximum level.
    fn refill(&mut self, now: Duration) {
        while let Some(expired_at) = self.outstanding.first_expiry().filter(|at| *at <= now) {
            self.refill_until(expired_at);
            self.outstanding.expire_first();
        }
        self.refill_until(now);
    }

    fn refill_until(&mut self, time: Duration) {
        let Some(elapsed) = time.checked_sub(self.refilled_at) else {
            return;
        };
        let rate = u128::from(self.limit.rate_requests_per_second);
        let slowed = u128::from(1_000 - MAX_CLOCK_DRIFT_PER_MILLE);
        let refill = elapsed.as_nanos() * rate * slowed / 1_000;
        let max = u128::from(u64::MAX / 2);
        let level = (u128::from(self.level) + refill).min(max);
        self.level = u64::try_from(level).expect("the level is at most half of u64::MAX");
        self.refilled_at = time;
        self.cap_level();
    }

    fn cap_level(&mut self) {
        self.level = self.level.min(self.max_level());
    }

    fn max_level(&self) -> u64 {
        u64::from(self.limit.burst_requests).saturating_sub(self.outstanding())
            * NANOTOKENS_PER_TOKEN
    }

    fn next_token_after(&self, now: Duration) -> Duration {
        let quiet_for = self.no_grants_until.saturating_sub(now);
        if self.level >= NANOTOKENS_PER_TOKEN {
            return quiet_for;
        }
        let rate = u64::from(self.limit.rate_requests_per_second);
        if rate == 0 {
            return self.timing.max_hold().max(quiet_for);
        }
        let missing = (NANOTOKENS_PER_TOKEN - self.level).div_ceil(rate);
        let refilled_after =
            Duration::from_nanos(missing) * 1_000 / (1_000 - MAX_CLOCK_DRIFT_PER_MILLE);
        if self.max_level() >= NANOTOKENS_PER_TOKEN {
            return quiet_for + refilled_after;
        }
        let first_expiry = self.outstanding.first_expiry();
        let expiry_after = first_expiry.map_or(Duration::ZERO, |time| time.saturating_sub(now));
        expiry_after.max(quiet_for) + refilled_after
    }
}

/// Returns a batch number above all that this process has granted under the same fence.
fn first_batch_number(now: Duration) -> u64 {
    u64::try_from(now.as_nanos()).unwrap_or(u64::MAX / 2)
}

const _: () = assert!(
    Bucket::MAX_HOLD.as_millis() * HOLD_MARGIN_DIVISOR as u128
        == PREFETCH_EXPIRY.as_millis() * (HOLD_MARGIN_DIVISOR as u128 + 1)
);
