//! Check-ins of an upstream that polls its grants.

use std::time::Duration;

use cluster::Body;

use crate::Action;
use crate::Agent;
use crate::CheckIn;
use crate::CheckInAnswer;
use crate::Life;
use crate::times::MAX_RANGES;
use crate::times::REFENCE_INTERVAL;

impl Agent {
    /// Takes a check-in, and answers it with what the upstream is to hold.
    pub(crate) fn check_in(
        &mut self,
        now: Duration,
        check_in: &CheckIn,
        actions: &mut Vec<Action>,
    ) {
        if !self.upstream.record_check_in(now, check_in) {
            let answer = CheckInAnswer::nothing(check_in.id);
            actions.push(Action::AnswerCheckIn(answer));
            return;
        }
        for (unit, handover) in &check_in.handovers {
            self.handovers.insert(unit.clone(), handover.clone());
        }
        self.advance(now, actions);
        if matches!(self.life, Life::Active(_)) {
            self.plan(now, actions);
        }
        let may_grant = self.life.may_grant() && self.is_joined_for_upstream();
        let lease_end = self.lease.end().filter(|_| may_grant);
        let wanted = self.owned_units.desired_grants();
        let answer = self
            .upstream
            .answer_check_in(now, check_in.id, lease_end, wanted);
        actions.push(Action::AnswerCheckIn(answer));
        self.advance(now, actions);
    }

    /// Tells whether the membership was joined for this life of the upstream. The units of another life need new fences
    /// first.
    pub(crate) fn is_joined_for_upstream(&self) -> bool {
        let Some(accepted) = self.upstream.accepted().filter(|one| one.polls_grants) else {
            return true;
        };
        let member = self.log.fleet().members().get(&self.cfg.vm);
        member.is_some_and(|member| {
            member.join.instance == accepted.instance
                && self.life.incarnation() == Some(member.incarnation)
        })
    }

    /// Tells whether the ranges of the member, neighbours under one fence joined, do not fit into an answer. A new life has
    /// one fence for all of them.
    pub(crate) fn has_too_many_ranges(&self, now: Duration) -> bool {
        let Life::Active(active) = &self.life else {
            return false;
        };
        self.upstream.polls_grants()
            && now >= active.since + REFENCE_INTERVAL
            && self.owned_units.desired_grants().range_count() > MAX_RANGES
    }

    /// Tells the fleet that the upstream begins, or no longer is about, to stop.
    pub(crate) fn announce_draining(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(accepted) = self.upstream.accepted().filter(|one| one.polls_grants) else {
            return;
        };
        let vm = self.cfg.vm.clone();
        let fleet = self.log.fleet();
        let drained = self.upstream.is_draining();
        let is_pending = |body: &Body| matches!(body, Body::Upstream { .. });
        if accepted.service.is_empty()
            || fleet.drained(&vm) == drained
            || self.appends.any(is_pending)
            || !matches!(self.life, Life::Active(_))
        {
            return;
        }
        let base = fleet.upstream_version(&vm);
        let body = Body::Upstream { vm, drained, base };
        self.appends.append(now, body, actions);
    }
}
