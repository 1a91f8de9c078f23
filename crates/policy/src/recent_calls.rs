//! Outcomes of the recent calls to one service.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which an outcome counts.
const WINDOW: Duration = Duration::from_secs(1);

/// Time for which outcomes are counted together.
const SLOT_TIME: Duration = Duration::from_millis(100);

/// Service counts as refusing when more than one in this many calls was refused.
const REFUSED_DIVISOR: u32 = 5;

/// Smallest number of refused calls from which a service counts as refusing. One refusal among few
/// calls is no trend.
const MIN_REFUSED: u32 = 2;

/// Outcomes of the calls to one service in the last second.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentCalls {
    slots: VecDeque<Slot>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    calls: u32,
    refused: u32,
    started_at: Duration,
}

impl RecentCalls {
    pub(crate) fn record(&mut self, now: Duration, is_refused: bool) {
        self.remove_old(now);
        let newest = self.slots.back();
        if newest.is_none_or(|slot| slot.started_at + SLOT_TIME <= now) {
            self.slots.push_back(Slot {
                calls: 0,
                refused: 0,
                started_at: now,
            });
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.calls += 1;
            slot.refused += u32::from(is_refused);
        }
    }

    /// Reports whether more than a fifth of the calls in the last second were refused.
    pub(crate) fn is_refusing(&mut self, now: Duration) -> bool {
        self.remove_old(now);
        let calls: u32 = self.slots.iter().map(|slot| slot.calls).sum();
        let refused: u32 = self.slots.iter().map(|slot| slot.refused).sum();
        refused >= MIN_REFUSED && refused * REFUSED_DIVISOR > calls
    }

    fn remove_old(&mut self, now: Duration) {
        while let Some(oldest) = self.slots.front()
            && oldest.started_at + WINDOW <= now
        {
            self.slots.pop_front();
        }
    }
}
