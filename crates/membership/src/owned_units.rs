//! The units that this process owns.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Fleet;
use cluster::UnitFence;
use ids::Fence;
use ids::Incarnation;
use ids::Unit;
use ids::VmId;

use crate::Decision;
use crate::DesiredGrants;
use crate::Destination;
use crate::UnitState;
use crate::Upstream;
use crate::owned_unit::OwnedUnit;

/// The units that this process owns, and what it may serve of them.
#[derive(Debug, Default)]
pub(crate) struct OwnedUnits {
    handing_over: bool,
    /// Revision of the upstream's grants that was applied_revision last.
    applied_revision: Option<u64>,
    serving: BTreeMap<Unit, Fence>,
    units: BTreeMap<Unit, UnitState>,
    waiting: bool,
    desired_grants: DesiredGrants,
}

impl OwnedUnits {
    /// Takes over what the log gives this member, and drops what it takes away. Returns the units
    /// that are new.
    pub(crate) fn sync_with_fleet(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        me: &VmId,
        incarnation: Incarnation,
    ) -> Vec<Decision> {
        let mut kept = BTreeMap::new();
        let mut taken = Vec::new();
        for (unit, ownership) in fleet.units_of(me) {
            if ownership.incarnation != incarnation {
                continue;
            }
            let known = self.units.remove(unit);
            let known = known.filter(|known| known.fence() == ownership.fence);
            let state = known.unwrap_or_else(|| {
                let wait = Duration::from_millis(ownership.wait_ms);
                taken.push(Decision::Took {
                    fence: ownership.fence,
                    unit: unit.clone(),
                    wait_ms: ownership.wait_ms,
                });
                UnitState::Waiting(OwnedUnit::new(ownership.fence, now + wait))
            });
            kept.insert(unit.clone(), state);
        }
        self.units = kept;
        self.refresh();
        taken
    }

    /// Moves units on whose wait has ended, or whose grant was confirmed or voided.
    pub(crate) fn advance(&mut self, now: Duration, upstream: &Upstream) {
        if !self.waiting && self.applied_revision == Some(upstream.revision()) {
            return;
        }
        self.applied_revision = Some(upstream.revision());
        let mut changed = false;
        for (unit, state) in &mut self.units {
            let next = match state {
                UnitState::Waiting(owned) if now >= owned.state.until => {
                    UnitState::Granting(owned.clone().finish_wait())
                }
                UnitState::Granting(owned) if is_confirmed(upstream, unit, owned.fence) => {
                    UnitState::Serving(owned.clone().confirm_grant())
                }
                UnitState::Serving(owned) if !is_confirmed(upstream, unit, owned.fence) => {
                    UnitState::Granting(owned.clone().lose_grant())
                }
                _ => continue,
            };
            *state = next;
            changed = true;
        }
        if changed {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        let is_granted = |state: &UnitState| state.requires_grant();
        let is_waiting = |state: &UnitState| matches!(state, UnitState::Waiting(_));
        let is_serving = |state: &UnitState| matches!(state, UnitState::Serving(_));
        self.applied_revision = None;
        self.handing_over = self.units.values().any(UnitState::is_being_handed_over);
        self.waiting = self.units.values().any(is_waiting);
        self.desired_grants.revision += 1;
        self.desired_grants.units =
            self.fences(|unit, state| is_granted(state) && needs_grant(unit));
        self.serving = self.fences(|_, state| is_serving(state));
    }

    fn fences(&self, select: impl Fn(&Unit, &UnitState) -> bool) -> BTreeMap<Unit, Fence> {
        self.units
            .iter()
            .filter(|(unit, state)| select(unit, state))
            .map(|(unit, state)| (unit.clone(), state.fence()))
            .collect()
    }

    /// Starts to hand units over, and returns those that must be drained.
    pub(crate) fn drain(&mut self, plan: &BTreeMap<Unit, Option<Destination>>) -> BTreeSet<Unit> {
        let mut draining = BTreeSet::new();
        for (unit, to) in plan {
            let Some(state) = self.units.get_mut(unit) else {
                continue;
            };
            let next = match state {
                UnitState::Granting(owned) => UnitState::Draining(owned.clone().drain(to.clone())),
                UnitState::Serving(owned) => UnitState::Draining(owned.clone().drain(to.clone())),
                _ => continue,
            };
            *state = next;
            draining.insert(unit.clone());
        }
        self.refresh();
        draining
    }

    /// Ends service of all units, and returns those that must be drained. Units whose wait has not
    /// ended are dropped, since the wait passes on to the next owner.
    pub(crate) fn drain_all(&mut self) -> BTreeSet<Unit> {
        let is_waiting = |state: &UnitState| matches!(state, UnitState::Waiting(_));
        self.units.retain(|_, state| !is_waiting(state));
        let units = self.units.keys();
        let plan = units.map(|unit| (unit.clone(), None)).collect();
        self.drain(&plan)
    }

    /// Notes that no request runs on units that are being drained.
    pub(crate) fn finish_drain(&mut self, units: &BTreeSet<Unit>) {
        for unit in units {
            let Some(state) = self.units.get_mut(unit) else {
                continue;
            };
            if let UnitState::Draining(owned) = state {
                *state = UnitState::Revoking(owned.clone().finish_drain());
            }
        }
        self.refresh();
    }

    /// Returns units that nothing runs on any more and that go to one destination.
    pub(crate) fn next_revoked_batch(
        &self,
        upstream: &Upstream,
    ) -> Option<(Destination, Vec<UnitFence>)> {
        if !self.handing_over {
            return None;
        }
        let mut clear: BTreeMap<&Destination, Vec<UnitFence>> = BTreeMap::new();
        for (unit, state) in &self.units {
            let UnitState::Revoking(owned) = state else {
                continue;
            };
            let Some(to) = owned
                .state
                .to
                .as_ref()
                .filter(|_| upstream.has_released(unit))
            else {
                continue;
            };
            clear.entry(to).or_default().push(UnitFence {
                fence: owned.fence,
                unit: unit.clone(),
            });
        }
        let (to, units) = clear.pop_first()?;
        Some((to.clone(), units))
    }

    /// Tells whether no request runs on any unit, as far as this process has started it.
    pub(crate) fn is_drained(&self) -> bool {
        let runs =
            |state: &UnitState| matches!(state, UnitState::Serving(_) | UnitState::Draining(_));
        !self.units.values().any(runs)
    }

    /// Tells whether units are on their way to another member.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over
    }

