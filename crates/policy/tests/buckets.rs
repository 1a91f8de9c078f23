//! Token bucket at its owner.

use std::time::Duration;

use ids::BUCKETS_PER_WORKSPACE;
use policy::Admission;
use policy::BatchReport;
use policy::Bucket;
use policy::BucketState;
use policy::PREFETCH_EXPIRY;
use policy::RateLimit;
use policy::RateLimiter;
use policy::RateLimiterStep;
use policy::TokenCache;
use policy::TokenTiming;
use policy::WAITING_EXPIRY;
use policy::WantedTokens;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn grant_all(bucket: &mut Bucket, now: Duration) -> u32 {
    let wanted = WantedTokens {
        prefetch: 0,
        waiting: u32::MAX,
    };
    bucket.grant(now, &"vm-1".to_owned(), wanted).tokens
}

#[test]
fn lowered_and_raised_limits_take_effect() {
    let limit = |burst_requests, rate_requests_per_second| RateLimit {
        burst_requests,
        rate_requests_per_second,
    };
    let mut bucket = Bucket::new(Duration::ZERO, 1, limit(100, 100));
    bucket.set_limit(Duration::from_secs(5), limit(10, 10));
    let lowered = grant_all(&mut bucket, Duration::from_secs(10));
    bucket.set_limit(Duration::from_secs(20), limit(40, 20));
    let when_raised = grant_all(&mut bucket, Duration::from_secs(20));
    let raised = grant_all(&mut bucket, Duration::from_secs(30));
    bucket.set_limit(Duration::from_secs(30), limit(0, 0));
    let removed = grant_all(&mut bucket, Duration::from_secs(60));
    assert_eq!((lowered, when_raised, raised, removed), (10, 10, 40, 0));
}

/// Returns when a bucket first grants a token, if one is requested each millisecond from 100 ms on.
fn first_grant_time(mut bucket: Bucket) -> Duration {
    let entry = "vm-1".to_owned();
    let wanted = WantedTokens {
        prefetch: 0,
        waiting: 1,
    };
    (100..)
        .map(Duration::from_millis)
        .find(|now| bucket.grant(*now, &entry, wanted).tokens > 0)
        .expect("the bucket refills")
}

#[test]
fn new_owner_waits_until_batches_of_the_old_owner_have_expired() {
    let part = RateLimit {
        burst_requests: 10,
        rate_requests_per_second: 100,
    };
    let lost_at = Duration::from_millis(100);
    let successor = Bucket::new(lost_at, 2, part);
    assert!(first_grant_time(successor) >= lost_at + Bucket::MAX_HOLD);
    let state = BucketState {
        level_nanotokens: 0,
        limit: part,
        outstanding: Vec::new(),
        quiet_for: Duration::ZERO,
    };
    let imported = Bucket::import(lost_at, 2, &state);
    assert!(first_grant_time(imported) < PREFETCH_EXPIRY);
}

/// Grants and reports batches, some of them closed, and reports whether the tokens that are outstanding or can still be
/// granted never exceed the burst.
fn stays_within_burst(steps: Vec<(u16, u8, u8)>) -> bool {
    let part = RateLimit {
        burst_requests: 20,
        rate_requests_per_second: 40,
    };
    let mut bucket = Bucket::new(Duration::ZERO, 1, part);
    let mut now = Duration::ZERO;
    let mut batches = Vec::new();
    steps.into_iter().all(|(pause_ms, wanted, choice)| {
        now += Duration::from_millis(u64::from(pause_ms % 700));
        let wanted = WantedTokens {
            prefetch: u32::from(wanted % 16),
            waiting: u32::from(wanted / 16),
        };
        batches.push(bucket.grant(now, &"vm-1".to_owned(), wanted));
        let batch = &batches[usize::from(choice) % batches.len()];
        let report = BatchReport {
            batch: batch.id,
            closed: choice > 127,
            used: u32::from(choice % 8).min(batch.tokens),
        };
        bucket.report(now, &[report]);
        let outstanding = bucket.outstanding();
        outstanding + u64::from(grant_all(&mut bucket.clone(), now)) <= 20
    })
}

