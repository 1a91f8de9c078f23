//! Whether an upstream is used.

use std::time::Duration;

use crate::Ticket;
use crate::WarmRamp;

/// Shortest time until an ejected upstream is probed.
const SHORTEST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time until an ejected upstream is probed.
const LONGEST_EJECTION: Duration = Duration::from_secs(8);

/// Good probes in a row after which an upstream returns.
const PROBES_TO_RETURN: u32 = 3;

/// Time over which load returns to an upstream.
pub(crate) const RETURN_TIME: Duration = Duration::from_secs(4);

/// Whether an upstream is used by an entry.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Ejection {
    /// It gets no requests until the time, and then one at a time.
    Ejected {
        good_probes: u32,
        probe: Option<Ticket>,
        probe_at: Duration,
        times: u32,
    },
    /// It gets its share, or as much as the ramp allows.
    InUse { ramp: WarmRamp, times: u32 },
}

impl Ejection {
    /// Returns the state of an upstream that is new or returns.
    pub(crate) fn returning(now: Duration) -> Self {
        Self::InUse {
            ramp: WarmRamp::new(now, RETURN_TIME),
            times: 0,
        }
    }

    /// Returns the state of an upstream that was there when the process started.
    pub(crate) fn in_use() -> Self {
        Self::InUse {
            ramp: WarmRamp::new(Duration::ZERO, Duration::ZERO),
            times: 0,
        }
    }

    pub(crate) fn is_in_use(&self) -> bool {
        matches!(self, Self::InUse { .. })
    }

    /// Returns the part of its share that the upstream gets, from 0 to 1.
    pub(crate) fn part(&self, now: Duration) -> f64 {
        match self {
            Self::Ejected { .. } => 0.0,
            Self::InUse { ramp, .. } => ramp.part(now),
        }
    }

    /// Ejects the upstream, for longer each time that it happens soon after a return.
    pub(crate) fn eject(&mut self, now: Duration) {
        let times = match *self {
            Self::Ejected { .. } => return,
            Self::InUse { ramp, times } if ramp.is_over(now) => times.min(1),
            Self::InUse { times, .. } => times,
        };
        *self = Self::after(now, times);
    }

    /// Returns whether the upstream should get a probe now.
    pub(crate) fn wants_probe(&self, now: Duration) -> bool {
        match self {
            Self::Ejected {
                probe, probe_at, ..
            } => probe.is_none() && now >= *probe_at,
            Self::InUse { .. } => false,
        }
    }

    /// Takes in that a request goes to the upstream.
    pub(crate) fn record_start(&mut self, ticket: Ticket) {
        if let Self::Ejected { probe, .. } = self {
            probe.get_or_insert(ticket);
        }
    }

    /// Takes in the end of a request; `is_good` is absent when it tells nothing.
    pub(crate) fn record_completion(
        &mut self,
        now: Duration,
        ticket: Ticket,
        is_good: Option<bool>,
    ) {
        let Self::Ejected {
            good_probes,
            probe,
            probe_at,
            times,
        } = self
        else {
            return;
        };
        if *probe != Some(ticket) {
            return;
        }
        *probe = None;
        match is_good {
            None => *probe_at = now + SHORTEST_EJECTION,
            Some(false) => *self = Self::after(now, *times),
            Some(true) if *good_probes + 1 < PROBES_TO_RETURN => *good_probes += 1,
            Some(true) => {
                *self = Self::InUse {
                    ramp: WarmRamp::new(now, RETURN_TIME),
                    times: *times,
                }
            }
        }
    }

    fn after(now: Duration, times: u32) -> Self {
        let length = SHORTEST_EJECTION * 2_u32.pow(times.min(8));
        Self::Ejected {
            good_probes: 0,
            probe: None,
            probe_at: now + length.min(LONGEST_EJECTION),
            times: times.saturating_add(1),
        }
    }
}
