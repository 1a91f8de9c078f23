//! Handling of the records that an agent reads from the log.

use std::time::Duration;

use cluster::Body;
use cluster::Outcome;
use cluster::Record;
use ids::Offset;
use ids::Unit;
use ids::first_offset;
use ids::generation_of;

use crate::Absent;
use crate::Action;
use crate::Agent;
use crate::Decision;
use crate::LeaveReason;
use crate::MemberState;
use crate::times::LOST_REWITNESS_DELAY;
use crate::times::READ_OVERDUE_AFTER;
use crate::times::READ_OVERDUE_PER_MEMBER;
use crate::times::REJOIN_BACKOFF;
use crate::times::REJOIN_BACKOFF_MAX;
use crate::times::RETENTION_DIVISOR;
use crate::times::REWITNESS_DELAY;
use crate::times::SNAPSHOT_INTERVAL;
use crate::times::SNAPSHOT_RECORDS;
use crate::times::SNAPSHOT_TURN_DELAY;
use crate::times::STABLE_MEMBERSHIP;

impl Agent {
    /// Applies records of the log, and updates this member from them.
    pub(crate) fn apply_records(
        &mut self,
        now: Duration,
        records: &[(Offset, String)],
        actions: &mut Vec<Action>,
    ) {
        let mut any_applied = false;
        let known_until = self.log.fleet().next_offset();
        let members = self.log.fleet().members().len();
        for (offset, text) in records {
            if *offset == first_offset(generation_of(*offset)) {
                self.handle_restore(now, generation_of(*offset), actions);
            }
            let Some(outcome) = self.log.apply(*offset, text, actions) else {
                continue;
            };
            any_applied = true;
            if outcome != Outcome::Incomplete
                && let Some(record) = self.appends.read_back(text)
            {
                let applied = matches!(outcome, Outcome::Applied(_));
                self.handle_own_record(now, *offset, applied, &record, actions);
            }
        }
        let applied_until = self.log.fleet().next_offset();
        if generation_of(applied_until) > generation_of(known_until) {
            self.adopt_generation(now, known_until);
        }
        if self.log.fleet().members().len() != members {
            self.schedule.members_changed_at = now;
        }
        if any_applied {
            self.update_from_log(now, actions);
        }
    }

    /// Records that the log was read to its end, if it was.
    pub(crate) fn complete_log_read(&mut self, now: Duration) {
        if self.log.is_healthy(now) {
            self.log_reads.complete(now);
        }
    }

    fn handle_own_record(
        &mut self,
        now: Duration,
        offset: Offset,
        applied: bool,
        record: &Record,
        actions: &mut Vec<Action>,
    ) {
        match (&self.state, &record.body) {
            (MemberState::Joining(joining), Body::Join(_)) if applied => {
                self.state = MemberState::Active(joining.clone().joined(now, offset));
                self.schedule.next_rewitness = now + REWITNESS_DELAY;
                self.schedule.next_lost_rewitness = now + LOST_REWITNESS_DELAY;
                let incarnation = offset;
                actions.push(Action::LogDecision(Decision::Joined { incarnation }));
            }
            (MemberState::Active(active), Body::Join(_)) if applied => {
                let mut next = active.clone();
                next.incarnation = offset;
                next.joined_at = now;
                self.schedule.next_lost_rewitness = now + LOST_REWITNESS_DELAY;
                self.state = MemberState::Active(next);
                self.reset_lease();
                let incarnation = offset;
                actions.push(Action::LogDecision(Decision::Joined { incarnation }));
            }
            _ => self.continue_without(now, record, actions),
        }
    }

    /// Continues after a record of this process that had no effect, or a move that left some units where they were.
    pub(crate) fn continue_without(
        &mut self,
        now: Duration,
        record: &Record,
        actions: &mut Vec<Action>,
    ) {
        match (&self.state, &record.body) {
            (MemberState::Joining(_), Body::Join(_)) => {
                let not_before = now + self.rejoin_backoff;
                self.state = MemberState::Absent(Absent { not_before });
            }
            (_, Body::Move { units, .. }) => {
                let is_named = |unit: &Unit| units.iter().any(|named| named.unit == *unit);
                self.resume_unmoved_units(is_named, actions);
            }
            _ => {}
        }
    }

