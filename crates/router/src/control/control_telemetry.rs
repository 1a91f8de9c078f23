//! Metrics and decision log lines of the control thread.

use std::time::Duration;

use membership::Decision;
use serde::Serialize;
use telemetry::Dependency;
use telemetry::JSON_LINE_TARGET;

use crate::clock::milliseconds;
use crate::clock::unix_ms;
use crate::control::ControlLoop;

#[derive(Serialize)]
struct DecisionLine<'a> {
    time_unix_ms: u64,
    vm: &'a str,
    #[serde(flatten)]
    decision: &'a Decision,
}

impl ControlLoop {
    pub(super) fn publish_gauges(&self) {
        let (queued, running) = self.parts.home.count_requests();
        let metrics = &self.parts.shared.metrics;
        metrics.set_gauge("home_queued", queued as u64);
        metrics.set_gauge("home_running", u64::from(running));
        let upstream = self.parts.home.upstream();
        let reports = upstream.as_ref().map(|upstream| &upstream.reports);
        let rate = reports.and_then(|reports| reports.requests_per_second());
        let connections = upstream.map_or(0, |upstream| upstream.client.open_connections());
        metrics.set_gauge("upstream_connections", connections as u64);
        metrics.set_gauge("upstream_limited", u64::from(rate.is_some()));
        let millis = (rate.unwrap_or_default() * 1_000.0) as u64;
        metrics.set_gauge("upstream_limit_millis", millis);
        let agent = &self.parts.agent;
        metrics.set_gauge("revision_declared", agent.declared_revision());
        metrics.set_gauge(
            "revision_in_force",
            self.parts.shared.view().fleet.revision(),
        );
        metrics.set_gauge("revision_recorded", agent.fleet().revision());
        if let Some(until) = agent.knows_declarations_until() {
            let age = self.parts.shared.clock.now().saturating_sub(until);
            metrics.set_gauge("declarations_age_ms", milliseconds(age));
        }
        metrics.set_gauge("log_next", agent.fleet().next_offset());
        metrics.set_gauge(
            "units_serving",
            self.parts.agent.serving_units().len() as u64,
        );
        for dependency in [
            Dependency::Log,
            Dependency::LogWrites,
            Dependency::Operators,
            Dependency::Peer,
            Dependency::Upstream,
        ] {
            let lost = self.parts.shared.count_unavailable(dependency) as u64;
            metrics.set_gauge(&format!("lost_{}", dependency.as_str()), lost);
        }
    }

    pub(super) fn log_decision(&self, decision: &Decision) {
        let metrics = &self.parts.shared.metrics;
        metrics.count_event("membership", decision.kind());
        let duration = match decision {
            Decision::Acquired { wait_ms, .. } => Some(("takeover_wait", wait_ms)),
            Decision::Evacuated { elapsed_ms } => Some(("evacuation", elapsed_ms)),
            _ => None,
        };
        if let Some((name, millis)) = duration {
            metrics.record_duration(name, Duration::from_millis(*millis));
        }
        let line = DecisionLine {
            time_unix_ms: unix_ms(),
            vm: &self.parts.shared.vm,
            decision,
        };
        if let Ok(text) = serde_json::to_string(&line) {
            log::info!(target: JSON_LINE_TARGET, "{text}");
        }
    }
}
