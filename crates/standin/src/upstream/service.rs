//! The endpoints of the upstream stand-in.

use std::future;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use ids::RequestId;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::Execution;
use crate::ExecutionOutcome;
use crate::UpstreamFaults;
use crate::UpstreamOptions;
use crate::http::Answer;
use crate::http::ConnectionId;
use crate::http::Handler;
use crate::http::json;
use crate::http::message;
use crate::http::parse;
use crate::lock::lock;
use crate::monotonic_us;
use crate::upstream::Admission;
use crate::upstream::Clock;
use crate::upstream::GrantAnswer;
use crate::upstream::GrantOrder;
use crate::upstream::State;
use crate::upstream::UpstreamRequest;
use crate::upstream::answer;

/// Code that the process exits with when a request crashes it.
pub const POISON_EXIT_CODE: i32 = 70;

/// An upstream stand-in.
#[derive(Debug)]
pub(crate) struct UpstreamService {
    pub(crate) clock: Clock,
    pub(crate) instance: String,
    pub(crate) options: UpstreamOptions,
    pub(crate) state: Mutex<State>,
    /// Changes whenever grants change.
    pub(crate) grants_changed: watch::Sender<()>,
}

#[derive(Debug, Deserialize)]
struct Cancellation {
    request_id: RequestId,
}

impl UpstreamService {
    /// Replaces the faults.
    pub(crate) fn set_faults(&self, faults: UpstreamFaults) {
        lock(&self.state).set_faults(faults, self.clock.now_ms());
    }

    fn serve_grants(&self, body: &Bytes) -> Answer {
        let order: GrantOrder = match parse(body) {
            Ok(order) => order,
            Err(answer) => return *answer,
        };
        if order
            .instance
            .as_ref()
            .is_some_and(|instance| *instance != self.instance)
        {
            return message(StatusCode::CONFLICT, "the order is for another instance");
        }
        let mut state = lock(&self.state);
        if !state.grants.apply(order) {
            return message(
                StatusCode::CONFLICT,
                "a later order was taken: raise `sequence`",
            );
        }
        state.counters.grant_orders += 1;
        self.grants_changed.send_replace(());
        let answer = GrantAnswer {
            clock_ms: self.clock.now_ms(),
            instance: self.instance.clone(),
            running: state.running_ungranted(),
        };
        json(StatusCode::OK, &answer)
    }

    fn serve_health(&self) -> Answer {
        let state = lock(&self.state);
        let now_ms = self.clock.now_ms();
        let health = json!({
            "clock_ms": now_ms,
            "draining": state.draining,
            "instance": self.instance,
            "load": state.reported_load(now_ms),
            "running": state.running.len(),
        });
        json(StatusCode::OK, &health)
    }

    fn serve_cancel(&self, body: &Bytes) -> Answer {
        match parse::<Cancellation>(body) {
            Ok(cancellation) => {
                let cancelled = lock(&self.state).cancel(&cancellation.request_id);
                json(StatusCode::OK, &json!({ "cancelled": cancelled }))
            }
            Err(answer) => *answer,
        }
    }

    fn serve_drain(&self, draining: bool) -> Answer {
        let mut state = lock(&self.state);
        state.draining = draining;
        json(StatusCode::OK, &json!({ "running": state.running.len() }))
    }

    async fn serve_request(self: Arc<Self>, req: Request<Bytes>) -> Answer {
        let req = match UpstreamRequest::read(&req) {
            Ok(req) => req,
            Err(text) => return message(StatusCode::BAD_REQUEST, &text),
        };
        let (mut execution, admission) = self.begin(&req);
        if let Some(admission) = admission {
            let outcome = self.work(&req, &admission).await;
            self.finish(&mut execution, outcome, admission.holder.as_deref());
            let late_ms = lock(&self.state).faults.late_ms;
            time::sleep(Duration::from_millis(late_ms)).await;
        }
        answer(
            &mut lock(&self.state),
            &self.instance,
            &req,
            execution.outcome,
        )
    }

    fn begin(&self, req: &UpstreamRequest) -> (Execution, Option<Admission>) {
        let mut state = lock(&self.state);
        let now_ms = self.clock.now_ms();
        let mut execution = self.execution(&mut state, req, now_ms);
        let admission = state.admit(execution.serial, req, now_ms);
        match &admission {
            Ok(_) => execution.end_us = None,
            Err(outcome) => execution.outcome = *outcome,
        }
        if admission.is_ok() && req.poisoned {
            execution.outcome = ExecutionOutcome::Crashed;
            execution.end_us = Some(execution.start_us);
        }
        state.recorder.record(&execution);
        if execution.outcome == ExecutionOutcome::Crashed {
            process::exit(POISON_EXIT_CODE);
        }
        (execution, admission.ok())
    }

