//! Handling of the records that an agent reads from the log.

use std::time::Duration;

use cluster::Body;
use cluster::Record;
use ids::Offset;
use ids::Unit;

use crate::Absent;
use crate::Action;
use crate::Agent;
use crate::Decision;
use crate::LeaveReason;
use crate::MemberState;
use crate::times::LONG_LIFE;
use crate::times::LOST_SETTLING_TIME;
use crate::times::REJOIN_PAUSE;
use crate::times::REJOIN_PAUSE_MAX;
use crate::times::RETENTION_PART;
use crate::times::SETTLING_TIME;
use crate::times::SNAPSHOT_INTERVAL;
use crate::times::SNAPSHOT_RECORDS;
use crate::times::SNAPSHOT_TURN;

impl Agent {
    /// Applies records of the log, and updates this member from them.
    pub(crate) fn apply_records(
        &mut self,
        now: Duration,
        records: &[(Offset, String)],
        actions: &mut Vec<Action>,
    ) {
        let mut any_applied = false;
        for (offset, text) in records {
            let Some(applied) = self.log.apply(*offset, text, actions) else {
                continue;
            };
            any_applied = true;
            if let Some(record) = self.appends.read_back(text) {
                self.handle_own_record(now, *offset, applied, &record, actions);
            }
        }
        if any_applied {
            self.update_from_log(now, actions);
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
                self.pace.rewitness = now + SETTLING_TIME;
                self.pace.rewitness_lost = now + LOST_SETTLING_TIME;
                let incarnation = offset;
                actions.push(Action::LogDecision(Decision::Joined { incarnation }));
            }
            (MemberState::Active(active), Body::Join(_)) if applied => {
                let mut next = active.clone();
                next.incarnation = offset;
                next.joined_at = now;
                self.pace.rewitness_lost = now + LOST_SETTLING_TIME;
                self.state = MemberState::Active(next);
                self.reset_lease();
                let incarnation = offset;
                actions.push(Action::LogDecision(Decision::Joined { incarnation }));
            }
            (MemberState::Joining(_), Body::Join(_)) => {
                let not_before = now + self.rejoin_pause;
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
        self.witnesses.follow(fleet, vm);
        self.lease.need(self.witnesses.quorums());
        self.watches.follow(now, fleet, vm, incarnation);
        if matches!(self.state, MemberState::Active(_)) {
            let acquired = self.holdings.follow(now, fleet, vm, incarnation);
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
            let is_short = now < leaving.joined_at + LONG_LIFE;
            let doubled = (self.rejoin_pause * 2).min(REJOIN_PAUSE_MAX);
            let pause = if is_short {
                self.rejoin_pause
            } else {
                REJOIN_PAUSE
            };
            self.rejoin_pause = if is_short { doubled } else { REJOIN_PAUSE };
            actions.push(Action::LogDecision(Decision::Left {
                incarnation: leaving.incarnation,
                reason: leaving.reason,
            }));
            self.state = MemberState::Absent(leaving.clone().left(now + pause));
        }
        self.holdings.clear();
        self.reset_lease();
        self.appends.clear();
    }

    /// Resets the lease, the witnesses and the watched members, which belonged to an incarnation that
    /// has ended.
    fn reset_lease(&mut self) {
        self.lease = crate::Lease::new(self.cfg.lease);
        self.watches.clear();
        self.witnesses = crate::Witnesses::default();
    }

    /// Writes a snapshot of the folded log when it is this member's turn.
    pub(crate) fn write_snapshot(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::SnapshotChunk { .. });
        let is_member = matches!(self.state, MemberState::Active(_));
        if !is_member || !self.needs_snapshot(now) || self.appends.any(is_pending) {
            return;
        }
        let missing = *self.pace.snapshot_missing.get_or_insert(now);
        let fleet = self.log.fleet();
        let mut order = fleet.ranked_snapshot_writers().into_iter();
        let Some(turn) = order.position(|vm| *vm == self.cfg.vm) else {
            return;
        };
        let turns = u32::try_from(turn).unwrap_or(u32::MAX);
        let pause = SNAPSHOT_TURN.min(self.snapshot_interval() / RETENTION_PART);
        if self.log.is_healthy(now) && now >= missing + pause.saturating_mul(turns) {
            for body in fleet.snapshot_bodies() {
                self.appends.append(now, body, actions);
            }
        }
    }

    /// Reports whether the log lacks a snapshot recent enough to stay within the log's retention.
    fn needs_snapshot(&mut self, now: Duration) -> bool {
        let fleet = self.log.fleet();
        let (through, read) = self.pace.snapshot_read;
        if fleet.snapshot_through() != through {
            self.pace.snapshot_read = (fleet.snapshot_through(), now);
            self.pace.snapshot_missing = None;
            return false;
        }
        let was_down = self.log.outage_ended_at().is_some_and(|ended| ended > read);
        was_down
            || now >= read + self.snapshot_interval()
            || fleet.records_since_snapshot() >= SNAPSHOT_RECORDS
    }

    fn snapshot_interval(&self) -> Duration {
        let by_retention = self.cfg.retention.map(|time| time / RETENTION_PART);
        by_retention.map_or(SNAPSHOT_INTERVAL, |time| time.min(SNAPSHOT_INTERVAL))
    }
}
