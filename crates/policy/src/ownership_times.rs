//! Times from which requests of units are remembered.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Unit;

use crate::MemoryBounds;

/// Times from which the requests of each owned unit are remembered, in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub(crate) struct OwnershipTimes {
    since: BTreeMap<Unit, u64>,
    started_unix_ms: u64,
}

impl OwnershipTimes {
    pub(crate) fn new(started_unix_ms: u64) -> Self {
        Self {
            since: BTreeMap::new(),
            started_unix_ms,
        }
    }

    pub(crate) fn begin(&mut self, unit: Unit, since: u64) {
        self.since.insert(unit, since);
    }

    /// Returns the time since which the unit is owned, or `u64::MAX` if it is not owned.
    ///
    /// Returns the start of the process for requests without a unit.
    pub(crate) fn since(&self, unit: Option<&Unit>) -> u64 {
        let Some(unit) = unit else {
            return self.started_unix_ms;
        };
        self.since.get(unit).copied().unwrap_or(u64::MAX)
    }

    /// Returns the creation time from which any idempotency key that has run is still remembered.
    ///
    /// A key that was created later and is not remembered has not run.
    pub(crate) fn known_since(&self, bounds: &MemoryBounds, now: u64, unit: Option<&Unit>) -> u64 {
        let forgotten = now.saturating_sub(milliseconds(bounds.keep_key));
        let margin = milliseconds(bounds.clock_margin).saturating_mul(3);
        forgotten.max(self.since(unit)).saturating_add(margin)
    }
}

pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
