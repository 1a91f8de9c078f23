//! The monotonic clock, which gives comparable timestamps in the records of several processes.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time on the host's monotonic clock, in microseconds.
pub type MonotonicUs = u64;

/// Returns the time on the host's monotonic clock, which is the same for every process of the host.
pub fn monotonic_us() -> MonotonicUs {
    let now = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(now.tv_sec).expect("the monotonic clock is not negative");
    let nanoseconds = u64::try_from(now.tv_nsec).expect("the monotonic clock is not negative");
    seconds * 1_000_000 + nanoseconds / 1_000
}