    /// Notes that the record that passes units on has been appended.
    pub(crate) fn mark_moving(&mut self, units: &[UnitFence]) {
        for UnitFence { unit, .. } in units {
            if let Some(UnitState::Revoking(owned)) = self.units.get(unit) {
                let moving = UnitState::Moving(owned.clone().start_move());
                self.units.insert(unit.clone(), moving);
            }
        }
    }

    /// Returns to service the units that are being handed over, and tells which.
    pub(crate) fn cancel_handovers(
        &mut self,
        select: impl Fn(&Unit, &UnitState) -> bool,
    ) -> BTreeSet<Unit> {
        let mut kept = BTreeSet::new();
        for (unit, state) in &mut self.units {
            if !select(unit, state) {
                continue;
            }
            let granting = match state {
                UnitState::Draining(owned) => owned.clone().cancel_handover(),
                UnitState::Revoking(owned) => owned.clone().cancel_handover(),
                UnitState::Moving(owned) => owned.clone().cancel_handover(),
                _ => continue,
            };
            *state = UnitState::Granting(granting);
            kept.insert(unit.clone());
        }
        self.refresh();
        kept
    }

    /// Drops all units.
    pub(crate) fn clear(&mut self) {
        self.units.clear();
        self.refresh();
    }

    /// Returns the number of units.
    pub(crate) fn len(&self) -> usize {
        self.units.len()
    }

    /// Returns the number of units by state.
    pub(crate) fn counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for state in self.units.values() {
            *counts.entry(state.state_name().to_owned()).or_default() += 1;
        }
        counts
    }

    /// Returns the units that the upstream is to hold grants of.
    pub(crate) fn desired_grants(&self) -> &DesiredGrants {
        &self.desired_grants
    }

    /// Returns the units that may be served.
    pub(crate) fn serving(&self) -> &BTreeMap<Unit, Fence> {
        &self.serving
    }
}

/// Tells whether units of this kind are granted to the upstream. Rate limits are kept at home.
fn needs_grant(unit: &Unit) -> bool {
    !matches!(unit, Unit::Bucket { .. })
}

fn is_confirmed(upstream: &Upstream, unit: &Unit, fence: Fence) -> bool {
    !needs_grant(unit) || upstream.has_confirmed(unit, fence)
}
