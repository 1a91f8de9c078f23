//! Copies of the folded log for other threads.

use std::sync::Arc;
use std::time::Duration;

use config::Manifest;
use ids::Offset;

use crate::Fleet;

/// Pause between two copies, as a multiple of the time that a copy takes.
///
/// It bounds the time spent on copies to a twentieth of the control thread's time, however fast the log grows, as long as a
/// copy takes less than a twentieth of [`MAX_PAUSE`].
const PAUSE_FACTOR: u32 = 19;

/// Longest pause between two copies. A copy can take long on a machine that is short of processor time, and an outdated one
/// sends requests to former owners.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The newest copy of the folded log, with the manifest that operators have declared in force.
///
/// All processes read the declarations of operators. What they say of requests does not wait for its record in the log, which
/// processes read that cannot read the declarations. Members, units and their owners are always those of the log.
#[derive(Debug, Default)]
pub struct FleetCopy {
    copy: Arc<Fleet>,
    /// Revision of the declared manifest when the copy was made, 0 for none.
    declared: u64,
    /// Version of the configuration of the log that was copied.
    version: Offset,
    next_copy_at: Duration,
}

impl FleetCopy {
    /// Makes the next refresh copy the fleet if it has changed.
    pub fn expire(&mut self) {
        self.next_copy_at = Duration::ZERO;
    }

    /// Returns a copy of the fleet. Its configuration is that of the fleet, or of the `declared` manifest if that is newer and valid;
    /// the rest may be out of date until the pause after the last copy has passed. `clock` returns the time, like `now`.
    pub fn refresh(
        &mut self,
        fleet: &Fleet,
        declared: Option<&Manifest>,
        now: Duration,
        clock: impl Fn() -> Duration,
    ) -> Arc<Fleet> {
        let revision = declared.map_or(0, |manifest| manifest.revision);
        let has_new_configuration =
            self.version != fleet.config_version() || self.declared != revision;
        let has_changed = has_new_configuration || self.copy.next_offset() != fleet.next_offset();
        if has_changed && (has_new_configuration || now >= self.next_copy_at) {
            let mut copy = fleet.clone();
            if let Some(manifest) = declared.filter(|_| revision > fleet.revision()) {
                // The log rejects a manifest for the same reasons, which are then reported.
                let _ = copy.configuration.replace_manifest(manifest.clone());
            }
            self.copy = Arc::new(copy);
            self.declared = revision;
            self.version = fleet.config_version();
            let done = clock();
            let pause = done.saturating_sub(now) * PAUSE_FACTOR;
            self.next_copy_at = done + pause.min(MAX_PAUSE);
        }
        Arc::clone(&self.copy)
    }
}
