//! How an agent joins, leaves and stops.

use std::time::Duration;

use cluster::Body;
use cluster::DRIFT_MARGIN;
use cluster::Join;

use crate::Action;
use crate::Agent;
use crate::Announcement;
use crate::Decision;
use crate::LeaveReason;
use crate::Life;
use crate::times::LEASE_LOST_AFTER;
use crate::times::STOP_DEADLINE;

impl Agent {
    /// Takes the steps of the member's life cycle that have become due.
    pub(crate) fn live(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match &self.life {
            Life::Absent(absent) if self.may_join(now, absent.not_before) => {
                self.join(now, actions);
            }
            Life::Absent(_) | Life::Joining(_) => {}
            Life::Active(_) if !self.is_joined_for_upstream() || self.has_too_many_ranges(now) => {
                self.join_anew(now, actions);
            }
            Life::Active(_) => {
                self.announce_draining(now, actions);
                self.publish(now, actions);
                self.rewitness(now, actions);
                if !self.upstream.polls_grants() {
                    self.plan(now, actions);
                }
                self.guard(now, actions);
            }
            Life::Leaving(_) => self.leave(now, actions),
        }
    }

    /// Tells whether the process may join. An earlier life of this VM ends with the `Join`, so its
    /// grants must have ended before.
    fn may_join(&self, now: Duration, not_before: Duration) -> bool {
        let mut members = self.log.fleet().members().values();
        let is_earlier = members
            .any(|member| member.join.vm == self.cfg.vm || member.join.peer == self.cfg.peer);
        let has_upstream = self.upstream.accepted().is_some() && !self.upstream.is_silent();
        let polls = self.upstream.polls_grants();
        self.stop.is_none()
            && now >= not_before
            && (!is_earlier || polls || now > self.cfg.lease + DRIFT_MARGIN)
            && has_upstream
            && (polls || self.upstream.has_released_all())
            && self.log.is_healthy(now)
    }

    fn join(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (Life::Absent(absent), Some(accepted)) = (&self.life, self.upstream.accepted()) else {
            return;
        };
        let joining = absent.clone().join();
        let body = Body::Join(self.statement(accepted));
        self.appends.append(now, body, actions);
        self.life = Life::Joining(joining);
    }

    /// Joins as a new life, since the upstream has begun one.
    fn join_anew(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::Join(_));
        let Some(accepted) = self.upstream.accepted() else {
            return;
        };
        if self.appends.any(is_pending) || self.stop.is_some() || !self.log.is_healthy(now) {
            return;
        }
        let body = Body::Join(self.statement(accepted));
        self.appends.append(now, body, actions);
    }

    fn statement(&self, accepted: &Announcement) -> Join {
        Join {
            connections: accepted.connections,
            instance: if accepted.polls_grants {
                accepted.instance.clone()
            } else {
                String::new()
            },
            lease_ms: u64::try_from(self.cfg.lease.as_millis()).unwrap_or(u64::MAX),
            peer: self.cfg.peer,
            region: self.cfg.region.clone(),
            service: accepted.service.clone(),
            slots: accepted.slots,
            vm: self.cfg.vm.clone(),
            zone: self.cfg.zone.clone(),
        }
    }

    /// Ends the member when its lease is lost for good, its upstream is silent, or a stop is due.
    fn guard(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Life::Active(active) = &self.life else {
            return;
        };
        let lease_end = self.lease.latest_end().unwrap_or(active.since);
        let reason = if self.lease.is_lost() && now >= lease_end + LEASE_LOST_AFTER {
            LeaveReason::LeaseLost
        } else if self.upstream.is_silent() {
            LeaveReason::UpstreamSilent
        } else if self.is_done_moving(now) {
            LeaveReason::Stopped
        } else {
            return;
        };
        self.life = Life::Leaving(active.clone().leave(reason));
        let units = self.owned_units.drain_all();
        if !units.is_empty() {
            actions.push(Action::Drain { units });
        }
    }

    /// Tells whether a stop was asked for, and no unit can be handed over any more.
    fn is_done_moving(&self, now: Duration) -> bool {
        let Some(deadline) = self.stop else {
            return false;
        };
        let is_late = now + STOP_DEADLINE / 2 >= deadline;
        let is_done = self.schedule.has_nothing_to_move && !self.owned_units.is_handing_over();
        is_late || is_done
    }

    /// Appends the `Leave` once nothing runs any more.
    fn leave(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Life::Leaving(leaving) = &mut self.life else {
            return;
        };
        let is_fenced = self.upstream.is_silent() && self.upstream.checks_orders();
        let is_idle = self.owned_units.is_drained() || is_fenced;
        if leaving.appended || !is_idle || !self.upstream.has_released_all() {
            return;
        }
        leaving.appended = true;
        let body = Body::Leave {
            vm: self.cfg.vm.clone(),
            incarnation: leaving.incarnation,
        };
        self.appends.append(now, body, actions);
    }

    /// Lets the process exit once it is no member any more, or the deadline of the stop has passed.
    pub(crate) fn finish(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(deadline) = self.stop.filter(|_| !self.stopped) else {
            return;
        };
        if matches!(self.life, Life::Absent(_)) || now >= deadline {
            self.stopped = true;
            actions.push(Action::Stopped);
        }
    }

    /// Reports what has changed since the last report.
    pub(crate) fn report(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let holds = self.lease.holds(now);
        if let Some(incarnation) = self.life.incarnation()
            && holds != self.last_report.lease_held
        {
            actions.push(Action::Decide(Decision::lease(holds, incarnation)));
        }
        self.last_report.lease_held = holds;
        let informed = self.is_informed(now);
        if informed != self.last_report.is_informed {
            self.last_report.is_informed = informed;
            actions.push(Action::Decide(Decision::informed(informed)));
        }
        let fleet = self.log.fleet();
        let versions = (fleet.plans_version(), fleet.workspaces_version());
        if versions != self.last_report.versions {
            self.last_report.versions = versions;
            actions.push(Action::Decide(Decision::ConfigurationInForce {
                plans: versions.0,
                workspaces: versions.1,
            }));
        }
        let accepted = self.upstream.accepted();
        let instance = accepted.map(|accepted| accepted.instance.clone());
        if instance != self.last_report.instance {
            self.last_report.instance.clone_from(&instance);
            let accepted = instance.map(|instance| Decision::UpstreamAccepted { instance });
            actions.extend(accepted.map(Action::Decide));
        }
    }
}
