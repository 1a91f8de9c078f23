//! Concurrency limits of cold, warm and failing upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::AdaptiveConcurrencyLimiter;
use policy::Completion;
use policy::ConcurrencyLimiter;
use policy::ConnectionBudget;
use policy::ConnectionPurpose;
use policy::FixedConcurrencyLimiter;
use policy::WarmUpRamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u32 = 10;
const WARM_UP: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(1);

/// Upstream whose capacity grows from one request to all slots, linearly or with the square of the time.
struct Upstream {
    cold_since: Duration,
    sheds: bool,
    squared: bool,
}

impl Upstream {
    fn capacity(&self, now: Duration) -> u32 {
        let fraction = now.saturating_sub(self.cold_since).as_secs_f64() / WARM_UP.as_secs_f64();
        let fraction = fraction.min(1.0);
        let fraction = if self.squared {
            fraction * fraction
        } else {
            fraction
        };
        1 + (f64::from(SLOTS - 1) * fraction + 1e-9) as u32
    }
}

#[derive(Debug, Default)]
struct Run {
    /// Requests sent above the capacity of the upstream.
    over_capacity: u32,
    /// Time from the last cold start until the limit first allows all slots.
    full_after: Option<Duration>,
}

/// Runs a limiter for 40 s under as much load as it admits. The upstream turns cold at `cold_at`.
fn run(
    limiter: &mut dyn ConcurrencyLimiter,
    mut upstream: Upstream,
    cold_at: Duration,
    seed: u64,
) -> Run {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ends = BTreeMap::new();
    let mut result = Run::default();
    let mut was_below_slots = false;
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(40) {
        if now == cold_at {
            upstream.cold_since = now;
            result.full_after = None;
            was_below_slots = false;
        }
        while let Some((&(end, ticket), &latency)) = ends.first_key_value() {
            if end > now {
                break;
            }
            ends.pop_first();
            limiter.release(now, ticket, Completion::Answered { latency });
        }
        while let Some(ticket) = limiter.acquire(now) {
            let running = ends.len() as u32 + 1;
            let capacity = upstream.capacity(now);
            result.over_capacity += u32::from(running > capacity);
            if running > capacity && upstream.sheds {
                limiter.release(now, ticket, Completion::Shed);
                break;
            }
            let overload = (f64::from(running) / f64::from(capacity)).max(1.0);
            let latency = Duration::from_millis(rng.random_range(10..30)).mul_f64(overload);
            ends.insert((now + latency, ticket), latency);
        }
        was_below_slots |= limiter.limit(now) < SLOTS;
        if result.full_after.is_none() && was_below_slots && limiter.limit(now) >= SLOTS {
            result.full_after = Some(now - upstream.cold_since);
        }
        limiter.tick(now);
        now += STEP;
    }
    result
}

fn adaptive() -> AdaptiveConcurrencyLimiter {
    AdaptiveConcurrencyLimiter::new(Duration::ZERO, SLOTS, WARM_UP)
}

fn upstream(sheds: bool, squared: bool) -> Upstream {
    Upstream {
        cold_since: Duration::ZERO,
        sheds,
        squared,
    }
}

#[test]
fn cold_upstream_never_gets_more_than_its_capacity() {
    for seed in 0..20 {
        for squared in [false, true] {
            for sheds in [false, true] {
                let adaptive_run = run(
                    &mut adaptive(),
                    upstream(sheds, squared),
                    Duration::MAX,
                    seed,
                );
                assert_eq!(adaptive_run.over_capacity, 0, "seed {seed}");
                let full_after = adaptive_run.full_after.expect("the upstream gets warm");
                println!("full after {full_after:?}");
                assert!(full_after <= WARM_UP * 3 / 2, "seed {seed}: {full_after:?}");
            }
        }
    }
    let mut fixed = FixedConcurrencyLimiter::new(SLOTS);
    assert!(run(&mut fixed, upstream(false, false), Duration::MAX, 0).over_capacity > 0);
}

#[test]
fn limit_drops_when_a_warm_upstream_turns_cold() {
    let cold_at = Duration::from_secs(20);
    for seed in 0..20 {
        for squared in [false, true] {
            let shedding = run(&mut adaptive(), upstream(true, squared), cold_at, seed);
            assert_eq!(shedding.over_capacity, 1, "seed {seed}: {shedding:?}");
            let slow = run(&mut adaptive(), upstream(false, squared), cold_at, seed);
            assert!(slow.over_capacity <= 2 * SLOTS, "seed {seed}: {slow:?}");
            println!("{shedding:?} {slow:?}");
            for result in [shedding, slow] {
                let full_after = result.full_after.expect("the upstream gets warm again");
                assert!(full_after <= WARM_UP * 3 / 2, "seed {seed}: {full_after:?}");
            }
        }
    }
    let mut fixed = FixedConcurrencyLimiter::new(SLOTS);
    let baseline = run(&mut fixed, upstream(true, false), cold_at, 0);
    println!("baseline {baseline:?}");
    assert!(baseline.over_capacity > 100, "{baseline:?}");
}

