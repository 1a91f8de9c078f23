//! An upstream that polls its grants.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::UnitFence;
use ids::Fence;
use ids::Unit;

use crate::CheckIn;
use crate::CheckInAnswer;
use crate::Upstream;
use crate::Wanted;
use crate::times::HOLD_PART;
use crate::times::LONGEST_HOLD;

impl Upstream {
    /// Takes what a check-in says of the upstream. Returns `false` for one of an earlier life, or one that is older than
    /// another that has been taken.
    pub(crate) fn checked_in(&mut self, now: Duration, check_in: &CheckIn) -> bool {
        let is_same = self.is_instance(&check_in.announcement.instance)
            && self.born_unix_ms == check_in.started_unix_ms;
        let is_older = if is_same {
            check_in.sequence <= self.polled
        } else {
            self.accepted.is_some() && check_in.started_unix_ms <= self.born_unix_ms
        };
        if is_older {
            return false;
        }
        if !is_same {
            self.held.clear();
            self.unconfirm();
            self.health.replaced();
            self.born_unix_ms = check_in.started_unix_ms;
        }
        self.accepted = Some(check_in.announcement.clone());
        self.draining = check_in.draining;
        self.polled = check_in.sequence;
        self.health.announced(now);
        self.note_held(&check_in.held);
        true
    }

    /// Takes in what the upstream holds. What it was granted before and does not hold, it has released.
    fn note_held(&mut self, held: &[UnitFence]) {
        let reported: BTreeMap<Unit, Fence> = held
            .iter()
            .map(|held| (held.unit.clone(), held.fence))
            .collect();
        let before = self.confirmed.len();
        self.confirmed
            .retain(|unit, fence| reported.get(unit) == Some(fence));
        if self.confirmed.len() != before {
            self.revision += 1;
        }
        self.held = reported;
    }

    /// Answers the check-in that was taken last with all that the upstream is to hold.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        id: u64,
        lease_end: Option<Duration>,
        wanted: &Wanted,
    ) -> CheckInAnswer {
        let Some(end) = lease_end.filter(|end| *end > now) else {
            self.unconfirm();
            return CheckInAnswer::without_renewal(id);
        };
        let hold = (end - now).mul_f64(HOLD_PART).min(LONGEST_HOLD);
        self.held_until = self.held_until.max(end);
        if self.confirmed != wanted.units {
            self.confirmed.clone_from(&wanted.units);
            self.revision += 1;
        }
        let units = wanted.units.iter();
        self.held
            .extend(units.map(|(unit, fence)| (unit.clone(), *fence)));
        CheckInAnswer {
            granted: wanted.missing(&BTreeMap::new(), true),
            hold: Some(hold),
            id,
        }
    }
}
