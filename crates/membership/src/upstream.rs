//! The local upstream and its grants.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::DRIFT_MARGIN;
use ids::Fence;
use ids::Unit;

use crate::Action;
use crate::Announcement;
use crate::DesiredGrants;
use crate::Grant;
use crate::GrantAnswer;
use crate::InFlightGrant;
use crate::UpstreamHealth;
use crate::UpstreamProcess;
use crate::times::GRANT_RENEWAL_ADVANCE;
use crate::times::GRANT_TIMEOUT;
use crate::times::POLLED_SILENCE_TIMEOUT;
use crate::times::REVOKE_POLL_INTERVAL;
use crate::times::UPSTREAM_SILENCE_TIMEOUT;

/// The local upstream and its grants.
///
/// At most one grant is in flight. A grant that was not answered may have taken effect, so its units
/// count as held until they are revoked or the grant has expired.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) accepted: Option<Announcement>,
    candidate: Option<Announcement>,
    pub(crate) confirmed: BTreeMap<Unit, Fence>,
    confirmed_until: Duration,
    pub(crate) draining: bool,
    pub(crate) health: UpstreamHealth,
    pub(crate) held: BTreeMap<Unit, Fence>,
    pub(crate) held_until: Duration,
    holder: String,
    in_flight: Option<InFlightGrant>,
    /// Latest expiry of the grants of the process that ran before this one.
    pub(crate) inherited_until: Duration,
    pub(crate) last_check_in: u64,
    next_revoke_poll: Duration,
    /// Revisions of the desired and the confirmed grants that were last found to agree.
    reconciled: Option<(u64, u64)>,
    /// Whether the next grant must replace all grants of the holder.
    resync: bool,
    /// Increases whenever `confirmed` changes.
    pub(crate) revision: u64,
    sequence: u64,
    /// Whether another instance has answered in place of the accepted one.
    superseded: bool,
}

impl Upstream {
    /// Records an announcement. A new instance of the upstream is accepted once the grants of the
    /// previous one have ended.
    pub(crate) fn record_announcement(&mut self, now: Duration, mut announcement: Announcement) {
        self.health.record_announcement(now);
        if let Some(accepted) = &self.accepted
            && accepted.instance == announcement.instance
        {
            announcement.keep_version_of(accepted);
            self.accepted = Some(announcement);
            self.candidate = None;
            self.superseded = false;
        } else {
            self.candidate = Some(announcement);
        }
    }

    /// Drops the grants that have expired, and accepts a new instance of the upstream if the grants of the previous one have
    /// ended.
    pub(crate) fn update_instance(&mut self, now: Duration) {
        self.expire_grants(now);
        if !self.polls_grants() {
            self.accept_candidate();
        }
    }

    fn accept_candidate(&mut self) {
        if self.candidate.is_some() && self.held.is_empty() {
            self.accepted = self.candidate.take();
            self.draining = false;
            self.clear_confirmed();
            self.health.reset();
            self.resync = true;
            self.superseded = false;
            self.in_flight = None;
        }
    }

    pub(crate) fn clear_confirmed(&mut self) {
        self.confirmed.clear();
        self.revision += 1;
    }

    /// Records that the upstream refused a connection.
    pub(crate) fn record_connection_loss(&mut self, now: Duration) {
        if self.polls_grants() {
            return;
        }
        self.clear_confirmed();
        self.health.record_failure(now);
        self.resync = true;
    }

    /// Records a sample of the upstream's clock.
    pub(crate) fn record_clock_sample(&mut self, now: Duration, instance: &str, clock_ms: u64) {
        if self.is_instance(instance) {
            self.health.record_clock_sample(now, clock_ms);
        } else {
            self.superseded = true;
        }
    }

    pub(crate) fn is_instance(&self, instance: &str) -> bool {
        let accepted = self.accepted.as_ref();
        accepted.is_some_and(|accepted| accepted.instance == instance)
    }

