//! Planning of moves and pins, and handing units over.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Body;
use cluster::RolloutState;
use cluster::VersionRole;
use cluster::plan_moves;
use cluster::plan_pins;
use cluster::plan_trial_moves;
use cluster::plan_unpins;
use ids::Unit;
use ids::VmId;

use crate::Action;
use crate::Agent;
use crate::Decision;
use crate::Destination;
use crate::MemberState;
use crate::MoveReason;
use crate::schedule::is_due;
use crate::times::EVACUATION_BUDGET;
use crate::times::EVACUATION_PLAN_INTERVAL;
use crate::times::MAX_RANGES;
use crate::times::MOVE_BUDGET;
use crate::times::MOVE_BUDGET_DIVISOR;
use crate::times::MOVE_PLAN_INTERVAL;
use crate::times::POLLED_MOVE_PLAN_INTERVAL;

impl Agent {
    /// Plans moves and pins. None starts while the log is unhealthy or the lease does not hold. Unless
    /// the upstream polls its grants, none starts while other moves are in progress either.
    pub(crate) fn plan_moves_and_pins(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_steady = self.log.is_healthy(now) && self.lease.holds(now);
        let polls = self.upstream.polls_grants();
        if !is_steady || (self.owned_units.is_handing_over() && !polls) {
            return;
        }
        let is_evacuating = self.is_evacuating(now);
        let interval = match (is_evacuating, polls) {
            (true, _) => EVACUATION_PLAN_INTERVAL,
            (false, true) => POLLED_MOVE_PLAN_INTERVAL,
            (false, false) => MOVE_PLAN_INTERVAL,
        };
        // The interval depends on the present state, as an evacuation may begin soon after a plan that balances load.
        let last_plan = self.schedule.last_move_plan;
        if last_plan.is_some_and(|last_plan| now < last_plan + interval) {
            self.plan_trial(now, actions);
            return;
        }
        self.schedule.last_move_plan = Some(now);
        self.loads.budget = if is_evacuating {
            EVACUATION_BUDGET
        } else {
            MOVE_BUDGET.max(self.owned_units.len() / MOVE_BUDGET_DIVISOR)
        };
        self.loads.stopping = self.stop_deadline.is_some() || self.upstream.is_draining();
        self.loads.pending_zones = self.pending_zones(now);
        self.loads.max_shards = polls.then_some(MAX_RANGES);
        self.loads.moves_heavy_units = self.cfg.places_by_cost;
        self.loads.tolerance = self.cfg.load_tolerance;
        let moves = plan_moves(self.log.fleet(), &self.cfg.vm, &self.loads);
        let is_idle = !self.hand_over(moves, actions);
        self.schedule.has_nothing_to_move = is_idle;
        if !is_evacuating && !polls {
            self.plan_pins(now, actions);
        }
    }

    /// Reports whether the member moves all its units to other members.
    pub(crate) fn is_evacuating(&self, now: Duration) -> bool {
        let fleet = self.log.fleet();
        let member = fleet.members().get(&self.cfg.vm);
        self.stop_deadline.is_some()
            || self.upstream.is_draining()
            || member.is_some_and(|member| !self.pending_zones(now).is_candidate(fleet, member))
    }

    /// Plans the moves of units on trial between two plans that balance load. A trial may last for a few seconds only.
    fn plan_trial(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let fleet = self.log.fleet();
        let service = self.upstream.accepted().map(|accepted| &accepted.service);
        let rollout = service.and_then(|service| fleet.rollout(service));
        let is_on_trial = rollout.is_some_and(|rollout| rollout.state == RolloutState::Trial);
        if is_on_trial && is_due(&mut self.schedule.next_trial_plan, now, MOVE_PLAN_INTERVAL) {
            let moves = plan_trial_moves(fleet, &self.cfg.vm, &self.loads);
            self.hand_over(moves, actions);
        }
    }

