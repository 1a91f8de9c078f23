//! Recently refused requests, which callers may repeat.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Fingerprint;

/// Maximum number of refused requests that are remembered.
const MAX_REFUSALS: usize = 4_096;

/// Maximum difference between the deadlines of a request and its repetition.
///
/// They differ because each states the remaining time in whole milliseconds and takes its own time to
/// arrive.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);

/// Recently refused requests, by which a repeated request is recognised.
///
/// A repetition has the same fingerprint and, within a tolerance, the same deadline.
#[derive(Clone, Debug, Default)]
pub struct RecentRefusals {
    by_fingerprint: BTreeMap<Fingerprint, Vec<RefusedRequest>>,
    next_number: u64,
    /// Deadline and fingerprint of each remembered request, by its number.
    order: BTreeMap<u64, (Duration, Fingerprint)>,
}

#[derive(Clone, Copy, Debug)]
struct RefusedRequest {
    deadline: Duration,
    first_arrived: Duration,
    number: u64,
}

impl RecentRefusals {
    /// Records the refusal of a request whose caller waits until `deadline` and which first arrived at
    /// `first_arrived`.
    pub fn record(
        &mut self,
        now: Duration,
        fingerprint: &Fingerprint,
        deadline: Duration,
        first_arrived: Duration,
    ) {
        self.evict_old(now);
        let number = self.next_number;
        self.next_number += 1;
        let refused = RefusedRequest {
            deadline,
            first_arrived,
            number,
        };
        let matching = self.by_fingerprint.entry(fingerprint.clone()).or_default();
        matching.push(refused);
        self.order.insert(number, (deadline, fingerprint.clone()));
    }

    /// Removes the refusal that the request repeats, and returns when the request first arrived.
    ///
    /// Returns `None` if there is no such refusal; one with the same fingerprint and another deadline
    /// belongs to another request.
    pub fn take_first_arrival(
        &mut self,
        now: Duration,
        fingerprint: &Fingerprint,
        deadline: Duration,
    ) -> Option<Duration> {
        self.evict_old(now);
        let matching = self.by_fingerprint.get_mut(fingerprint)?;
        let is_same =
            |refused: &RefusedRequest| refused.deadline.abs_diff(deadline) <= DEADLINE_TOLERANCE;
        let index = matching.iter().position(is_same)?;
        let refused = matching.swap_remove(index);
        self.order.remove(&refused.number);
        if matching.is_empty() {
            self.by_fingerprint.remove(fingerprint);
        }
        Some(refused.first_arrived)
    }

    /// Removes requests whose deadline has passed, and the oldest ones while there are too many.
    fn evict_old(&mut self, now: Duration) {
        while let Some((_, (deadline, _))) = self.order.first_key_value()
            && (*deadline + DEADLINE_TOLERANCE < now || self.order.len() >= MAX_REFUSALS)
        {
            let Some((number, (_, fingerprint))) = self.order.pop_first() else {
                return;
            };
            let Some(matching) = self.by_fingerprint.get_mut(&fingerprint) else {
                continue;
            };
            matching.retain(|refused| refused.number != number);
            if matching.is_empty() {
                self.by_fingerprint.remove(&fingerprint);
            }
        }
    }
}
