//! HTTP endpoints of the upstream stand-in.

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
use crate::http::ConnectionId;
use crate::http::Handler;
use crate::http::HttpResponse;
use crate::http::json_response;
use crate::http::message_response;
use crate::http::parse_json;
use crate::lock::lock;
use crate::monotonic_us;
use crate::upstream::Admission;
use crate::upstream::Clock;
use crate::upstream::GrantOrder;
use crate::upstream::GrantResponse;
use crate::upstream::State;
use crate::upstream::UpstreamRequest;
use crate::upstream::build_response;

/// Exit code of the process when a request crashes it.
pub const POISON_EXIT_CODE: i32 = 70;

/// HTTP handler and state of an upstream stand-in.
#[derive(Debug)]
pub(crate) struct UpstreamService {
    pub(crate) clock: Clock,
    pub(crate) instance: String,
    pub(crate) options: UpstreamOptions,
    pub(crate) state: Mutex<State>,
    /// Notifies running requests when grants change.
    pub(crate) grants_changed: watch::Sender<()>,
}

#[derive(Debug, Deserialize)]
struct CancelRequest {
    request_id: RequestId,
}

impl UpstreamService {
    /// Replaces the injected faults.
    pub(crate) fn set_faults(&self, faults: UpstreamFaults) {
        lock(&self.state).set_faults(faults, self.clock.now_ms());
    }

    fn serve_grants(&self, body: &Bytes) -> HttpResponse {
        let order: GrantOrder = match parse_json(body) {
            Ok(order) => order,
            Err(response) => return *response,
        };
        if order
            .instance
            .as_ref()
            .is_some_and(|instance| *instance != self.instance)
        {
            return message_response(StatusCode::CONFLICT, "the order is for another instance");
        }
        let mut state = lock(&self.state);
        if !state.grants.apply(order) {
            return message_response(
                StatusCode::CONFLICT,
                "a later order was taken: raise `sequence`",
            );
        }
        state.counters.grant_orders += 1;
        self.grants_changed.send_replace(());
        let response = GrantResponse {
            clock_ms: self.clock.now_ms(),
            instance: self.instance.clone(),
            running: state.count_ungranted_requests(),
        };
        json_response(StatusCode::OK, &response)
    }

    fn serve_health(&self) -> HttpResponse {
        let state = lock(&self.state);
        let now_ms = self.clock.now_ms();
        let health = json!({
            "clock_ms": now_ms,
            "draining": state.draining,
            "instance": self.instance,
            "load": state.reported_load(now_ms),
            "running": state.running.len(),
        });
        json_response(StatusCode::OK, &health)
    }

    fn serve_cancel(&self, body: &Bytes) -> HttpResponse {
        match parse_json::<CancelRequest>(body) {
            Ok(req) => {
                let cancelled = lock(&self.state).cancel(&req.request_id);
                json_response(StatusCode::OK, &json!({ "cancelled": cancelled }))
            }
            Err(response) => *response,
        }
    }

    fn serve_drain(&self, draining: bool) -> HttpResponse {
        let mut state = lock(&self.state);
        state.draining = draining;
        json_response(StatusCode::OK, &json!({ "running": state.running.len() }))
    }

    async fn serve_request(self: Arc<Self>, req: Request<Bytes>) -> HttpResponse {
        let req = match UpstreamRequest::parse(&req) {
            Ok(req) => req,
            Err(text) => return message_response(StatusCode::BAD_REQUEST, &text),
        };
        let (mut execution, admission) = self.start_execution(&req);
        if let Some(admission) = admission {
            let outcome = self.run(&req, &admission).await;
            self.finish_execution(&mut execution, outcome, admission.holder.as_deref());
            let late_ms = lock(&self.state).faults.late_ms;
            time::sleep(Duration::from_millis(late_ms)).await;
        }
        build_response(
            &mut lock(&self.state),
            &self.instance,
            &req,
            execution.outcome,
        )
    }

    fn start_execution(&self, req: &UpstreamRequest) -> (Execution, Option<Admission>) {
        let mut state = lock(&self.state);
        let now_ms = self.clock.now_ms();
        let mut execution = self.new_execution(&mut state, req, now_ms);
        let admission = state.admit(execution.serial, req, now_ms);
        match &admission {
            Ok(_) => execution.end_us = None,
            Err(outcome) => execution.outcome = *outcome,
        }
        if admission.is_ok() && req.is_poisoned {
            execution.outcome = ExecutionOutcome::Crashed;
            execution.end_us = Some(execution.start_us);
        }
        state.recorder.record(&execution);
        if execution.outcome == ExecutionOutcome::Crashed {
            process::exit(POISON_EXIT_CODE);
        }
        (execution, admission.ok())
    }

