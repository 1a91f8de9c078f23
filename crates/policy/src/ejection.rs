//! Ejection and return of an upstream.

use std::time::Duration;

use crate::Ticket;
use crate::WarmUpRamp;

/// Minimum time until an ejected upstream is probed.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Maximum time until an ejected upstream is probed.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);

/// Consecutive successful probes after which an upstream returns to use.
const PROBES_TO_RETURN: u32 = 3;

/// Time over which the load of a new or returned upstream increases to its full share.
pub(crate) const RETURN_TIME: Duration = Duration::from_secs(4);

/// State of an upstream at an entry: in use or ejected.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Ejection {
    /// It gets no requests until `next_probe_at`, and then one probe at a time.
    Ejected {
        good_probes: u32,
        probe: Option<Ticket>,
        next_probe_at: Duration,
        ejections: u32,
    },
    /// It gets its share of requests, or as much of it as the ramp allows.
    InUse { ramp: WarmUpRamp, ejections: u32 },
}

impl Ejection {
    /// Returns the state of an upstream that is new, whose load increases slowly.
    pub(crate) fn ramping_up(now: Duration) -> Self {
        Self::InUse {
            ramp: WarmUpRamp::new(now, RETURN_TIME),
            ejections: 0,
        }
    }

    /// Returns the state of an upstream that was known when the process started.
    pub(crate) fn in_use() -> Self {
        Self::InUse {
            ramp: WarmUpRamp::new(Duration::ZERO, Duration::ZERO),
            ejections: 0,
        }
    }

    pub(crate) fn is_in_use(&self) -> bool {
        matches!(self, Self::InUse { .. })
    }

    /// Returns the fraction of its full load that the upstream gets, from 0 to 1.
    pub(crate) fn share(&self, now: Duration) -> f64 {
        match self {
            Self::Ejected { .. } => 0.0,
            Self::InUse { ramp, .. } => ramp.fraction(now),
        }
    }

    /// Ejects the upstream.
    ///
    /// The time until the first probe doubles with each ejection before the ramp of a return is over,
    /// up to [`MAX_EJECTION_TIME`].
    pub(crate) fn eject(&mut self, now: Duration) {
        let ejections = match *self {
            Self::Ejected { .. } => return,
            Self::InUse { ramp, ejections } if ramp.is_over(now) => ejections.min(1),
            Self::InUse { ejections, .. } => ejections,
        };
        *self = Self::ejected(now, ejections);
    }

    /// Reports whether the upstream should be probed now.
    pub(crate) fn is_probe_due(&self, now: Duration) -> bool {
        match self {
            Self::Ejected {
                probe,
                next_probe_at,
                ..
            } => probe.is_none() && now >= *next_probe_at,
            Self::InUse { .. } => false,
        }
    }

    /// Records that a request is dispatched to the upstream.
    pub(crate) fn record_start(&mut self, ticket: Ticket) {
        if let Self::Ejected { probe, .. } = self {
            probe.get_or_insert(ticket);
        }
    }

    /// Records the end of a request; `is_good` is `None` if it says nothing about the upstream.
    pub(crate) fn record_completion(
        &mut self,
        now: Duration,
        ticket: Ticket,
        is_good: Option<bool>,
    ) {
        let Self::Ejected {
            good_probes,
            probe,
            next_probe_at,
            ejections,
        } = self
        else {
            return;
        };
        if *probe != Some(ticket) {
            return;
        }
        *probe = None;
        match is_good {
            None => *next_probe_at = now + MIN_EJECTION_TIME,
            Some(false) => *self = Self::ejected(now, *ejections),
            Some(true) if *good_probes + 1 < PROBES_TO_RETURN => *good_probes += 1,
            Some(true) => {
                *self = Self::InUse {
                    ramp: WarmUpRamp::new(now, RETURN_TIME),
                    ejections: *ejections,
                }
            }
        }
    }

    fn ejected(now: Duration, ejections: u32) -> Self {
        let length = MIN_EJECTION_TIME * 2_u32.pow(ejections.min(8));
        Self::Ejected {
            good_probes: 0,
            probe: None,
            next_probe_at: now + length.min(MAX_EJECTION_TIME),
            ejections: ejections.saturating_add(1),
        }
    }
}
