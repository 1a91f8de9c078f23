//! State of an upstream stand-in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::RequestId;
use ids::Unit;
use tokio::sync::watch;

use crate::ExecutionOutcome;
use crate::UpstreamCounters;
use crate::UpstreamFaults;
use crate::http::ConnectionId;
use crate::upstream::Grants;
use crate::upstream::LoadHistory;
use crate::upstream::Recorder;
use crate::upstream::RunningRequest;
use crate::upstream::UpstreamRequest;
use crate::upstream::WarmUp;

/// Mutable state of an upstream stand-in.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) checks_orders: bool,
    pub(crate) counters: UpstreamCounters,
    pub(crate) draining: bool,
    pub(crate) faults: UpstreamFaults,
    pub(crate) grants: Grants,
    pub(crate) last_response: Option<(RequestId, serde_json::Value)>,
    pub(crate) load_history: LoadHistory,
    pub(crate) open_connections: BTreeSet<ConnectionId>,
    pub(crate) recorder: Recorder,
    pub(crate) running: BTreeMap<u64, RunningRequest>,
    pub(crate) silent_connections: BTreeSet<ConnectionId>,
    pub(crate) warm_up: WarmUp,
}

/// Admission of a request that may run.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) cancelled: watch::Receiver<bool>,
    /// Holder of the grant, absent when the request needs no grant.
    pub(crate) holder: Option<String>,
    /// Factor by which the work time of the request is multiplied.
    pub(crate) work_factor: f64,
}

impl State {
    /// Admits a request, or returns the outcome of a request that may not start.
    pub(crate) fn admit(
        &mut self,
        serial: u64,
        req: &UpstreamRequest,
        now_ms: u64,
    ) -> Result<Admission, ExecutionOutcome> {
        let holder = self.grant_holder(req, now_ms)?;
        let capacity = self.warm_up.capacity(now_ms);
        let running = u32::try_from(self.running.len() + 1).unwrap_or(u32::MAX);
        let is_overloaded = running > capacity;
        self.counters.overloads += u64::from(is_overloaded);
        if self.faults.sheds_all || (is_overloaded && !self.faults.accepts_overload) {
            return Err(ExecutionOutcome::Shed);
        }
        let overload_factor = (f64::from(running) / f64::from(capacity)).max(1.0);
        let (cancel, cancelled) = watch::channel(false);
        let request = RunningRequest {
            cancelled: cancel,
            grant: req.grant.clone(),
            id: req.id.clone(),
        };
        self.running.insert(serial, request);
        self.record_load(now_ms);
        Ok(Admission {
            cancelled,
            holder,
            work_factor: overload_factor * self.faults.straggle_factor,
        })
    }

    fn grant_holder(
        &self,
        req: &UpstreamRequest,
        now_ms: u64,
    ) -> Result<Option<String>, ExecutionOutcome> {
        let Some((unit, fence)) = &req.grant else {
            return Ok(None);
        };
        if !self.checks_orders {
            return Ok(None);
        }
        self.grants
            .holder(unit, *fence)
            .filter(|holder| now_ms < self.grants.expiry_ms(holder))
            .map(|holder| Some(holder.to_owned()))
            .ok_or(ExecutionOutcome::NotGranted)
    }

    /// Removes a request that has ended.
    pub(crate) fn remove_request(&mut self, serial: u64, now_ms: u64) {
        self.running.remove(&serial);
        self.record_load(now_ms);
    }

    /// Cancels a request and reports whether it was running.
    pub(crate) fn cancel(&self, id: &RequestId) -> bool {
        let mut was_running = false;
        for request in self.running.values().filter(|request| request.id == *id) {
            request.cancelled.send_replace(true);
            was_running = true;
        }
        was_running
    }

    /// Counts the running requests whose unit and fence are not granted, by unit.
    pub(crate) fn count_ungranted_requests(&self) -> BTreeMap<Unit, u32> {
        let mut counts = BTreeMap::new();
        for (unit, fence) in self
            .running
            .values()
            .filter_map(|request| request.grant.as_ref())
        {
            if self.grants.holder(unit, *fence).is_none() {
                *counts.entry(unit.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Replaces the injected faults.
    pub(crate) fn set_faults(&mut self, faults: UpstreamFaults, now_ms: u64) {
        if faults.silence_connections {
            self.silent_connections.append(&mut self.open_connections);
        }
        if faults.turn_cold {
            self.warm_up.started_ms = now_ms;
        }
        self.faults = UpstreamFaults {
            silence_connections: false,
            turn_cold: false,
            ..faults
        };
    }

    /// Returns the load to report, between 0 and 1.
    pub(crate) fn reported_load(&self, now_ms: u64) -> f64 {
        let at_ms = now_ms.saturating_sub(self.faults.load_lag_ms);
        self.faults
            .load
            .unwrap_or_else(|| self.load_history.load_at(at_ms))
    }

    fn record_load(&mut self, now_ms: u64) {
        self.load_history
            .record(now_ms, self.running.len(), self.warm_up.slots);
    }
}