    /// Handles the answer to the grant in flight.
    pub(crate) fn handle_grant_answer(&mut self, now: Duration, answer: &GrantAnswer) {
        let is_current =
            |in_flight: &mut InFlightGrant| in_flight.grant.sequence == answer.sequence;
        let Some(InFlightGrant {
            grant, lease_end, ..
        }) = self.in_flight.take_if(is_current)
        else {
            return;
        };
        if !self.is_instance(&answer.instance) {
            self.superseded = true;
            return;
        }
        self.health.record_clock_sample(now, answer.clock_ms);
        self.confirmed_until = lease_end;
        self.confirm(grant, answer);
    }

    fn confirm(&mut self, grant: Grant, answer: &GrantAnswer) {
        self.revision += 1;
        if grant.all {
            self.confirmed.clear();
        }
        for unit in &grant.revoked {
            self.confirmed.remove(unit);
            if answer.running.get(unit).is_none_or(|running| *running == 0) {
                self.held.remove(unit);
            }
        }
        let granted = grant.granted.into_iter();
        self.confirmed
            .extend(granted.map(|granted| (granted.unit, granted.fence)));
    }

    /// Handles the failure of the grant in flight.
    pub(crate) fn handle_grant_failure(&mut self, now: Duration, sequence: u64) {
        let is_current = |in_flight: &mut InFlightGrant| in_flight.grant.sequence == sequence;
        if self.in_flight.take_if(is_current).is_some() {
            self.health.record_failure(now);
            self.resync = true;
        }
    }

    /// Sends the grant that makes the upstream's grants equal to `desired`, with an expiry at the end
    /// of the lease.
    pub(crate) fn advance(
        &mut self,
        now: Duration,
        holder: &str,
        lease_end: Option<Duration>,
        desired: &DesiredGrants,
        actions: &mut Vec<Action>,
    ) {
        if self.polls_grants() {
            return;
        }
        self.time_out_grant(now);
        if !self.checks_grants() {
            self.confirm_unchecked(desired);
            return;
        }
        if self.accepted.is_none() || self.is_superseded() || self.in_flight.is_some() {
            return;
        }
        if self.health.sample(now).is_none() {
            self.health.probe(now, actions);
            return;
        }
        let holds = lease_end.is_some_and(|end| end > now);
        let end = lease_end.filter(|_| holds).unwrap_or(now);
        let no_grants = DesiredGrants::default();
        let desired = if holds { desired } else { &no_grants };
        if self.held.is_empty() {
            holder.clone_into(&mut self.holder);
        }
        if let Some(grant) = self.next_grant(now, end, desired) {
            self.send(now, grant, end, actions);
        }
    }

    fn is_superseded(&self) -> bool {
        self.superseded || self.candidate.is_some()
    }

    fn time_out_grant(&mut self, now: Duration) {
        let is_late = |in_flight: &InFlightGrant| now >= in_flight.sent_at + GRANT_TIMEOUT;
        if let Some(in_flight) = self
            .in_flight
            .as_ref()
            .filter(|in_flight| is_late(in_flight))
        {
            self.handle_grant_failure(now, in_flight.grant.sequence);
        }
    }

    /// Drops the grants that have expired in the upstream's clock. A grant with a later expiry would
    /// revive them, so the next grant replaces all grants.
    fn expire_grants(&mut self, now: Duration) {
        if self.has_expired(now) && !self.held.is_empty() {
            self.resync = true;
            self.held.clear();
            self.clear_confirmed();
        }
    }

    /// Reports whether all grants that the upstream may hold have expired.
    pub(crate) fn has_expired(&self, now: Duration) -> bool {
        now > self.held_until.max(self.inherited_until) + DRIFT_MARGIN
    }