    fn execution(&self, state: &mut State, req: &UpstreamRequest, now_ms: u64) -> Execution {
        let start_us = monotonic_us();
        let (unit, fence) = req.grant.clone().unzip();
        Execution {
            capacity: state.warmth.bears(now_ms),
            body_hash: req.body_hash.clone(),
            draining: state.draining,
            end_us: Some(start_us),
            fence,
            instance: self.instance.clone(),
            key: req.key.clone(),
            outcome: ExecutionOutcome::Running,
            request_id: req.id.clone(),
            running: u32::try_from(state.running.len() + 1).unwrap_or(u32::MAX),
            serial: state.recorder.take_serial(),
            start_us,
            unit,
            vm: self.options.vm.clone(),
            workspace: req.workspace.clone(),
            zone: self.options.zone.clone(),
        }
    }

    async fn work(&self, req: &UpstreamRequest, admission: &Admission) -> ExecutionOutcome {
        let work_ms = req.work_ms.unwrap_or(self.options.work_ms);
        let work = Duration::from_millis(work_ms).mul_f64(admission.slowness);
        let mut cancelled = admission.cancelled.clone();
        tokio::select! {
            biased;
            () = self.grant_lapse(admission.holder.as_deref()) => ExecutionOutcome::GrantExpired,
            _ = cancelled.wait_for(|cancelled| *cancelled) => ExecutionOutcome::Cancelled,
            () = deadline(req.deadline_ms) => ExecutionOutcome::DeadlineExceeded,
            () = time::sleep(work) => ExecutionOutcome::Ran,
        }
    }

    /// Returns when the grants of a holder have expired.
    async fn grant_lapse(&self, holder: Option<&str>) {
        let Some(holder) = holder else {
            return future::pending().await;
        };
        let mut changed = self.grants_changed.subscribe();
        loop {
            let expiry_ms = lock(&self.state).grants.expiry_ms(holder);
            let left_ms = expiry_ms.saturating_sub(self.clock.now_ms());
            if left_ms == 0 {
                return;
            }
            tokio::select! {
                () = time::sleep(Duration::from_millis(left_ms)) => {}
                // The sender lives as long as the service.
                _ = changed.changed() => {}
            }
        }
    }

    fn finish(&self, execution: &mut Execution, outcome: ExecutionOutcome, holder: Option<&str>) {
        let mut state = lock(&self.state);
        execution.outcome = outcome;
        let mut end_us = monotonic_us();
        if outcome == ExecutionOutcome::GrantExpired {
            // A process that was stopped notices late that the grant has expired.
            let expiry_ms = holder.map_or(0, |holder| state.grants.expiry_ms(holder));
            end_us = end_us.min(self.clock.machine_us(expiry_ms));
        }
        execution.end_us = Some(end_us.max(execution.start_us));
        state.recorder.record(execution);
        state.end(execution.serial, self.clock.now_ms());
    }

    fn is_silent(&self, connection: ConnectionId) -> bool {
        lock(&self.state).silent.contains(&connection)
    }
}

impl Handler for UpstreamService {
    fn opened(&self, connection: ConnectionId) -> bool {
        let mut state = lock(&self.state);
        let limit = usize::try_from(self.options.connections).unwrap_or(usize::MAX);
        if state.open.len() >= limit {
            state.counters.refused_connections += 1;
            return false;
        }
        state.open.insert(connection);
        let open = u32::try_from(state.open.len()).unwrap_or(u32::MAX);
        state.counters.most_connections = state.counters.most_connections.max(open);
        true
    }

    fn closed(&self, connection: ConnectionId) {
        let mut state = lock(&self.state);
        state.open.remove(&connection);
        state.silent.remove(&connection);
    }

    async fn handle(
        self: Arc<Self>,
        connection: ConnectionId,
        req: Request<Bytes>,
    ) -> Option<Answer> {
        if self.is_silent(connection) {
            return future::pending().await;
        }
        let answer = match req.uri().path() {
            "/v1/cancel" => self.serve_cancel(req.body()),
            "/v1/drain" => self.serve_drain(true),
            "/v1/grants" => self.serve_grants(req.body()),
            "/v1/health" => self.serve_health(),
            "/v1/resume" => self.serve_drain(false),
            // A request runs to its end even when its client has gone.
            _ => task::spawn(Arc::clone(&self).serve_request(req))
                .await
                .ok()?,
        };
        if self.is_silent(connection) {
            return future::pending().await;
        }
        Some(answer)
    }
}

async fn deadline(ms: Option<u64>) {
    match ms {
        Some(ms) => time::sleep(Duration::from_millis(ms)).await,
        None => future::pending().await,
    }
}
