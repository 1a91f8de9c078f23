//! Continuation of the log after it was restored from a backup.

use ids::Generation;
use ids::first_offset;

use crate::Fleet;
use crate::RecordAssembler;
use crate::snapshot_progress::SnapshotProgress;

impl Fleet {
    /// Returns this state as the one with which `generation` of the log begins.
    ///
    /// Owners keep their fences, which are below those of the new generation. Records that were applied before count as
    /// repeated if they are appended again. The status of roll-outs is written again, since the records that it was written
    /// belong to the former generation.
    pub fn continued_in(&self, generation: Generation) -> Self {
        let next_offset = first_offset(generation);
        let shift = next_offset.saturating_sub(self.next_offset);
        let mut rollouts = self.rollouts.clone();
        for rollout in rollouts.values_mut() {
            rollout.published = None;
        }
        Self {
            incomplete: RecordAssembler::default(),
            next_offset,
            progress: SnapshotProgress::default(),
            recent: self.recent.shifted(shift),
            rollouts,
            ..self.clone()
        }
    }
}