    /// Starts to hand units over to other members. Reports whether there are any.
    fn hand_over(&mut self, moves: Vec<(VmId, Vec<Unit>)>, actions: &mut Vec<Action>) -> bool {
        let fleet = self.log.fleet();
        let mut plan = BTreeMap::new();
        for (vm, units) in moves {
            let Some(member) = fleet.members().get(&vm) else {
                continue;
            };
            let incarnation = member.incarnation;
            let to = Destination { incarnation, vm };
            plan.extend(units.into_iter().map(|unit| (unit, Some(to.clone()))));
        }
        let units = self.owned_units.drain(&plan);
        if self.upstream.polls_grants() {
            // An upstream that polls its grants ends running requests before it reports a range as
            // released.
            self.owned_units.finish_drain(&units);
        }
        let has_units = !units.is_empty();
        if has_units {
            actions.push(Action::Drain { units });
        }
        has_units
    }

    fn plan_pins(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::Pin { .. } | Body::Unpin { .. });
        let Some(incarnation) = self.state.incarnation() else {
            return;
        };
        if self.appends.any(is_pending) {
            return;
        }
        let vm = self.cfg.vm.clone();
        let fleet = self.log.fleet();
        let pins = plan_pins(fleet, &vm, &self.loads, &self.key_loads);
        let unpins = plan_unpins(fleet, &vm, &self.loads);
        for unit in pins {
            if let Unit::Pinned { service, key } = unit {
                let vm = vm.clone();
                let body = Body::Pin {
                    vm,
                    incarnation,
                    service,
                    key,
                };
                self.appends.append(now, body, actions);
            }
        }
        for unit in unpins {
            if let Unit::Pinned { service, key } = unit {
                let vm = vm.clone();
                let body = Body::Unpin {
                    vm,
                    incarnation,
                    service,
                    key,
                };
                self.appends.append(now, body, actions);
            }
        }
    }

    /// Appends a `Move` for units on which no request runs any more.
    pub(crate) fn append_moves(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let MemberState::Active(active) = &self.state else {
            return;
        };
        let incarnation = active.incarnation;
        while let Some((to, units)) = self.owned_units.next_revoked_batch(&self.upstream) {
            let reason = self.move_reason(now, &to.vm);
            self.owned_units.mark_moving(&units);
            for moved in &units {
                actions.push(Action::LogDecision(Decision::Moved {
                    fence: moved.fence,
                    reason,
                    to: to.vm.clone(),
                    unit: moved.unit.clone(),
                }));
            }
            let handovers = units.iter().filter_map(|moved| {
                let handover = self.handovers.remove(&moved.unit)?;
                Some((moved.unit.clone(), handover))
            });
            let handovers = handovers.collect();
            let body = Body::Move {
                from: self.cfg.vm.clone(),
                handovers,
                incarnation,
                to: to.vm,
                to_incarnation: to.incarnation,
                units,
            };
            self.appends.append(now, body, actions);
        }
    }

    fn move_reason(&self, now: Duration, to: &VmId) -> MoveReason {
        let fleet = self.log.fleet();
        let is_current = |vm: &VmId| {
            let member = fleet.members().get(vm);
            member.is_none_or(|member| fleet.version_role(member) == VersionRole::Current)
        };
        match self.is_evacuating(now) {
            _ if self.stop_deadline.is_some() => MoveReason::Stopping,
            _ if !is_current(&self.cfg.vm) || !is_current(to) => MoveReason::Rollout,
            true => MoveReason::TakenOut,
            false => MoveReason::Balance,
        }
    }

    /// Resumes serving the units that a `Move` named but did not move, unless the member is leaving.
    pub(crate) fn resume_unmoved_units(
        &mut self,
        is_named: impl Fn(&Unit) -> bool,
        actions: &mut Vec<Action>,
    ) {
        if !matches!(self.state, MemberState::Active(_)) {
            return;
        }
        let fleet = self.log.fleet();
        let vm = &self.cfg.vm;
        let is_mine = |unit: &Unit| fleet.owner(unit).is_some_and(|owner| owner.vm == *vm);
        let units = self
            .owned_units
            .cancel_handovers(|unit, _| is_named(unit) && is_mine(unit));
        if !units.is_empty() {
            actions.push(Action::Undrain { units });
        }
    }
}
