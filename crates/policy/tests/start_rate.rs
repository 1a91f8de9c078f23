//! Rate of the requests that start on an upstream that states a limit.

use std::time::Duration;

use policy::StartRateLimiter;
use policy::StatedRate;
use policy::limited_capacity;

const MS: Duration = Duration::from_millis(1);

/// Offers a request every millisecond from `from` to `until`, and returns the times at which one starts.
fn starts(limiter: &mut StartRateLimiter, from: u32, until: u32) -> Vec<Duration> {
    let times = (from..until).map(|ms| ms * MS);
    let is_started = |now: &Duration| {
        let allowed = limiter.allows(*now);
        if allowed {
            limiter.record_sent(*now);
        }
        allowed
    };
    times.filter(is_started).collect()
}

/// Returns the largest number of starts within any time of length `window`.
fn most_within(starts: &[Duration], window: Duration) -> usize {
    let count = |from: &Duration| {
        let within = |at: &&Duration| *at >= from && **at < *from + window;
        starts.iter().filter(within).count()
    };
    starts.iter().map(count).max().unwrap_or_default()
}

#[test]
fn requests_start_at_the_stated_rate_and_one_may_be_early() {
    let mut limiter = StartRateLimiter::default();
    limiter.set_stated_rate(Duration::ZERO, Some(18.1));
    let starts = starts(&mut limiter, 1_000, 9_000);
    assert!((144..=146).contains(&starts.len()), "{}", starts.len());
    assert_eq!(most_within(&starts, 4_000 * MS), 74);
}

#[test]
fn a_rate_that_falls_rises_goes_away_and_comes_back_is_followed_at_once() {
    let mut limiter = StartRateLimiter::default();
    let mut counts = Vec::new();
    let rates = [Some(50.0), Some(5.0), Some(100.0), None, Some(2.0)];
    for (second, rate) in (1..).map(|second| second * 1_000).zip(rates) {
        limiter.set_stated_rate(second * MS, rate);
        counts.push(starts(&mut limiter, second, second + 1_000).len());
    }
    assert_eq!(counts, [51, 5, 100, 1_000, 3]);
}

#[test]
fn an_idle_upstream_earns_no_credit() {
    let mut limiter = StartRateLimiter::default();
    limiter.set_stated_rate(Duration::ZERO, Some(10.0));
    starts(&mut limiter, 0, 1_000);
    let after_pause = starts(&mut limiter, 60_000, 60_090);
    assert_eq!(after_pause, [60_000 * MS, 60_001 * MS]);
}

#[test]
fn an_upstream_that_accepts_less_than_one_request_a_second_gets_one_every_few_seconds() {
    for (rate, expected) in [(0.4, 7), (0.0, 3)] {
        let mut limiter = StartRateLimiter::default();
        limiter.set_stated_rate(Duration::ZERO, Some(rate));
        limiter.record_sent(Duration::ZERO);
        let starts = starts(&mut limiter, 0, 20_000);
        assert_eq!(starts.len(), expected, "at {rate} requests a second");
    }
}

#[test]
fn an_upstream_that_accepts_nothing_and_then_much_is_not_held_back() {
    let mut limiter = StartRateLimiter::default();
    limiter.set_stated_rate(Duration::ZERO, Some(0.0));
    limiter.record_sent(Duration::ZERO);
    limiter.record_sent(MS);
    limiter.set_stated_rate(100 * MS, Some(20.0));
    assert!(limiter.delay(100 * MS, 0) <= 50 * MS);
}

#[test]
fn the_lower_of_the_cold_and_the_stated_rate_applies() {
    let mut limiter = StartRateLimiter::default();
    limiter.set_cold_rate(10);
    limiter.restart(3_000 * MS);
    limiter.set_stated_rate(Duration::ZERO, Some(30.0));
    assert_eq!(starts(&mut limiter, 1_000, 2_000).len(), 11);
    limiter.set_stated_rate(2_000 * MS, Some(4.0));
    assert_eq!(starts(&mut limiter, 2_000, 3_000).len(), 4);
    limiter.set_stated_rate(3_000 * MS, Some(30.0));
    assert_eq!(starts(&mut limiter, 3_000, 4_000).len(), 30);
}

#[test]
fn a_request_behind_others_waits_until_all_of_them_have_started() {
    let mut limiter = StartRateLimiter::default();
    assert_eq!(limiter.delay(Duration::ZERO, 100), Duration::ZERO);
    limiter.set_stated_rate(Duration::ZERO, Some(20.0));
    limiter.record_sent(1_000 * MS);
    limiter.record_sent(1_000 * MS);
    assert_eq!(limiter.delay(1_000 * MS, 3), 200 * MS);
}

#[test]
fn the_answer_that_began_last_decides_about_the_rate() {
    let mut stated = StatedRate::default();
    assert!(stated.is_unknown());
    assert!(stated.record(2, Some(5.0)));
    assert!(!stated.record(1, None), "an earlier answer ends later");
    assert!(!stated.record(1, Some(50.0)));
    assert_eq!(stated.requests_per_second(), Some(5.0));
    assert!(stated.record(3, None));
    assert_eq!(stated.requests_per_second(), None);
    assert!(!stated.is_unknown());
}

#[test]
fn capacity_is_the_stated_rate_times_the_service_time_but_no_more_than_the_slots() {
    let capacity = |rate, since| limited_capacity(rate, 50 * MS, 8, since);
    assert_eq!(capacity(20.0, MS), 1.0);
    assert_eq!(capacity(f64::MAX, MS), 8.0);
    assert_eq!(capacity(0.0, 9_000 * MS), 0.0);
}

#[test]
fn an_upstream_whose_limit_no_answer_has_confirmed_lately_is_given_some_load() {
    let capacity = |rate| limited_capacity(rate, 50 * MS, 8, 11_000 * MS);
    assert_eq!(capacity(0.0), 1.0);
    assert_eq!(capacity(100.0), 5.0);
}
