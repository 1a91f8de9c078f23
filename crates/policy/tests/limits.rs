//! Rate limits of a workspace over the whole fleet.

mod fleet;

use std::time::Duration;

use fleet::Disabled;
use fleet::Faults;
use fleet::Fleet;
use fleet::Setup;
use policy::Admission;
use policy::Bucket;
use policy::RateLimit;
use policy::RateLimiter;
use policy::RateLimiterStep;
use policy::TokenCache;

fn overload(disabled: Disabled, seed: u64) -> Setup {
    let limit = RateLimit {
        burst_requests: [1, 8, 60][(seed % 3) as usize],
        rate_requests_per_second: [20, 50][(seed % 2) as usize],
    };
    Setup {
        arrivals_per_second: f64::from(limit.rate_requests_per_second) / 2.0,
        bursty: true,
        entries: 2 + (seed % 5) as usize,
        even_split: false,
        faults: Faults::All,
        limit,
        disabled,
        seconds: 20,
        weights: vec![3.0],
    }
}

/// Returns how many seeds exceed the limit in some window, and the largest excess.
fn count_exceeding(disabled: Disabled, seeds: u64) -> (u64, f64) {
    let mut count = 0;
    let mut largest = f64::NEG_INFINITY;
    for seed in 0..seeds {
        let excess = Fleet::run(overload(disabled, seed), seed).excess();
        count += u64::from(excess > 1e-6);
        largest = largest.max(excess);
    }
    (count, largest)
}

#[test]
fn no_window_exceeds_rate_and_burst() {
    let (count, largest) = count_exceeding(Disabled::Nothing, 150);
    assert_eq!(count, 0, "largest excess {largest}");
    assert!(
        largest > -3.0,
        "the load must come close to the bound: {largest}"
    );
}

#[test]
fn some_window_exceeds_the_limit_if_outstanding_tokens_are_not_counted() {
    let (count, largest) = count_exceeding(Disabled::OutstandingCount, 60);
    println!("{count} of 60, largest excess {largest}");
    assert!(count > 0);
}

#[test]
fn some_window_exceeds_the_limit_if_a_new_owner_starts_full() {
    let (count, largest) = count_exceeding(Disabled::EmptyStart, 60);
    println!("{count} of 60, largest excess {largest}");
    assert!(count > 0);
}

/// Returns, at a load of 90 % of the rate, the refusals per 1000 requests, those of one ideal bucket, and the token
/// requests per request.
fn within_rate(rate: u32, burst: u32, faults: Faults, even_split: bool) -> (f64, f64, f64) {
    let (mut refused, mut served, mut token_requests, mut ideal) = (0, 0, 0, 0);
    for seed in 0..5 {
        let setup = Setup {
            arrivals_per_second: f64::from(rate) * 0.9,
            bursty: false,
            entries: 6,
            even_split,
            faults,
            limit: RateLimit {
                burst_requests: burst,
                rate_requests_per_second: rate,
            },
            disabled: Disabled::Nothing,
            seconds: 60,
            weights: vec![5.0, 3.0],
        };
        let fleet = Fleet::run(setup, seed);
        refused += fleet.refused;
        served += fleet.admitted.len() as u64;
        token_requests += fleet.token_requests;
        ideal += fleet.ideal_refused;
    }
    let total = (refused + served) as f64;
    (
        refused as f64 * 1_000.0 / total,
        ideal as f64 * 1_000.0 / total,
        token_requests as f64 / total,
    )
}

#[test]
fn few_requests_within_the_rate_are_refused() {
    for (rate, burst) in [(50, 50), (200, 100), (1_000, 500)] {
        for faults in [Faults::None, Faults::Losses] {
            let (refused, _, token_requests) = within_rate(rate, burst, faults, false);
            let (baseline, _, _) = within_rate(rate, burst, faults, true);
            println!("{rate}/s {burst} {faults:?}: {refused} {baseline} {token_requests}");
            let max_refused = if faults == Faults::None { 1.0 } else { 20.0 };
            assert!(
                refused < max_refused,
                "{refused} in 1000 at {rate}/s with {faults:?}"
            );
            assert!(baseline > 100.0, "{baseline} in 1000 at {rate}/s");
        }
    }
}