    fn next_grant(
        &mut self,
        now: Duration,
        lease_end: Duration,
        desired: &DesiredGrants,
    ) -> Option<Grant> {
        let renews =
            !desired.units.is_empty() && lease_end >= self.confirmed_until + GRANT_RENEWAL_ADVANCE;
        let revisions = (desired.revision, self.revision);
        let is_empty = desired.units.is_empty() && self.held.is_empty();
        if is_empty || (self.reconciled == Some(revisions) && !self.resync && !renews) {
            return None;
        }
        let all = self.resync;
        let granted = desired.missing(&self.confirmed, all);
        let is_unwanted = |unit: &&Unit| !desired.units.contains_key(*unit);
        let revoked: Vec<Unit> = self.held.keys().filter(is_unwanted).cloned().collect();
        if granted.is_empty() && revoked.is_empty() {
            self.reconciled = Some(revisions);
        }
        let revokes = !revoked.is_empty() && now >= self.next_revoke_poll;
        if !all && granted.is_empty() && !revokes && !renews {
            return None;
        }
        let sample = self.health.sample(now)?;
        Some(Grant {
            all,
            expiry_ms: sample.expiry_ms(lease_end),
            granted,
            holder: self.holder.clone(),
            instance: self.accepted.as_ref()?.instance.clone(),
            revoked,
            sequence: self.sequence + 1,
        })
    }

    /// Counts the desired grants as confirmed, for an upstream that does not check grants.
    fn confirm_unchecked(&mut self, desired: &DesiredGrants) {
        let revisions = (desired.revision, self.revision);
        if self.reconciled != Some(revisions) {
            self.confirmed.clone_from(&desired.units);
            self.revision += 1;
            self.reconciled = Some((desired.revision, self.revision));
        }
    }

    fn send(&mut self, now: Duration, grant: Grant, end: Duration, actions: &mut Vec<Action>) {
        let granted = grant.granted.iter();
        self.held
            .extend(granted.map(|granted| (granted.unit.clone(), granted.fence)));
        self.held_until = self.held_until.max(end);
        self.next_revoke_poll = now + REVOKE_POLL_INTERVAL;
        self.resync &= !grant.all;
        self.sequence = grant.sequence;
        actions.push(Action::Grant(grant.clone()));
        self.in_flight = Some(InFlightGrant {
            grant,
            lease_end: end,
            sent_at: now,
        });
    }

    /// Returns a number that increases whenever the confirmed grants change.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Reports whether the upstream has confirmed the grant of a unit.
    pub(crate) fn has_confirmed(&self, unit: &Unit, fence: Fence) -> bool {
        self.confirmed.get(unit) == Some(&fence)
    }

    /// Reports whether the upstream holds no grant of a unit, so that it can run no requests on it.
    pub(crate) fn has_released(&self, unit: &Unit) -> bool {
        !self.held.contains_key(unit)
    }

    /// Returns the latest expiry of the grants that this process has made, in its clock.
    pub(crate) fn held_until(&self) -> Duration {
        self.held_until
    }

    /// Reports whether the upstream holds no grants, so that it can run no requests on any unit.
    pub(crate) fn has_released_all(&self) -> bool {
        self.held.is_empty()
    }

    /// Checks whether the upstream has been silent for too long.
    pub(crate) fn tick(&mut self, now: Duration, was_paused: bool) {
        let silence_timeout = if self.polls_grants() {
            POLLED_SILENCE_TIMEOUT
        } else {
            UPSTREAM_SILENCE_TIMEOUT
        };
        self.health.tick(now, was_paused, silence_timeout);
    }

    /// Records that a process of the upstream has ended or is about to end.
    pub(crate) fn record_leave(&mut self, process: &UpstreamProcess) {
        let accepted = self.accepted.as_ref();
        if accepted.is_some_and(|accepted| accepted.process() == *process) {
            self.draining = true;
        }
    }

    /// Reports whether the upstream is about to stop.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining
    }

    /// Reports whether the upstream polls its grants.
    pub(crate) fn polls_grants(&self) -> bool {
        let accepted = self.accepted.as_ref();
        accepted.is_some_and(|accepted| accepted.polls_grants)
    }

    /// Reports whether the upstream is silent, or no upstream has been accepted.
    pub(crate) fn is_silent(&self) -> bool {
        self.accepted.is_none() || self.health.is_silent()
    }

    /// Reports whether the upstream checks grants.
    pub(crate) fn checks_grants(&self) -> bool {
        let accepted = self.accepted.as_ref();
        accepted.is_none_or(|accepted| accepted.checks_grants)
    }

    /// Returns the announcement of the accepted upstream.
    pub(crate) fn accepted(&self) -> Option<&Announcement> {
        self.accepted.as_ref()
    }
}