    fn new_execution(&self, state: &mut State, req: &UpstreamRequest, now_ms: u64) -> Execution {
        let start_us = monotonic_us();
        let (unit, fence) = req.grant.clone().unzip();
        Execution {
            capacity: state.warm_up.capacity(now_ms),
            body_hash: req.body_hash.clone(),
            draining: state.draining,
            end_us: Some(start_us),
            fence,
            instance: self.instance.clone(),
            key: req.key.clone(),
            outcome: ExecutionOutcome::Running,
            request_id: req.id.clone(),
            running: u32::try_from(state.running.len() + 1).unwrap_or(u32::MAX),
            serial: state.recorder.allocate_serial(),
            start_us,
            unit,
            vm: self.options.vm.clone(),
            workspace: req.workspace.clone(),
            zone: self.options.zone.clone(),
        }
    }

    async fn run(&self, req: &UpstreamRequest, admission: &Admission) -> ExecutionOutcome {
        let work_ms = req.work_ms.unwrap_or(self.options.work_ms);
        let work = Duration::from_millis(work_ms).mul_f64(admission.work_factor);
        let mut cancelled = admission.cancelled.clone();
        tokio::select! {
            biased;
            () = self.wait_for_grant_expiry(admission.holder.as_deref()) => ExecutionOutcome::GrantExpired,
            _ = cancelled.wait_for(|cancelled| *cancelled) => ExecutionOutcome::Cancelled,
            () = wait_for_deadline(req.deadline_ms) => ExecutionOutcome::DeadlineExceeded,
            () = time::sleep(work) => ExecutionOutcome::Ran,
        }
    }

    /// Waits until the grants of a holder have expired, or forever when there is no holder.
    async fn wait_for_grant_expiry(&self, holder: Option<&str>) {
        let Some(holder) = holder else {
            return future::pending().await;
        };
        let mut grants_changed = self.grants_changed.subscribe();
        loop {
            let expiry_ms = lock(&self.state).grants.expiry_ms(holder);
            let remaining_ms = expiry_ms.saturating_sub(self.clock.now_ms());
            if remaining_ms == 0 {
                return;
            }
            tokio::select! {
                () = time::sleep(Duration::from_millis(remaining_ms)) => {}
                // An error is impossible: the sender is dropped only with the service.
                _ = grants_changed.changed() => {}
            }
        }
    }

    fn finish_execution(
        &self,
        execution: &mut Execution,
        outcome: ExecutionOutcome,
        holder: Option<&str>,
    ) {
        let mut state = lock(&self.state);
        execution.outcome = outcome;
        let mut end_us = monotonic_us();
        if outcome == ExecutionOutcome::GrantExpired {
            // A process that was paused detects the expiry late, so the recorded end is at most the time of expiry.
            let expiry_ms = holder.map_or(0, |holder| state.grants.expiry_ms(holder));
            end_us = end_us.min(self.clock.to_monotonic_us(expiry_ms));
        }
        execution.end_us = Some(end_us.max(execution.start_us));
        state.recorder.record(execution);
        state.remove_request(execution.serial, self.clock.now_ms());
    }

    fn is_silent(&self, connection: ConnectionId) -> bool {
        lock(&self.state).silent_connections.contains(&connection)
    }
}

impl Handler for UpstreamService {
    fn accept_connection(&self, connection: ConnectionId) -> bool {
        let mut state = lock(&self.state);
        let limit = usize::try_from(self.options.connections).unwrap_or(usize::MAX);
        if state.open_connections.len() >= limit {
            state.counters.refused_connections += 1;
            return false;
        }
        state.open_connections.insert(connection);
        let open = u32::try_from(state.open_connections.len()).unwrap_or(u32::MAX);
        state.counters.most_connections = state.counters.most_connections.max(open);
        true
    }

    fn connection_closed(&self, connection: ConnectionId) {
        let mut state = lock(&self.state);
        state.open_connections.remove(&connection);
        state.silent_connections.remove(&connection);
    }

    async fn handle(
        self: Arc<Self>,
        connection: ConnectionId,
        req: Request<Bytes>,
    ) -> Option<HttpResponse> {
        if self.is_silent(connection) {
            return future::pending().await;
        }
        let response = match req.uri().path() {
            "/v1/cancel" => self.serve_cancel(req.body()),
            "/v1/drain" => self.serve_drain(true),
            "/v1/grants" => self.serve_grants(req.body()),
            "/v1/health" => self.serve_health(),
            "/v1/resume" => self.serve_drain(false),
            // Runs in its own task so that the request completes even after the client disconnects.
            _ => task::spawn(Arc::clone(&self).serve_request(req))
                .await
                .ok()?,
        };
        if self.is_silent(connection) {
            return future::pending().await;
        }
        Some(response)
    }
}

async fn wait_for_deadline(ms: Option<u64>) {
    match ms {
        Some(ms) => time::sleep(Duration::from_millis(ms)).await,
        None => future::pending().await,
    }
}
