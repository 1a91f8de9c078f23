//! Check-ins of an upstream that polls its grants.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::UnitFence;
use ids::Fence;
use ids::ServiceId;
use ids::Unit;

use crate::Announcement;
use crate::CheckIn;
use crate::CheckInAnswer;
use crate::CheckInRejection;
use crate::DesiredGrants;
use crate::Upstream;
use crate::times::HOLD_FRACTION;
use crate::times::MAX_HOLD;

impl Upstream {
    /// Updates the upstream from a check-in. `is_declared` tells whether a manifest declares a service.
    ///
    /// # Errors
    ///
    /// Returns the reason when the check-in is rejected, and changes nothing.
    pub(crate) fn record_check_in(
        &mut self,
        now: Duration,
        check_in: &CheckIn,
        is_declared: impl Fn(&ServiceId) -> bool,
    ) -> Result<(), CheckInRejection> {
        let announcement = &check_in.announcement;
        let accepted = self.accepted.as_ref();
        let is_same = accepted.is_some_and(|accepted| accepted.is_same_process(announcement));
        let has_same_service =
            accepted.is_some_and(|accepted| accepted.service == announcement.service);
        // A manifest may drop the service of an upstream that is still there.
        let is_known = (is_same && has_same_service) || is_declared(&announcement.service);
        if !is_known {
            return Err(CheckInRejection::UndeclaredService);
        }
        let is_older = if is_same {
            check_in.sequence <= self.last_check_in
        } else {
            // Any check-in is accepted before the first manifest. One of a declared service replaces it.
            let valid = accepted.filter(|accepted| is_declared(&accepted.service));
            valid.is_some_and(|valid| announcement.started_unix_ms <= valid.started_unix_ms)
        };
        if is_older {
            return Err(CheckInRejection::Outdated);
        }
        if !is_same && self.may_run_elsewhere(now, announcement) {
            return Err(CheckInRejection::FormerHoldsGrants);
        }
        let mut announcement = announcement.clone();
        if let Some(accepted) = accepted.filter(|_| is_same) {
            announcement.keep_version_of(accepted);
        }
        if !is_same {
            self.held.clear();
            self.clear_confirmed();
            self.health.reset();
        }
        self.accepted = Some(announcement);
        self.draining = check_in.draining;
        self.last_check_in = check_in.sequence;
        self.health.record_announcement(now);
        if let Some(held) = &check_in.held {
            self.update_held(held);
        }
        Ok(())
    }

    /// Reports whether the accepted process of the upstream may still run and hold grants beside one that announces itself.
    ///
    /// It has ended if the later one has its address.
    fn may_run_elsewhere(&self, now: Duration, announcement: &Announcement) -> bool {
        let accepted = self.accepted.as_ref();
        let is_elsewhere = accepted.is_some_and(|former| former.address != announcement.address);
        is_elsewhere && !self.held.is_empty() && !self.has_expired(now)
    }

    /// Sets the time until which the upstream may hold grants of the process that ran before this one.
    pub(crate) fn set_inherited_until(&mut self, until: Duration) {
        self.inherited_until = until;
    }

    /// Replaces the units that the upstream holds by those that it reported. Units that were granted before and aren't
    /// reported have been released.
    fn update_held(&mut self, held: &[UnitFence]) {
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

    /// Answers the latest check-in with all units that the upstream should hold.
    pub(crate) fn answer_check_in(
        &mut self,
        now: Duration,
        id: u64,
        lease_end: Option<Duration>,
        desired: &DesiredGrants,
    ) -> CheckInAnswer {
        let Some(end) = lease_end.filter(|end| *end > now) else {
            self.clear_confirmed();
            return CheckInAnswer::without_renewal(id);
        };
        let hold = (end - now).mul_f64(HOLD_FRACTION).min(MAX_HOLD);
        self.held_until = self.held_until.max(end);
        if self.confirmed != desired.units {
            self.confirmed.clone_from(&desired.units);
            self.revision += 1;
        }
        let units = desired.units.iter();
        self.held
            .extend(units.map(|(unit, fence)| (unit.clone(), *fence)));
        CheckInAnswer {
            granted: desired.missing(&BTreeMap::new(), true),
            hold: Some(hold),
            id,
            rejection: None,
        }
    }
}
