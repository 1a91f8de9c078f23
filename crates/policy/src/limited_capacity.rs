//! Capacity of an upstream that limits the rate of requests.

use std::time::Duration;

/// Time without an answer after which a stated rate may be out of date. Only requests can bring another answer.
const CONFIRMATION_TIME: Duration = Duration::from_secs(10);

/// Fraction of its slots, as a divisor, that an upstream is given load for once its stated rate may be out of date.
const UNCONFIRMED_SLOTS_DIVISOR: f64 = 8.0;

/// Returns the number of `slots` that can be used at a stated rate, given the mean service time and the time since the last
/// answer.
///
/// The owner of a limited upstream moves its units to others, so that it may get no requests any more, and would never learn that
/// the limit has been lifted.
pub fn limited_capacity(
    requests_per_second: f64,
    mean_service_time: Duration,
    slots: u32,
    since_last_answer: Duration,
) -> f64 {
    let slots = f64::from(slots);
    let capacity = requests_per_second * mean_service_time.as_secs_f64();
    let lowest = match since_last_answer > CONFIRMATION_TIME {
        true => slots / UNCONFIRMED_SLOTS_DIVISOR,
        false => 0.0,
    };
    capacity.clamp(lowest, slots)
}
