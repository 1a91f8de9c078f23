//! Starting of requests that wait for the local upstream.

use std::sync::Arc;
use std::time::Duration;

use policy::ArrivedRequest;
use policy::Completion;
use policy::PopResult;
use policy::QueuedRequest;
use policy::Reason;
use policy::RunningParent;
use policy::StartDecision;
use policy::Ticket;

use crate::home::Home;
use crate::home::granted_unit::GrantedUnit;
use crate::home::home_state::HomeState;
use crate::home::home_state::RunningRequest;
use crate::home::messages::encode_statement;
use crate::home::permit::Permit;
use crate::home::waiting_request::WaitingRequest;
use crate::view::View;

/// Starts waiting requests while the upstream has capacity. The caller holds the lock of the home.
pub(crate) struct RequestStarter<'a> {
    home: &'a Arc<Home>,
    now: Duration,
    state: &'a mut HomeState,
    view: Arc<View>,
}

impl<'a> RequestStarter<'a> {
    pub(crate) fn new(home: &'a Arc<Home>, state: &'a mut HomeState) -> Self {
        let view = home.shared.view();
        let now = home.shared.clock.now();
        state.update_upstream(now, &view, home);
        state.apply_answer_reports(now, home.shared.limits.drain());
        Self {
            home,
            now,
            state,
            view,
        }
    }

    /// Starts as many requests as the upstream has capacity for.
    pub(crate) fn run(mut self) {
        while self.state.has_capacity(self.now) {
            let Some(queued) = self.next() else {
                return;
            };
            if let Some(blocked) = self.start(queued) {
                self.state.blocked = Some(blocked);
                return;
            }
        }
    }

    /// Returns the request to start next, and refuses those whose time in the queue has run out.
    fn next(&mut self) -> Option<QueuedRequest<WaitingRequest>> {
        if let Some(blocked) = self.state.blocked.take() {
            return Some(blocked);
        }
        let PopResult { expired, next } = self.state.queue.pop(self.now);
        for queued in expired {
            refuse_expired(self.now, queued);
        }
        next
    }

    /// Starts or refuses a request, or returns it if it must wait for requests that run.
    fn start(
        &mut self,
        queued: QueuedRequest<WaitingRequest>,
    ) -> Option<QueuedRequest<WaitingRequest>> {
        if queued.item.tx.is_closed() {
            return None;
        }
        let unit = match self.authorize(&queued.item) {
            Ok(unit) => unit,
            Err(reason) => {
                refuse(queued, reason);
                return None;
            }
        };
        let ticket = self.state.limiter.acquire(self.now)?;
        let fingerprint = &queued.item.fingerprint;
        match self.state.suspects.try_start(self.now, ticket, fingerprint) {
            StartDecision::Started => {
                self.state.start_rate.record_sent(self.now);
                self.state.evidence.record_start(self.now);
                self.grant_permit(ticket, unit, queued);
                None
            }
            StartDecision::Refused => {
                self.release_ticket(ticket);
                refuse(queued, Reason::Quarantined);
                None
            }
            StartDecision::Wait => {
                self.state.suspects.cancel_wait(ticket);
                self.release_ticket(ticket);
                Some(queued)
            }
        }
    }

    /// Returns the unit under which a request may be sent to the upstream now, or the reason why it may not be sent.
    fn authorize(&self, waiting: &WaitingRequest) -> Result<Option<GrantedUnit>, Reason> {
        if !self.view.is_informed {
            return Err(Reason::Uninformed);
        }
        if self.state.is_drain_time_over(self.now) {
            return Err(Reason::Stopping);
        }
        if !self.view.is_zone_open(self.now) {
            return Err(Reason::ZoneOut);
        }
        if !self.view.is_version_open(self.now) {
            return Err(Reason::Stopping);
        }
        let fleet = &self.view.fleet;
        let (offset, revision) = (waiting.entry_offset, waiting.entry_revision);
        let tenant_key = waiting.tenant_key.as_ref();
        if tenant_key.is_some_and(|prefix| !fleet.accepts_key(prefix, offset, revision)) {
            return Err(match self.view.is_up_to_date {
                true => Reason::KeyWithdrawn,
                false => Reason::Uninformed,
            });
        }
        let Some(granted) = GrantedUnit::verify(&self.view, waiting)? else {
            return Ok(None);
        };
        let is_held = !self.state.not_held.contains(granted.unit());
        if is_held && self.home.shared.lease.holds(self.now) {
            Ok(Some(granted))
        } else {
            Err(Reason::LeaseLapsed)
        }
    }

    fn release_ticket(&mut self, ticket: Ticket) {
        let limiter = &mut self.state.limiter;
        limiter.release(self.now, ticket, Completion::Cancelled);
    }

    fn grant_permit(
        &mut self,
        ticket: Ticket,
        unit: Option<GrantedUnit>,
        queued: QueuedRequest<WaitingRequest>,
    ) {
        if let Some(unit) = &unit {
            self.state.units.record_start(unit.unit());
        }
        if let Some(route) = &queued.item.route {
            self.home.lock_forecast().record_parent(self.now, route);
        }
        let bound = self.view.request_deadline.filter(|_| unit.is_some());
        let deadline = queued.item.deadline;
        let running = RunningRequest {
            fingerprint: queued.item.fingerprint,
            key: queued.item.key,
            parent: RunningParent {
                deadline: bound.map_or(deadline, |bound| bound.min(deadline)),
                id: queued.id,
                is_repeatable: queued.item.is_idempotent,
                rank: queued.rank,
                route: queued.item.route,
            },
            arrived_at: queued.item.arrived_at,
            target_latency: queued.item.target_latency,
            unit,
            workspace: queued.workspace,
        };
        self.state.running.insert(ticket, running);
        let permit = Permit::new(Arc::clone(self.home), self.now, ticket);
        // Dropping a permit locks the home, which is already locked here. If the receiver was dropped, the permit is
        // therefore dropped in another task.
        if let Err(unused) = queued.item.tx.send(Ok(permit)) {
            tokio::spawn(async move { drop(unused) });
        }
    }
}

/// Refuses a request that has waited too long.
pub(crate) fn refuse_expired(now: Duration, queued: QueuedRequest<WaitingRequest>) {
    let reason = if now >= queued.item.deadline {
        Reason::DeadlinePassed
    } else {
        Reason::Overloaded
    };
    refuse(queued, reason);
}

/// Refuses a request that has not started.
pub(crate) fn refuse(queued: QueuedRequest<WaitingRequest>, reason: Reason) {
    refuse_until(queued, reason, None);
}

/// Refuses a request that has not started, and states after which time the upstream may have capacity for it.
pub(crate) fn refuse_until(
    queued: QueuedRequest<WaitingRequest>,
    reason: Reason,
    retry_after: Option<Duration>,
) {
    let statement = ArrivedRequest::new(queued.id).refuse(reason, retry_after);
    let _ = queued.item.tx.send(Err(encode_statement(&statement)));
}