#[test]
fn ordinary_latency_does_not_reset_the_limit() {
    for seed in 0..20 {
        for heavy_percent in [5, 20] {
            let mut limit = AdaptiveConcurrencyLimiter::new(Duration::ZERO, SLOTS, Duration::ZERO);
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut now = Duration::ZERO;
            for request in 0..5_000_u32 {
                let ticket = limit.acquire(now).expect("no other request is running");
                let is_heavy = rng.random_range(0..100) < heavy_percent;
                let factor = if is_heavy { 10 } else { 1 };
                let latency = Duration::from_millis(rng.random_range(10..30)) * factor;
                now += latency;
                limit.release(now, ticket, Completion::Answered { latency });
                let has_learned = request > 200;
                assert!(
                    !has_learned || limit.limit(now) > 1,
                    "seed {seed}, request {request}"
                );
            }
        }
    }
}

/// Guards against a reset when a busy machine delays several answers at once although the upstream is warm.
#[test]
fn short_stalls_of_a_fast_upstream_do_not_reset_the_limit() {
    for seed in 0..20 {
        let mut limit = AdaptiveConcurrencyLimiter::new(Duration::ZERO, SLOTS, Duration::ZERO);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut now = Duration::ZERO;
        for round in 0..2_000_u32 {
            let stalls = round > 200 && round % 50 == 0;
            let latency = Duration::from_millis(if stalls { 60 } else { 2 });
            let tickets: Vec<_> = std::iter::from_fn(|| limit.acquire(now)).collect();
            let jitter = Duration::from_micros(rng.random_range(0..2_000));
            now += latency + jitter;
            limit.tick(now);
            for ticket in tickets {
                let latency = latency + jitter;
                limit.release(now, ticket, Completion::Answered { latency });
            }
            let is_warm = round > 200;
            assert!(
                !is_warm || limit.limit(now) == SLOTS,
                "seed {seed}, round {round}"
            );
        }
    }
}

#[test]
fn limit_drops_when_a_fast_upstream_stays_slow() {
    let mut limit = AdaptiveConcurrencyLimiter::new(Duration::ZERO, SLOTS, Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut round = |limit: &mut AdaptiveConcurrencyLimiter, latency: Duration| {
        let tickets: Vec<_> = std::iter::from_fn(|| limit.acquire(now)).collect();
        now += latency;
        for ticket in tickets {
            limit.release(now, ticket, Completion::Answered { latency });
        }
        limit.limit(now)
    };
    let warm = (0..300).map(|_| round(&mut limit, Duration::from_millis(2)));
    assert_eq!(warm.last(), Some(SLOTS));
    let cold = (0..4).map(|_| round(&mut limit, Duration::from_millis(60)));
    assert!(cold.min() < Some(SLOTS));
}

#[test]
fn decisions_of_an_adaptive_limiter() {
    let mut limit = AdaptiveConcurrencyLimiter::new(Duration::ZERO, 4, Duration::from_secs(4));
    let mut log = Vec::new();
    let latency = Duration::from_millis(20);
    for step in 0..16 {
        let now = Duration::from_millis(500 * step);
        let tickets: Vec<_> = std::iter::from_fn(|| limit.acquire(now)).collect();
        let completion = match step {
            13 => Completion::Shed,
            _ => Completion::Answered { latency },
        };
        log.push(format!("{now:?}: {} run, {completion:?}", tickets.len()));
        for ticket in tickets {
            limit.release(now + latency, ticket, completion);
        }
    }
    limit.restart(Duration::from_secs(9), 6);
    log.push(format!(
        "restarted: {}",
        limit.limit(Duration::from_secs(9))
    ));
    insta::assert_snapshot!(log.join("\n"));
}

#[test]
fn ramp_stays_below_linear_and_quadratic_warm_up_and_ends() {
    let ramp = WarmUpRamp::new(Duration::from_secs(1), Duration::from_secs(10));
    let allowed: Vec<_> = (0..12)
        .map(|second| {
            ramp.allowed_load(Duration::from_secs(second), 10)
                .to_string()
        })
        .collect();
    insta::assert_snapshot!(allowed.join(" "));
}

#[test]
fn connections_for_control_are_reserved() {
    let mut budget = ConnectionBudget::new(5, 2);
    let requests = (0..9)
        .filter(|_| budget.try_open(ConnectionPurpose::Request))
        .count();
    let control = (0..9)
        .filter(|_| budget.try_open(ConnectionPurpose::Control))
        .count();
    assert_eq!((requests, control, budget.open()), (3, 2, 5));
    budget.close();
    assert!(!budget.try_open(ConnectionPurpose::Request));
    assert!(budget.try_open(ConnectionPurpose::Control));
}
