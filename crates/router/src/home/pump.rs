//! Start of requests that wait for the local upstream.

use policy::ArrivedRequest;
use policy::Completion;
use policy::PopResult;
use policy::QueuedRequest;
use policy::Reason;
use policy::StartDecision;
use policy::Ticket;
use std::sync::Arc;
use std::time::Duration;

use crate::home::Home;
use crate::home::home_state::HomeState;
use crate::home::home_state::Running;
use crate::home::messages::refused;
use crate::home::permit::Permit;
use crate::home::waiting::Waiting;
use crate::view::View;

/// Starts requests that wait, under the lock of the home, while the upstream can take them.
pub(crate) struct Pump<'a> {
    home: &'a Arc<Home>,
    now: Duration,
    state: &'a mut HomeState,
    view: Arc<View>,
}

impl<'a> Pump<'a> {
    pub(crate) fn new(home: &'a Arc<Home>, state: &'a mut HomeState) -> Self {
        let view = home.shared.view();
        let now = home.shared.clock.now();
        state.use_upstream(now, &view, &home.shared);
        Self {
            home,
            now,
            state,
            view,
        }
    }

    /// Starts as many requests as the upstream can take.
    pub(crate) fn run(mut self) {
        while self.state.limiter.in_flight() < self.state.limiter.limit(self.now)
            && self.state.cold.allows(self.now)
        {
            let Some(queued) = self.next() else {
                return;
            };
            if let Some(held) = self.start(queued) {
                self.state.held = Some(held);
                return;
            }
        }
    }

    /// Returns the request to start next, and refuses those whose deadline has passed.
    fn next(&mut self) -> Option<QueuedRequest<Waiting>> {
        if let Some(held) = self.state.held.take() {
            return Some(held);
        }
        let PopResult { expired, next } = self.state.queue.pop(self.now);
        for queued in expired {
            refuse_late(self.now, queued);
        }
        next
    }

    /// Starts a request, or returns it when it is held back by what runs.
    fn start(&mut self, queued: QueuedRequest<Waiting>) -> Option<QueuedRequest<Waiting>> {
        if queued.item.tx.is_closed() {
            return None;
        }
        if let Some(reason) = self.obstacle(&queued.item) {
            refuse(queued, reason);
            return None;
        }
        let ticket = self.state.limiter.acquire(self.now)?;
        let fingerprint = &queued.item.fingerprint;
        match self.state.suspects.try_start(self.now, ticket, fingerprint) {
            StartDecision::Started => {
                self.state.cold.record_sent(self.now);
                self.hand_out(ticket, queued);
                None
            }
            StartDecision::Refused => {
                self.give_back(ticket);
                refuse(queued, Reason::Quarantined);
                None
            }
            StartDecision::Wait => {
                self.state.suspects.cancel_wait(ticket);
                self.give_back(ticket);
                Some(queued)
            }
        }
    }

    /// Returns why a request may not go to the upstream at this moment, if so.
    fn obstacle(&self, waiting: &Waiting) -> Option<Reason> {
        if !self.view.is_informed {
            return Some(Reason::Uninformed);
        }
        if self.state.has_left(self.now) {
            return Some(Reason::Stopping);
        }
        let fleet = &self.view.fleet;
        let tenant_key = waiting.tenant_key.as_ref();
        if tenant_key.is_some_and(|prefix| !fleet.accepts_key(prefix, waiting.entry_offset)) {
            return Some(Reason::KeyWithdrawn);
        }
        let (unit, fence) = waiting.grant.as_ref()?;
        if self.state.not_held.contains(unit) {
            return Some(Reason::LeaseLapsed);
        }
        if self.view.serving.get(unit) != Some(fence) {
            return Some(Reason::NotOwner);
        }
        let holds = self.home.shared.lease.holds(self.now);
        (!holds).then_some(Reason::LeaseLapsed)
    }

    fn give_back(&mut self, ticket: Ticket) {
        let limiter = &mut self.state.limiter;
        limiter.release(self.now, ticket, Completion::Cancelled);
    }

    fn hand_out(&mut self, ticket: Ticket, queued: QueuedRequest<Waiting>) {
        let unit = queued.item.grant.map(|(unit, _)| unit);
        if let Some(unit) = &unit {
            self.state.book.started(unit);
        }
        let running = Running {
            fingerprint: queued.item.fingerprint,
            key: queued.item.key,
            arrived: queued.item.arrived,
            target_latency: queued.item.target_latency,
            unit,
            workspace: queued.workspace,
        };
        self.state.running.insert(ticket, running);
        let permit = Permit::new(Arc::clone(self.home), self.now, ticket);
        // The permit takes the lock when it is dropped, so a receiver that has gone drops it outside of the lock.
        if let Err(unused) = queued.item.tx.send(Ok(permit)) {
            tokio::spawn(async move { drop(unused) });
        }
    }
}

/// Refuses a request that has waited for too long.
pub(crate) fn refuse_late(now: Duration, queued: QueuedRequest<Waiting>) {
    let reason = if now >= queued.item.deadline {
        Reason::DeadlinePassed
    } else {
        Reason::Overloaded
    };
    refuse(queued, reason);
}

/// Refuses a request that has not started.
pub(crate) fn refuse(queued: QueuedRequest<Waiting>, reason: Reason) {
    let statement = ArrivedRequest::new(queued.id).refuse(reason, None);
    let _ = queued.item.tx.send(Err(refused(&statement)));
}
