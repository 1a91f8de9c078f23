//! Observations of one upstream by an entry.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Candidate;
use crate::Completion;
use crate::Ticket;
use crate::ejection::Ejection;

/// Time over which latency is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Age from which a load report is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Maximum fraction of a score that a load report adds to it.
const MAX_REPORT_WEIGHT: f64 = 0.5;

/// Factor by which the age of a cancelled request is multiplied to estimate its latency.
///
/// After a hedge, the slower of the two requests is cancelled at an age below its latency. Without
/// the factor, hedges would hide stragglers.
const CANCELLED_LATENCY_FACTOR: u32 = 2;

/// Age from which the average latency is ignored if no request is in flight.
const LATENCY_LIFETIME: Duration = Duration::from_secs(5);

/// Minimum latency that a failed or shed request counts as.
const MIN_FAILURE_LATENCY: Duration = Duration::from_millis(250);

/// Observations of one upstream by an entry.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamView {
    pub(crate) candidate: Candidate,
    pub(crate) ejection: Ejection,
    latency: Option<Duration>,
    observed_at: Duration,
    report: Option<(Duration, f64)>,
    in_flight: BTreeMap<Ticket, Duration>,
}

impl UpstreamView {
    pub(crate) fn new(candidate: Candidate, ejection: Ejection) -> Self {
        Self {
            candidate,
            ejection,
            latency: None,
            observed_at: Duration::ZERO,
            report: None,
            in_flight: BTreeMap::new(),
        }
    }

    pub(crate) fn record_start(&mut self, now: Duration, ticket: Ticket) {
        self.in_flight.insert(ticket, now);
        self.ejection.record_start(ticket);
    }

    /// Records the end of a request, and returns the latency that it counts as.
    ///
    /// Returns `None` if the request was not in flight.
    pub(crate) fn record_completion(
        &mut self,
        now: Duration,
        ticket: Ticket,
        completion: Completion,
    ) -> Option<Duration> {
        let started = self.in_flight.remove(&ticket)?;
        let age = now.saturating_sub(started);
        let latency = match completion {
            Completion::Answered { latency } => latency,
            Completion::Cancelled => age * CANCELLED_LATENCY_FACTOR,
            Completion::Failed | Completion::Shed => age.max(MIN_FAILURE_LATENCY),
        };
        // A request that was cancelled early says nothing about latency, so a cancelled one counts only
        // if its estimate exceeds the average.
        if completion != Completion::Cancelled || Some(latency) > self.latency {
            self.record_latency(now, latency);
        }
        Some(latency)
    }

    pub(crate) fn record_load(&mut self, now: Duration, load: f64) {
        self.report = Some((now, load.clamp(0.0, 1.0)));
    }

    /// Returns the average latency, or the age of the oldest request in flight if that is larger.
    pub(crate) fn latency(&self, now: Duration) -> Option<Duration> {
        let oldest = self.in_flight.values().min();
        let age = oldest.map(|started| now.saturating_sub(*started));
        let is_recent = now.saturating_sub(self.observed_at) < LATENCY_LIFETIME;
        match (self.latency, age) {
            (Some(latency), Some(age)) => Some(latency.max(age)),
            (latency, _) => latency.filter(|_| is_recent),
        }
    }

    /// Returns a score that is larger the longer a request is expected to take.
    pub(crate) fn score(
        &self,
        now: Duration,
        default_latency: Duration,
        zone_distance: Duration,
    ) -> f64 {
        let latency = self.latency(now).unwrap_or(default_latency) + zone_distance;
        let slots = f64::from(self.candidate.slots.max(1));
        let queue = (self.in_flight.len() as f64 + 1.0) / slots;
        latency.as_secs_f64() * (1.0 + queue) * self.report_factor(now)
    }

    fn record_latency(&mut self, now: Duration, latency: Duration) {
        let elapsed = now.saturating_sub(self.observed_at).as_secs_f64();
        self.observed_at = now;
        let Some(average) = self.latency else {
            self.latency = Some(latency);
            return;
        };
        let old_weight = (-elapsed / AVERAGING_TIME.as_secs_f64()).exp().min(0.9);
        let next = average.as_secs_f64() * old_weight + latency.as_secs_f64() * (1.0 - old_weight);
        self.latency = Some(Duration::from_secs_f64(next));
    }

    fn report_factor(&self, now: Duration) -> f64 {
        let Some((reported_at, load)) = self.report else {
            return 1.0;
        };
        let age = now.saturating_sub(reported_at).as_secs_f64();
        let freshness = 1.0 - (age / REPORT_LIFETIME.as_secs_f64()).min(1.0);
        1.0 + MAX_REPORT_WEIGHT * load * freshness
    }
}
