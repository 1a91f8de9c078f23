//! Joining, leaving and stopping of an agent.

use std::time::Duration;

use cluster::Body;
use cluster::DRIFT_MARGIN;
use cluster::Join;

use crate::Action;
use crate::Agent;
use crate::Announcement;
use crate::LeaveReason;
use crate::MemberState;
use crate::times::LEASE_LOST_AFTER;

impl Agent {
    /// Performs the due steps of the member's life cycle.
    pub(crate) fn advance_lifecycle(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match &self.state {
            MemberState::Absent(absent) if self.may_join(now, absent.not_before) => {
                if self.must_publish_own_rollout(now, actions) {
                    self.publish_declarations(now, actions);
                } else {
                    self.join(now, actions);
                }
            }
            MemberState::Absent(_) | MemberState::Joining(_) => {
                // After a restart of all processes, none is a member yet. The first manifest is left to members, so that
                // all of them share the units.
                if self.log.fleet().revision() > 0 {
                    self.publish_declarations(now, actions);
                }
            }
            MemberState::Active(_)
                if !self.is_joined_for_upstream()
                    || self.has_too_many_ranges(now)
                    || self.owned_units.has_reverted() =>
            {
                self.rejoin(now, actions);
            }
            MemberState::Active(_) => {
                self.append_drained_state(now, actions);
                self.publish_declarations(now, actions);
                self.replace_witnesses(now, actions);
                if !self.upstream.polls_grants() {
                    self.plan_moves_and_pins(now, actions);
                }
                self.leave_if_needed(now, actions);
            }
            MemberState::Leaving(_) => self.append_leave(now, actions),
        }
    }

    /// Reports whether the process may join. The `Join` ends an earlier incarnation of this VM, so the
    /// grants of that incarnation must have ended before.
    fn may_join(&self, now: Duration, not_before: Duration) -> bool {
        let mut members = self.log.fleet().members().values();
        let is_earlier = members
            .any(|member| member.join.vm == self.cfg.vm || member.join.peer == self.cfg.peer);
        let has_upstream = self.upstream.accepted().is_some() && !self.upstream.is_silent();
        let polls = self.upstream.polls_grants();
        self.stop_deadline.is_none()
            && now >= not_before
            && (!is_earlier || polls || now > self.cfg.lease + DRIFT_MARGIN)
            && has_upstream
            && (polls || self.upstream.has_released_all())
            && self.log.is_healthy(now)
    }

    fn join(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (MemberState::Absent(absent), Some(accepted)) = (&self.state, self.upstream.accepted())
        else {
            return;
        };
        let joining = absent.clone().join();
        let body = Body::Join(self.join_record(accepted));
        self.appends.append(now, body, actions);
        self.state = MemberState::Joining(joining);
    }

    /// Joins under a new incarnation, because the upstream has restarted, the member's ranges do not fit
    /// into one answer, or units need new fences.
    fn rejoin(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::Join(_));
        let Some(accepted) = self.upstream.accepted() else {
            return;
        };
        let body = Body::Join(self.join_record(accepted));
        if self.appends.any(is_pending) || self.stop_deadline.is_some() || !self.log.is_healthy(now)
        {
            return;
        }
        if self.must_publish_own_rollout(now, actions) {
            self.publish_declarations(now, actions);
            return;
        }
        self.appends.append(now, body, actions);
    }

    fn join_record(&self, accepted: &Announcement) -> Join {
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
            version: accepted.version.clone(),
            vm: self.cfg.vm.clone(),
            zone: self.cfg.zone.clone(),
        }
    }

    /// Starts to leave when the lease is lost for good, the upstream is silent, or a stop is due.
    fn leave_if_needed(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let MemberState::Active(active) = &self.state else {
            return;
        };
        let lease_end = self.lease.latest_end().unwrap_or(active.joined_at);
        let reason = if self.lease.is_lost() && now >= lease_end + LEASE_LOST_AFTER {
            LeaveReason::LeaseLost
        } else if self.upstream.is_silent() {
            LeaveReason::UpstreamSilent
        } else if self.is_done_moving(now) {
            LeaveReason::Stopped
        } else {
            return;
        };
        self.state = MemberState::Leaving(active.clone().leave(reason));
        let units = self.owned_units.drain_all();
        if !units.is_empty() {
            actions.push(Action::Drain { units });
        }
    }

    /// Reports whether a stop was requested and no more units can be handed over: none is left to
    /// move, or half of the time for the stop has passed. While the log is unhealthy nobody could take the
    /// units over, so they are served on.
    fn is_done_moving(&self, now: Duration) -> bool {
        let Some(deadline) = self.stop_deadline else {
            return false;
        };
        let is_late = now + self.cfg.stop_timeout / 2 >= deadline && self.log.is_healthy(now);
        let is_done = self.schedule.has_nothing_to_move && !self.owned_units.is_handing_over();
        is_late || is_done
    }

    /// Appends the `Leave` once no request runs any more.
    fn append_leave(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let MemberState::Leaving(leaving) = &mut self.state else {
            return;
        };
        let is_fenced = self.upstream.is_silent() && self.upstream.checks_grants();
        let is_idle = self.owned_units.is_drained() || is_fenced;
        if leaving.is_leave_appended || !is_idle || !self.upstream.has_released_all() {
            return;
        }
        leaving.is_leave_appended = true;
        let body = Body::Leave {
            vm: self.cfg.vm.clone(),
            incarnation: leaving.incarnation,
        };
        self.appends.append(now, body, actions);
    }

    /// Lets the process exit once it is no longer a member, or the deadline of the stop has passed.
    pub(crate) fn complete_stop(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(deadline) = self.stop_deadline.filter(|_| !self.is_stopped) else {
            return;
        };
        if matches!(self.state, MemberState::Absent(_)) || now >= deadline {
            self.is_stopped = true;
            actions.push(Action::Stopped);
        }
    }
}