#[test]
fn tokens_in_the_bucket_and_at_entries_stay_within_the_burst() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(500)
        .quickcheck(stays_within_burst as fn(Vec<(u16, u8, u8)>) -> bool);
}

#[test]
fn parts_add_up_to_the_limit_and_have_both_rate_and_burst() {
    for burst_requests in 0..40 {
        for rate_requests_per_second in 0..40 {
            let limit = RateLimit {
                burst_requests,
                rate_requests_per_second,
            };
            let parts: Vec<_> = (0..BUCKETS_PER_WORKSPACE)
                .map(|index| limit.part(index))
                .collect();
            let burst: u32 = parts.iter().map(|part| part.burst_requests).sum();
            let rate: u32 = parts.iter().map(|part| part.rate_requests_per_second).sum();
            let is_empty = burst_requests == 0 || rate_requests_per_second == 0;
            let expected = if is_empty {
                (0, 0)
            } else {
                (burst_requests, rate_requests_per_second)
            };
            assert_eq!((burst, rate), expected);
            for part in parts {
                assert_eq!(part.burst_requests == 0, part.rate_requests_per_second == 0);
            }
        }
    }
}

#[test]
fn new_owner_after_a_move_counts_the_batches_of_the_old_owner() {
    let part = RateLimit {
        burst_requests: 10,
        rate_requests_per_second: 1_000,
    };
    let mut bucket = Bucket::new(Duration::ZERO, 1, part);
    let moved_at = Duration::from_secs(2);
    let granted = grant_all(&mut bucket, moved_at);
    let mut successor = Bucket::import(moved_at, 2, &bucket.export(moved_at));
    let while_outstanding = grant_all(&mut successor, moved_at + WAITING_EXPIRY);
    let after = grant_all(&mut successor, moved_at + 2 * WAITING_EXPIRY);
    assert_eq!((granted, while_outstanding, after), (10, 0, 10));
}

#[test]
fn fast_clock_of_an_owner_does_not_raise_the_rate() {
    let part = RateLimit {
        burst_requests: 10,
        rate_requests_per_second: 1_000,
    };
    let mut bucket = Bucket::new(Duration::ZERO, 1, part);
    let mut granted = 0;
    let wanted = WantedTokens {
        prefetch: 0,
        waiting: 100,
    };
    for step in 0..20_000_u32 {
        let real = Duration::from_millis(2_000) + Duration::from_millis(1) * step;
        let clock = real.mul_f64(1.005);
        let batch = bucket.grant(clock, &"vm-1".to_owned(), wanted);
        granted += batch.tokens;
        let report = BatchReport {
            batch: batch.id,
            closed: true,
            used: batch.tokens,
        };
        bucket.report(clock, &[report]);
    }
    assert!(granted <= 20_000 + 10, "{granted}");
    assert!(granted > 19_500, "{granted}");
}

#[test]
fn refused_request_gets_the_time_until_the_bucket_has_a_token() {
    const MS: Duration = Duration::from_millis(1);
    let limit = RateLimit {
        burst_requests: 4,
        rate_requests_per_second: 10,
    };
    let mut bucket = Bucket::new(Duration::ZERO, 1, limit).with_timing(TokenTiming::RELAXED);
    let mut cache = TokenCache::new(limit, 0).with_timing(TokenTiming::RELAXED);
    assert_eq!(cache.admit(MS, 1), Admission::Waiting);
    let steps = cache.poll(MS);
    let [RateLimiterStep::RequestTokens(request)] = &steps[..] else {
        panic!("{steps:?}");
    };
    let empty = bucket.grant(2 * MS, &"vm-1".to_owned(), request.wanted);
    assert_eq!(
        empty.tokens, 0,
        "batches of an earlier owner may still be in use"
    );
    cache.receive_batch(3 * MS, request.id, &empty);
    let steps = cache.poll(50 * MS);
    let [RateLimiterStep::Refuse { retry_after, .. }] = &steps[..] else {
        panic!("{steps:?}");
    };
    let at = 50 * MS + *retry_after;
    assert!(
        bucket.grant(at, &"vm-1".to_owned(), request.wanted).tokens > 0,
        "no token at retry_after = {retry_after:?}"
    );
}