#[test]
fn dividing_a_small_rate_refuses_few_more_requests() {
    let (refused, ideal, token_requests) = within_rate(10, 10, Faults::None, false);
    let (baseline, _, _) = within_rate(10, 10, Faults::None, true);
    println!("{refused} {ideal} {baseline} {token_requests}");
    assert!(
        refused < ideal + 5.0,
        "{refused} in 1000, {ideal} with one bucket"
    );
    assert!(baseline > 100.0, "{baseline} in 1000");
}

#[test]
fn decisions_of_a_token_cache_and_a_bucket() {
    let limit = RateLimit {
        burst_requests: 8,
        rate_requests_per_second: 8,
    };
    let mut cache = TokenCache::new(limit, 0);
    let mut log = Vec::new();
    let mut bucket = Bucket::new(Duration::ZERO, 7, limit.part(0));
    for request in 0..6 {
        let now = Duration::from_millis(2_000 + 20 * request);
        log.push(format!(
            "{now:?} admit {request}: {:?}",
            cache.admit(now, request)
        ));
        for step in cache.poll(now) {
            log.push(format!("{now:?} {step:?}"));
            // The owner of the second bucket does not reply.
            if let RateLimiterStep::RequestTokens(token_request) = step
                && token_request.bucket == 0
            {
                bucket.report(now, &token_request.reports);
                let batch = bucket.grant(now, &"vm-1".to_owned(), token_request.wanted);
                log.push(format!("{now:?} {batch:?}"));
                cache.receive_batch(now, token_request.id, &batch);
            }
        }
        let now = now + Duration::from_millis(1);
        let steps = cache.poll(now);
        log.extend(steps.iter().map(|step| format!("{now:?} {step:?}")));
    }
    insta::assert_snapshot!(log.join("\n"));
}

#[test]
fn unresponsive_owners_are_distinguished_from_an_exceeded_rate() {
    let limit = RateLimit {
        burst_requests: 8,
        rate_requests_per_second: 8,
    };
    let mut cache = TokenCache::new(limit, 0);
    let at = Duration::from_millis;
    cache.admit(at(0), 1);
    let requested = cache.poll(at(0)).len();
    let after_one = (cache.poll(at(60)).len(), cache.has_reachable_owner());
    cache.poll(at(120));
    let refused = cache.poll(at(1_000));
    assert_eq!((requested, after_one), (1, (1, true)));
    assert!(!cache.has_reachable_owner());
    assert!(
        matches!(refused[0], RateLimiterStep::Refuse { ticket: 1, .. }),
        "{refused:?}"
    );
}

#[test]
fn a_refusal_while_no_owner_answers_is_not_due_to_the_rate() {
    const RATE: u32 = 1_000_000;
    let limit = RateLimit {
        burst_requests: RATE,
        rate_requests_per_second: RATE,
    };
    let mut cache = TokenCache::new(limit, 0);
    let at = Duration::from_millis;
    assert_eq!(cache.admit(at(0), 1), Admission::Waiting);
    let steps = cache.poll(at(0));
    let [RateLimiterStep::RequestTokens(request)] = &steps[..] else {
        panic!("{steps:?}");
    };
    let mut owner = Bucket::new(Duration::ZERO, 1, limit.part(request.bucket));
    let granted = owner.grant(at(600), &"vm-1".to_owned(), request.wanted);
    assert_eq!(granted.tokens, 1);
    cache.receive_batch(at(1), request.id, &granted);
    cache.poll(at(1));
    assert_eq!(cache.admit(at(500), 2), Admission::Waiting);
    let refusal = (500..=1_000).find_map(|ms| {
        let steps = cache.poll(at(ms));
        steps.into_iter().find_map(|step| match step {
            RateLimiterStep::Refuse { retry_after, .. } => Some(retry_after),
            _ => None,
        })
    });
    assert!(!cache.has_reachable_owner());
    let retry_after = refusal.expect("the request is refused");
    assert!(retry_after >= at(50), "{retry_after:?}");
}
