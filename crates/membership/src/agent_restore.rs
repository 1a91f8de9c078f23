//! Continuation of the log after it was restored from a backup.

use std::time::Duration;

use cluster::Body;
use cluster::DRIFT_MARGIN;
use ids::Generation;
use ids::Offset;
use ids::first_offset;
use ids::generation_of;

use crate::Action;
use crate::Agent;
use crate::Decision;
use crate::MemberState;
use crate::times::BACKUP_CONTINUATION_DELAY;
use crate::times::CONTINUATION_TURN_DELAY;
use crate::times::MAX_CONTINUATION_TURNS;
use crate::times::NON_MEMBER_CONTINUATION_DELAY;

impl Agent {
    /// Starts to follow a later generation of the log.
    pub(crate) fn handle_restore(
        &mut self,
        now: Duration,
        generation: Generation,
        actions: &mut Vec<Action>,
    ) {
        if self.log.enter_generation(now, generation) {
            self.appends
                .drop_where(|body| matches!(body, Body::SnapshotChunk { .. }));
            actions.push(Action::LogDecision(Decision::LogRestored { generation }));
        }
    }

    /// Writes the state of this process as the start of a generation of the log, when it is its turn. The first complete
    /// state takes effect in every process.
    pub(crate) fn continue_log(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some((generation, since)) = self.log.awaited_generation() else {
            return;
        };
        let is_pending = |body: &Body| matches!(body, Body::SnapshotChunk { .. });
        if now < since + self.continuation_delay(now) || self.appends.any(is_pending) {
            return;
        }
        let fleet = self.log.fleet().continued_in(generation);
        for body in fleet.snapshot_bodies() {
            self.appends.append(now, body, actions);
        }
    }

    /// Returns the time for which other processes may write their state first. Members know of records that were lost with
    /// the restore, and a process that has started since does not.
    fn continuation_delay(&self, now: Duration) -> Duration {
        let fleet = self.log.fleet();
        let order = fleet.ranked_snapshot_writers();
        let turn = order.iter().position(|vm| **vm == self.cfg.vm);
        let turns = u32::try_from(turn.unwrap_or(order.len())).unwrap_or(u32::MAX);
        let turns = turns.min(MAX_CONTINUATION_TURNS);
        let is_member = matches!(self.state, MemberState::Active(_)) && self.lease.holds(now);
        let first = if is_member {
            Duration::ZERO
        } else if self.log.was_ever_caught_up() {
            NON_MEMBER_CONTINUATION_DELAY
        } else {
            BACKUP_CONTINUATION_DELAY
        };
        first + CONTINUATION_TURN_DELAY * turns
    }

    /// Adopts the first state of a new generation. `known_until` is the offset up to which this process had read the former
    /// one.
    ///
    /// The state may lack records by which units had passed from this member to another one, which serves them until it has
    /// read the new generation or its lease has ended.
    pub(crate) fn adopt_generation(&mut self, now: Duration, known_until: Offset) {
        let fleet = self.log.fleet();
        let generation = generation_of(fleet.next_offset());
        // A later snapshot is written long after all leases of the former generation have ended.
        let is_first_state = fleet.snapshot_through() < first_offset(generation);
        if is_first_state {
            let until = now + self.cfg.lease + DRIFT_MARGIN;
            self.owned_units.delay_joined_units(until);
        }
        if let Some(incarnation) = self.state.incarnation() {
            if !self.lease.holds(now) {
                // The member may have been declared lost by a record that nobody knows any more.
                self.owned_units.clear();
            }
            self.owned_units
                .withhold_reverted(fleet, &self.cfg.vm, incarnation, known_until);
        }
    }
}
