//! An upstream as an entry sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Candidate;
use crate::Completion;
use crate::Ticket;
use crate::ejection::Ejection;

/// Time over which latency is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Age at which a load report counts nothing any more.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Largest part that a load report adds to a score.
const REPORT_WEIGHT: f64 = 0.5;

/// Latency of a cancelled request in relation to its age.
///
/// A hedge cancels the slower of two, whose age is less than its latency. Without a factor, hedges
/// would hide stragglers.
const CANCELLED_FACTOR: u32 = 2;

/// Age at which the view of latency counts nothing any more.
const LATENCY_LIFETIME: Duration = Duration::from_secs(5);

/// Latency that a failure or a shed request counts as, at least.
const FAILURE_LATENCY: Duration = Duration::from_millis(250);

/// One upstream as an entry sees it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamView {
    pub(crate) candidate: Candidate,
    pub(crate) ejection: Ejection,
    latency: Option<Duration>,
    observed_at: Duration,
    report: Option<(Duration, f64)>,
    running: BTreeMap<Ticket, Duration>,
}

impl UpstreamView {
    pub(crate) fn new(candidate: Candidate, ejection: Ejection) -> Self {
        Self {
            candidate,
            ejection,
            latency: None,
            observed_at: Duration::ZERO,
            report: None,
            running: BTreeMap::new(),
        }
    }

    pub(crate) fn record_start(&mut self, now: Duration, ticket: Ticket) {
        self.running.insert(ticket, now);
        self.ejection.record_start(ticket);
    }

    /// Takes in the end of a request, and returns the latency that it counts as, if it was known.
    pub(crate) fn record_completion(
        &mut self,
        now: Duration,
        ticket: Ticket,
        completion: Completion,
    ) -> Option<Duration> {
        let started = self.running.remove(&ticket)?;
        let age = now.saturating_sub(started);
        let latency = match completion {
            Completion::Answered { latency } => latency,
            Completion::Cancelled => age * CANCELLED_FACTOR,
            Completion::Failed | Completion::Shed => age.max(FAILURE_LATENCY),
        };
        // A request that was cancelled early tells nothing.
        if completion != Completion::Cancelled || Some(latency) > self.latency {
            self.observe(now, latency);
        }
        Some(latency)
    }

    pub(crate) fn record_load(&mut self, now: Duration, load: f64) {
        self.report = Some((now, load.clamp(0.0, 1.0)));
    }

    /// Returns the average latency, or the age of the oldest running request if that is larger.
    pub(crate) fn latency(&self, now: Duration) -> Option<Duration> {
        let oldest = self.running.values().min();
        let age = oldest.map(|started| now.saturating_sub(*started));
        let is_recent = now.saturating_sub(self.observed_at) < LATENCY_LIFETIME;
        match (self.latency, age) {
            (Some(latency), Some(age)) => Some(latency.max(age)),
            (latency, _) => latency.filter(|_| is_recent),
        }
    }

    /// Returns a number that is larger the longer a request would take.
    pub(crate) fn score(&self, now: Duration, unseen: Duration, distance: Duration) -> f64 {
        let latency = self.latency(now).unwrap_or(unseen) + distance;
        let slots = f64::from(self.candidate.slots.max(1));
        let queue = (self.running.len() as f64 + 1.0) / slots;
        latency.as_secs_f64() * (1.0 + queue) * self.report_factor(now)
    }

    fn observe(&mut self, now: Duration, latency: Duration) {
        let elapsed = now.saturating_sub(self.observed_at).as_secs_f64();
        self.observed_at = now;
        let Some(average) = self.latency else {
            self.latency = Some(latency);
            return;
        };
        let kept = (-elapsed / AVERAGING_TIME.as_secs_f64()).exp().min(0.9);
        let next = average.as_secs_f64() * kept + latency.as_secs_f64() * (1.0 - kept);
        self.latency = Some(Duration::from_secs_f64(next));
    }

    fn report_factor(&self, now: Duration) -> f64 {
        let Some((reported_at, load)) = self.report else {
            return 1.0;
        };
        let age = now.saturating_sub(reported_at).as_secs_f64();
        let fresh = 1.0 - (age / REPORT_LIFETIME.as_secs_f64()).min(1.0);
        1.0 + REPORT_WEIGHT * load * fresh
    }
}
