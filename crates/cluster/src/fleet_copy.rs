//! Copies of the folded log for other threads.

use std::sync::Arc;
use std::time::Duration;

use crate::Fleet;

/// Pause between two copies, as a multiple of the time that a copy takes.
///
/// It bounds the time spent on copies to a twentieth of the control thread's time, however fast the log grows, as long as a
/// copy takes less than a twentieth of [`MAX_PAUSE`].
const PAUSE_FACTOR: u32 = 19;

/// Longest pause between two copies. A copy can take long on a machine that is short of processor time, and an outdated one
/// sends requests to former owners.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The newest copy of the folded log.
#[derive(Debug, Default)]
pub struct FleetCopy {
    copy: Arc<Fleet>,
    next_copy_at: Duration,
}

impl FleetCopy {
    /// Makes the next refresh copy the fleet if it has changed.
    pub fn expire(&mut self) {
        self.next_copy_at = Duration::ZERO;
    }

    /// Returns a copy of the fleet. Its configuration is that of the fleet; the rest may be out of date until the pause after
    /// the last copy has passed. `clock` returns the time, like `now`.
    pub fn refresh(
        &mut self,
        fleet: &Fleet,
        now: Duration,
        clock: impl Fn() -> Duration,
    ) -> Arc<Fleet> {
        let has_changed = self.copy.next_offset() != fleet.next_offset();
        let has_new_configuration = self.copy.config_version() != fleet.config_version();
        if has_changed && (has_new_configuration || now >= self.next_copy_at) {
            self.copy = Arc::new(fleet.clone());
            let done = clock();
            let pause = done.saturating_sub(now) * PAUSE_FACTOR;
            self.next_copy_at = done + pause.min(MAX_PAUSE);
        }
        Arc::clone(&self.copy)
    }
}
