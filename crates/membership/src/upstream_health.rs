//! The health of the local upstream, and the latest sample of its clock.

use std::time::Duration;

use crate::Action;
use crate::ClockSample;
use crate::times::MAX_SAMPLE_AGE;
use crate::times::PROBE_INTERVAL;
use crate::times::UPSTREAM_FAILURE_TIMEOUT;

/// The health of the local upstream, and the latest sample of its clock.
#[derive(Debug, Default)]
pub(crate) struct UpstreamHealth {
    failing_since: Option<Duration>,
    last_contact: Duration,
    next_probe: Duration,
    sample: Option<ClockSample>,
    silent: bool,
}

impl UpstreamHealth {
    /// Records an announcement.
    pub(crate) fn record_announcement(&mut self, now: Duration) {
        self.last_contact = now;
    }

    /// Records an answer that holds the upstream's clock.
    pub(crate) fn record_clock_sample(&mut self, now: Duration, clock_ms: u64) {
        self.failing_since = None;
        self.last_contact = now;
        self.sample = Some(ClockSample {
            arrived_at: now,
            clock_ms,
        });
    }

    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.failing_since.get_or_insert(now);
    }

    /// Resets the state for a new instance of the upstream, but keeps the time of the last contact.
    pub(crate) fn reset(&mut self) {
        let last_contact = self.last_contact;
        *self = Self {
            last_contact,
            ..Self::default()
        };
    }

    /// Checks whether the upstream was silent, or failed to answer, for too long. After a pause of this
    /// process, the silence is measured from now on.
    pub(crate) fn tick(&mut self, now: Duration, was_paused: bool, silence_timeout: Duration) {
        if was_paused {
            self.last_contact = now;
        }
        let is_failing = |since| now > since + UPSTREAM_FAILURE_TIMEOUT;
        self.silent =
            now > self.last_contact + silence_timeout || self.failing_since.is_some_and(is_failing);
    }

    /// Reports whether the upstream was silent, or failed to answer, for too long.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent
    }

    /// Returns the newest sample of the clock, if it is recent enough and no failure followed it.
    pub(crate) fn sample(&self, now: Duration) -> Option<&ClockSample> {
        let sample = self.sample.as_ref();
        let is_new = |sample: &&ClockSample| now <= sample.arrived_at + MAX_SAMPLE_AGE;
        sample
            .filter(is_new)
            .filter(|_| self.failing_since.is_none())
    }

    /// Requests a clock sample, at most once per `PROBE_INTERVAL`.
    pub(crate) fn probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            actions.push(Action::Probe);
        }
    }
}
