//! Check-ins of an upstream that polls its grants.

use std::time::Duration;

use cluster::Body;
use cluster::Fleet;
use ids::ServiceId;

use crate::Action;
use crate::Agent;
use crate::CheckIn;
use crate::CheckInAnswer;
use crate::MemberState;
use crate::OperatorDeclarations;
use crate::times::MAX_RANGES;
use crate::times::REFENCE_INTERVAL;

impl Agent {
    /// Handles a check-in, and answers it with the units that the upstream is to hold.
    pub(crate) fn handle_check_in(
        &mut self,
        now: Duration,
        check_in: &CheckIn,
        actions: &mut Vec<Action>,
    ) {
        let (log, declarations) = (&self.log, &self.declarations);
        let is_declared = |service: &ServiceId| is_declared(log.fleet(), declarations, service);
        let is_first = self.upstream.accepted().is_none();
        let recorded = self.upstream.record_check_in(now, check_in, is_declared);
        if let Err(rejection) = recorded {
            let answer = CheckInAnswer::rejected(check_in.id, rejection);
            actions.push(Action::AnswerCheckIn(answer));
            return;
        }
        actions.push(Action::RecordUpstreamState {
            process: check_in.announcement.process(),
            warm_up_left: check_in.warm_up_left,
        });
        if is_first {
            self.upstream.set_inherited_until(now + self.cfg.lease);
        }
        for (unit, handover) in &check_in.handovers {
            self.handovers.insert(unit.clone(), handover.clone());
        }
        self.advance(now, actions);
        if matches!(self.state, MemberState::Active(_)) {
            self.plan_moves_and_pins(now, actions);
        }
        let may_grant = self.state.may_grant() && self.is_joined_for_upstream();
        let lease_end = self.lease.end().filter(|_| may_grant);
        let desired = self.owned_units.desired_grants();
        let answer = self
            .upstream
            .answer_check_in(now, check_in.id, lease_end, desired);
        actions.push(Action::AnswerCheckIn(answer));
        self.advance(now, actions);
    }

    /// Reports whether the member joined for the version of the current upstream, and if that polls its grants, for its
    /// current process. After such an upstream restarts, the units need new fences first. After another version starts, the
    /// units may belong to other members.
    pub(crate) fn is_joined_for_upstream(&self) -> bool {
        let Some(accepted) = self.upstream.accepted() else {
            return true;
        };
        let Some(member) = self.log.fleet().members().get(&self.cfg.vm) else {
            return !accepted.polls_grants;
        };
        let has_instance = member.join.instance == accepted.instance
            && self.state.incarnation() == Some(member.incarnation);
        member.join.version == accepted.version && (has_instance || !accepted.polls_grants)
    }

    /// Reports whether the member's ranges do not fit into one answer, although adjacent ranges under the same fence
    /// count as one. A new incarnation has one fence for all of its ranges.
    pub(crate) fn has_too_many_ranges(&self, now: Duration) -> bool {
        let MemberState::Active(active) = &self.state else {
            return false;
        };
        self.upstream.polls_grants()
            && now >= active.joined_at + REFENCE_INTERVAL
            && self.owned_units.desired_grants().range_count() > MAX_RANGES
    }

    /// Records in the log that the upstream is about to stop, or no longer is.
    pub(crate) fn append_drained_state(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(accepted) = self
            .upstream
            .accepted()
            .filter(|upstream| upstream.polls_grants)
        else {
            return;
        };
        let vm = self.cfg.vm.clone();
        let fleet = self.log.fleet();
        let drained = self.upstream.is_draining();
        let is_pending = |body: &Body| matches!(body, Body::Upstream { .. });
        if accepted.service.is_empty()
            || fleet.is_drained(&vm) == drained
            || self.appends.any(is_pending)
            || !matches!(self.state, MemberState::Active(_))
        {
            return;
        }
        let base = fleet.upstream_version(&vm);
        let body = Body::Upstream { vm, drained, base };
        self.appends.append(now, body, actions);
    }
}

/// Reports whether the manifest in force or the newest one declares a service. Before the first manifest, any service may turn
/// out to be declared.
fn is_declared(fleet: &Fleet, declarations: &OperatorDeclarations, service: &ServiceId) -> bool {
    let declared = declarations.manifest.as_deref();
    let declared = declared.map(|manifest| &manifest.plans);
    let in_force = fleet.is_configured().then(|| fleet.plans());
    let mut manifests = in_force.into_iter().chain(declared).peekable();
    manifests.peek().is_none() || manifests.any(|plans| plans.services.contains_key(service))
}
