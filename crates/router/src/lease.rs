//! The lease of this process, shared with the traffic threads.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Holds the end of the lease, written by the control thread and read before each dispatch.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    until_ns: AtomicU64,
}

impl Lease {
    /// Sets the end of the lease, on the clock of the process.
    pub(crate) fn set(&self, until: Option<Duration>) {
        let nanoseconds = until.unwrap_or_default().as_nanos();
        let until_ns = u64::try_from(nanoseconds).unwrap_or(u64::MAX);
        self.until_ns.store(until_ns, Ordering::SeqCst);
    }

    /// Returns the end of the lease, or zero if there is none.
    pub(crate) fn until(&self) -> Duration {
        Duration::from_nanos(self.until_ns.load(Ordering::SeqCst))
    }

    /// Reports whether the lease is valid at `now`.
    pub(crate) fn holds(&self, now: Duration) -> bool {
        now < self.until()
    }
}
