//! Whether the local upstream answers, and what its clock shows.

use std::time::Duration;

use crate::Action;
use crate::ClockSample;
use crate::times::PROBE_INTERVAL;
use crate::times::SAMPLE_AGE;
use crate::times::UPSTREAM_FAILURE;

/// Whether the local upstream answers, and what its clock shows.
#[derive(Debug, Default)]
pub(crate) struct UpstreamHealth {
    failing: Option<Duration>,
    heard: Duration,
    probe_due: Duration,
    sample: Option<ClockSample>,
    silent: bool,
}

impl UpstreamHealth {
    /// Notes an announcement.
    pub(crate) fn announced(&mut self, now: Duration) {
        self.heard = now;
    }

    /// Notes an answer with the upstream's clock.
    pub(crate) fn sampled(&mut self, now: Duration, clock_ms: u64) {
        self.failing = None;
        self.heard = now;
        self.sample = Some(ClockSample {
            arrived: now,
            clock_ms,
        });
    }

    /// Notes a failure.
    pub(crate) fn failed(&mut self, now: Duration) {
        self.failing.get_or_insert(now);
    }

    /// Forgets an upstream that has ended, but not when the last announcement came.
    pub(crate) fn replaced(&mut self) {
        let heard = self.heard;
        *self = Self {
            heard,
            ..Self::default()
        };
    }

    /// Notices that the upstream was silent, or failed to answer, for too long. After a pause of this
    /// process the silence counts anew.
    pub(crate) fn tick(&mut self, now: Duration, was_paused: bool, silence: Duration) {
        if was_paused {
            self.heard = now;
        }
        let is_failing = |since| now > since + UPSTREAM_FAILURE;
        self.silent = now > self.heard + silence || self.failing.is_some_and(is_failing);
    }

    /// Tells whether the upstream was silent, or failed to answer, for too long.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent
    }

    /// Returns the newest sample of the clock, if it is new enough and no failure came after it.
    pub(crate) fn sample(&self, now: Duration) -> Option<&ClockSample> {
        let sample = self.sample.as_ref();
        let is_new = |sample: &&ClockSample| now <= sample.arrived + SAMPLE_AGE;
        sample.filter(is_new).filter(|_| self.failing.is_none())
    }

    /// Asks for a sample, if that was not done just before.
    pub(crate) fn probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now >= self.probe_due {
            self.probe_due = now + PROBE_INTERVAL;
            actions.push(Action::Probe);
        }
    }
}
