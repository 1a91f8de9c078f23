//! What an agent does with the records that it reads.

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
use crate::Life;
use crate::times::LOST_REWITNESS_DELAY;
use crate::times::REJOIN_BACKOFF;
use crate::times::REJOIN_BACKOFF_MAX;
use crate::times::RETENTION_DIVISOR;
use crate::times::REWITNESS_DELAY;
use crate::times::SNAPSHOT_INTERVAL;
use crate::times::SNAPSHOT_RECORDS;
use crate::times::SNAPSHOT_TURN_DELAY;
use crate::times::STABLE_MEMBERSHIP;

impl Agent {
    /// Reads records, and follows what they say of this member.
    pub(crate) fn read(
        &mut self,
        now: Duration,
        records: &[(Offset, String)],
        actions: &mut Vec<Action>,
    ) {
        let mut any = false;
        for (offset, text) in records {
            let Some(applied) = self.log.apply(*offset, text, actions) else {
                continue;
            };
            any = true;
            if let Some(record) = self.appends.read_back(text) {
                self.read_back(now, *offset, applied, &record, actions);
            }
        }
        if any {
            self.follow(now, actions);
        }
    }

    fn read_back(
        &mut self,
        now: Duration,
        offset: Offset,
        applied: bool,
        record: &Record,
        actions: &mut Vec<Action>,
    ) {
        match (&self.life, &record.body) {
            (Life::Joining(joining), Body::Join(_)) if applied => {
                self.life = Life::Active(joining.clone().joined(now, offset));
                self.schedule.next_rewitness = now + REWITNESS_DELAY;
                self.schedule.next_lost_rewitness = now + LOST_REWITNESS_DELAY;
                let incarnation = offset;
                actions.push(Action::Decide(Decision::Joined { incarnation }));
            }
            (Life::Active(active), Body::Join(_)) if applied => {
                let mut next = active.clone();
                next.incarnation = offset;
                next.since = now;
                self.schedule.next_lost_rewitness = now + LOST_REWITNESS_DELAY;
                self.life = Life::Active(next);
                self.forget_witnesses();
                let incarnation = offset;
                actions.push(Action::Decide(Decision::Joined { incarnation }));
            }
            (Life::Joining(_), Body::Join(_)) => {
                let not_before = now + self.rejoin_pause;
                self.life = Life::Absent(Absent { not_before });
            }
            (_, Body::Move { units, .. }) => {
                let is_named = |unit: &Unit| units.iter().any(|named| named.unit == *unit);
                self.settle_move(is_named, actions);
            }
            _ => {}
        }
    }

    /// Follows what the log says of this member.
    fn follow(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(incarnation) = self.life.incarnation() else {
            return;
        };
        let fleet = self.log.fleet();
        let vm = &self.cfg.vm;
        let member = fleet.members().get(vm);
        if member.is_none_or(|member| member.incarnation != incarnation) {
            self.ended(now, actions);
            return;
        }
        self.witnesses.sync_with_fleet(fleet, vm);
        self.lease.set_electorates(self.witnesses.electorates());
        self.watched_members
            .sync_with_fleet(now, fleet, vm, incarnation);
        if matches!(self.life, Life::Active(_)) {
            let taken = self
                .owned_units
                .sync_with_fleet(now, fleet, vm, incarnation);
            actions.extend(taken.into_iter().map(Action::Decide));
        }
    }

    /// Ends the member, since the log shows that its life is over.
    fn ended(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Life::Active(active) = &self.life {
            let leaving = active.clone().leave(LeaveReason::DeclaredLost);
            self.life = Life::Leaving(leaving);
        }
        if let Life::Leaving(leaving) = &self.life {
            let is_short = now < leaving.since + STABLE_MEMBERSHIP;
            let doubled = (self.rejoin_pause * 2).min(REJOIN_BACKOFF_MAX);
            let pause = if is_short {
                self.rejoin_pause
            } else {
                REJOIN_BACKOFF
            };
            self.rejoin_pause = if is_short { doubled } else { REJOIN_BACKOFF };
            actions.push(Action::Decide(Decision::Left {
                incarnation: leaving.incarnation,
                reason: leaving.reason,
            }));
            self.life = Life::Absent(leaving.clone().left(now + pause));
        }
        self.owned_units.clear();
        self.forget_witnesses();
        self.appends.clear();
    }

    /// Forgets the lease and those who renewed it, which were of a life that is over.
    fn forget_witnesses(&mut self) {
        self.lease = crate::Lease::new(self.cfg.lease);
        self.watched_members.clear();
        self.witnesses = crate::Witnesses::default();
    }

    /// Writes a snapshot of the folded log when it is this member's turn.
    pub(crate) fn write_snapshot(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::SnapshotChunk { .. });
        let is_member = matches!(self.life, Life::Active(_));
        if !is_member || !self.misses_snapshot(now) || self.appends.any(is_pending) {
            return;
        }
        let missing = *self.schedule.snapshot_missing_since.get_or_insert(now);
        let fleet = self.log.fleet();
        let mut order = fleet.snapshot_order().into_iter();
        let Some(turn) = order.position(|vm| *vm == self.cfg.vm) else {
            return;
        };
        let turns = u32::try_from(turn).unwrap_or(u32::MAX);
        let pause = SNAPSHOT_TURN_DELAY.min(self.snapshot_interval() / RETENTION_DIVISOR);
        if self.log.is_healthy(now) && now >= missing + pause.saturating_mul(turns) {
            for body in fleet.snapshot_bodies() {
                self.appends.append(now, body, actions);
            }
        }
    }

    /// Tells whether the log lacks a snapshot that is new enough to outlast its retention.
    fn misses_snapshot(&mut self, now: Duration) -> bool {
        let fleet = self.log.fleet();
        let (through, read) = self.schedule.newest_snapshot;
        if fleet.snapshot_through() != through {
            self.schedule.newest_snapshot = (fleet.snapshot_through(), now);
            self.schedule.snapshot_missing_since = None;
            return false;
        }
        let was_down = self.log.ended_outage().is_some_and(|ended| ended > read);
        was_down
            || now >= read + self.snapshot_interval()
            || fleet.records_since_snapshot() >= SNAPSHOT_RECORDS
    }

    fn snapshot_interval(&self) -> Duration {
        let by_retention = self.cfg.retention.map(|time| time / RETENTION_DIVISOR);
        by_retention.map_or(SNAPSHOT_INTERVAL, |time| time.min(SNAPSHOT_INTERVAL))
    }
}
