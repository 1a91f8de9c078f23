//! Copies of the folded log for traffic threads.

use std::sync::Arc;
use std::time::Duration;

use cluster::Fleet;

use crate::clock::Clock;

/// Pause between two copies, as a multiple of the time that a copy takes.
///
/// It bounds the time spent on copies to a twentieth of the control thread's time, however fast the log grows.
const PAUSE_FACTOR: u32 = 19;

/// The newest copy of the folded log.
#[derive(Debug, Default)]
pub(crate) struct FleetCopy {
    copy: Arc<Fleet>,
    next_copy_at: Duration,
}

impl FleetCopy {
    /// Returns a copy of the fleet, which may be out of date until the pause after the last copy has passed.
    pub(crate) fn refresh(&mut self, fleet: &Fleet, now: Duration, clock: &Clock) -> Arc<Fleet> {
        if self.copy.next_offset() != fleet.next_offset() && now >= self.next_copy_at {
            self.copy = Arc::new(fleet.clone());
            let done = clock.now();
            self.next_copy_at = done + done.saturating_sub(now) * PAUSE_FACTOR;
        }
        Arc::clone(&self.copy)
    }
}