    /// Updates this member from the folded log.
    fn update_from_log(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(incarnation) = self.state.incarnation() else {
            return;
        };
        let fleet = self.log.fleet();
        let vm = &self.cfg.vm;
        let member = fleet.members().get(vm);
        if member.is_none_or(|member| member.incarnation != incarnation) {
            self.end_membership(now, actions);
            return;
        }
        self.witnesses.sync_with_fleet(fleet, vm);
        self.lease.set_quorums(self.witnesses.quorums());
        self.watched_members
            .sync_with_fleet(now, fleet, vm, incarnation);
        if matches!(self.state, MemberState::Active(_)) {
            let acquired = self
                .owned_units
                .sync_with_fleet(now, fleet, vm, incarnation);
            actions.extend(acquired.into_iter().map(Action::LogDecision));
        }
    }

    /// Ends the membership, because the log shows that this incarnation has ended.
    fn end_membership(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let MemberState::Active(active) = &self.state {
            let leaving = active.clone().leave(LeaveReason::DeclaredLost);
            self.state = MemberState::Leaving(leaving);
        }
        if let MemberState::Leaving(leaving) = &self.state {
            let is_short = now < leaving.joined_at + STABLE_MEMBERSHIP;
            let doubled = (self.rejoin_backoff * 2).min(REJOIN_BACKOFF_MAX);
            let backoff = if is_short {
                self.rejoin_backoff
            } else {
                REJOIN_BACKOFF
            };
            self.rejoin_backoff = if is_short { doubled } else { REJOIN_BACKOFF };
            actions.push(Action::LogDecision(Decision::Left {
                incarnation: leaving.incarnation,
                reason: leaving.reason,
            }));
            self.state = MemberState::Absent(leaving.clone().left(now + backoff));
        }
        self.owned_units.clear();
        self.reset_lease();
        self.appends.clear();
    }

    /// Resets the lease, the witnesses and the watched members, which belonged to an incarnation that
    /// has ended.
    fn reset_lease(&mut self) {
        self.lease = crate::Lease::new(self.cfg.lease);
        self.watched_members.clear();
        self.witnesses = crate::Witnesses::default();
    }

    /// Returns the time after which a read that has not returned what is known to exist counts as lost.
    pub(crate) fn read_overdue_after(&self) -> Duration {
        let members = u32::try_from(self.log.fleet().members().len()).unwrap_or(u32::MAX);
        READ_OVERDUE_AFTER + READ_OVERDUE_PER_MEMBER.saturating_mul(members)
    }

    /// Ends the reads that have not returned records which the log is known to hold.
    pub(crate) fn end_overdue_reads(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let pending = self.appends.len();
        let next = self.log.next_offset();
        let age = self.read_overdue_after();
        if self.overdue_reads.are_due(now, age, next, pending) {
            actions.push(Action::EndOverdueReads { age });
        }
    }

    /// Writes a snapshot of the folded log when it is this member's turn.
    pub(crate) fn write_snapshot(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::SnapshotChunk { .. });
        let is_member = matches!(self.state, MemberState::Active(_));
        if !is_member || !self.needs_snapshot(now) || self.appends.any(is_pending) {
            return;
        }
        let missing_since = *self.schedule.snapshot_missing_since.get_or_insert(now);
        let fleet = self.log.fleet();
        let mut order = fleet.ranked_snapshot_writers().into_iter();
        let Some(turn) = order.position(|vm| *vm == self.cfg.vm) else {
            return;
        };
        let turns = u32::try_from(turn).unwrap_or(u32::MAX);
        let turn_delay = SNAPSHOT_TURN_DELAY.min(self.snapshot_interval() / RETENTION_DIVISOR);
        if self.log.is_healthy(now) && now >= missing_since + turn_delay.saturating_mul(turns) {
            for body in fleet.snapshot_bodies() {
                self.appends.append(now, body, actions);
            }
        }
    }

    /// Reports whether the log lacks a snapshot recent enough to stay within the log's retention.
    fn needs_snapshot(&mut self, now: Duration) -> bool {
        let fleet = self.log.fleet();
        let (through, read) = self.schedule.newest_snapshot;
        if fleet.snapshot_through() != through {
            self.schedule.newest_snapshot = (fleet.snapshot_through(), now);
            self.schedule.snapshot_missing_since = None;
            return false;
        }
        let was_down = self.log.outage_ended_at().is_some_and(|ended| ended > read);
        was_down
            || now >= read + self.snapshot_interval()
            || fleet.records_since_snapshot() >= SNAPSHOT_RECORDS
    }

    fn snapshot_interval(&self) -> Duration {
        let by_retention = self.cfg.retention.map(|time| time / RETENTION_DIVISOR);
        by_retention.map_or(SNAPSHOT_INTERVAL, |time| time.min(SNAPSHOT_INTERVAL))
    }
}
