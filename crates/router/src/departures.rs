//! Departures of the local upstream.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use membership::UpstreamProcess;

/// The latest departure that the local upstream has announced by its instance alone.
///
/// It binds later check-ins of that process as well: they may have been sent before the departure and arrive after it, at a process
/// that did not know the upstream yet.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    latest: Mutex<Option<Departure>>,
}

#[derive(Debug)]
struct Departure {
    at: Duration,
    instance: String,
    unix_ms: u64,
}

impl Departures {
    /// Records that an instance announced its departure at `at` on the process clock, and `unix_ms` on the system clock.
    pub(crate) fn record(&self, instance: &str, at: Duration, unix_ms: u64) {
        let mut latest = self.lock();
        // A repetition changes nothing.
        if latest
            .as_ref()
            .is_none_or(|known| known.instance != instance)
        {
            *latest = Some(Departure {
                at,
                instance: instance.to_owned(),
                unix_ms,
            });
        }
    }

    /// Returns the time on the process clock at which a process of the upstream announced its departure, or `None` if it has not.
    ///
    /// A process that started later under the same id has not.
    pub(crate) fn time_of(&self, process: &UpstreamProcess) -> Option<Duration> {
        let latest = self.lock();
        let departure = latest.as_ref()?;
        let is_departed =
            departure.instance == process.instance && process.started_unix_ms <= departure.unix_ms;
        is_departed.then_some(departure.at)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Departure>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
