//! Requests that were refused and may come again.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Fingerprint;

/// Refused requests that are remembered.
const MOST: usize = 4_096;

/// Difference between the deadlines that a caller states for a request and its repetition, since each states what is left
/// in whole milliseconds, and takes its own time to arrive.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);

/// Requests that were refused, so that one that comes again is recognised: it does the same, and ends at the same time.
#[derive(Clone, Debug, Default)]
pub struct RecentRefusals {
    by_fingerprint: BTreeMap<Fingerprint, Vec<Refused>>,
    order: VecDeque<(Duration, Fingerprint)>,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    deadline: Duration,
    first_arrived: Duration,
}

impl RecentRefusals {
    /// Takes in that a request was refused whose caller waits until `deadline`, and which first arrived at
    /// `first_arrived`.
    pub fn record(
        &mut self,
        now: Duration,
        fingerprint: &Fingerprint,
        deadline: Duration,
        first_arrived: Duration,
    ) {
        self.forget(now);
        let refused = Refused {
            deadline,
            first_arrived,
        };
        let same = self.by_fingerprint.entry(fingerprint.clone()).or_default();
        same.push(refused);
        self.order.push_back((deadline, fingerprint.clone()));
    }

    /// Returns when a request first arrived, if it was refused before and is not another one that does the same.
    pub fn take_first_arrival(
        &mut self,
        now: Duration,
        fingerprint: &Fingerprint,
        deadline: Duration,
    ) -> Option<Duration> {
        self.forget(now);
        let same = self.by_fingerprint.get_mut(fingerprint)?;
        let is_same = |refused: &Refused| refused.deadline.abs_diff(deadline) <= DEADLINE_TOLERANCE;
        let index = same.iter().position(is_same)?;
        let refused = same.swap_remove(index);
        if same.is_empty() {
            self.by_fingerprint.remove(fingerprint);
        }
        Some(refused.first_arrived)
    }

    /// Forgets requests whose callers have gone, and the oldest of too many.
    fn forget(&mut self, now: Duration) {
        while let Some((deadline, _)) = self.order.front()
            && (*deadline + DEADLINE_TOLERANCE < now || self.order.len() >= MOST)
        {
            let Some((deadline, fingerprint)) = self.order.pop_front() else {
                return;
            };
            let Some(same) = self.by_fingerprint.get_mut(&fingerprint) else {
                continue;
            };
            same.retain(|refused| refused.deadline != deadline);
            if same.is_empty() {
                self.by_fingerprint.remove(&fingerprint);
            }
        }
    }
}
