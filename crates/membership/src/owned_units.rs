//! The units that this process owns.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Fleet;
use cluster::UnitFence;
use ids::Fence;
use ids::Incarnation;
use ids::Offset;
use ids::Unit;
use ids::VmId;

use crate::Decision;
use crate::DesiredGrants;
use crate::Destination;
use crate::UnitState;
use crate::Upstream;
use crate::owned_unit::OwnedUnit;

/// The units that this process owns, their states, and which of them it may serve.
#[derive(Debug, Default)]
pub(crate) struct OwnedUnits {
    /// Revision of the upstream's confirmed grants that the states were last updated from.
    applied_revision: Option<u64>,
    desired_grants: DesiredGrants,
    handing_over: bool,
    /// Time before which units that come with a join are not served. A member may still serve them that had received them by
    /// records that a restore of the log has lost.
    joined_units_wait_until: Duration,
    /// Units, with their fences, that were lost and returned when the log was restored. Another member may have had them
    /// under later fences.
    reverted: BTreeMap<Unit, Fence>,
    serving: BTreeMap<Unit, Fence>,
    units: BTreeMap<Unit, UnitState>,
    waiting: bool,
}

impl OwnedUnits {
    /// Adds the units that the log assigns to this incarnation of the member, and drops those that
    /// it no longer owns. Returns a decision for each unit that is new.
    pub(crate) fn sync_with_fleet(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        own_vm: &VmId,
        incarnation: Incarnation,
    ) -> Vec<Decision> {
        let mut kept = BTreeMap::new();
        let mut acquired = Vec::new();
        for (unit, ownership) in fleet.units_of(own_vm) {
            if ownership.incarnation != incarnation {
                continue;
            }
            if self.reverted.get(unit) == Some(&ownership.fence) {
                continue;
            }
            let known = self.units.remove(unit);
            let known = known.filter(|known| known.fence() == ownership.fence);
            let state = known.unwrap_or_else(|| {
                let wait = Duration::from_millis(ownership.wait_ms);
                acquired.push(Decision::Acquired {
                    fence: ownership.fence,
                    unit: unit.clone(),
                    wait_ms: ownership.wait_ms,
                });
                let mut until = now + wait;
                if ownership.fence == incarnation {
                    until = until.max(self.joined_units_wait_until);
                }
                UnitState::Waiting(OwnedUnit::new(ownership.fence, until))
            });
            kept.insert(unit.clone(), state);
        }
        self.units = kept;
        self.reverted.retain(|unit, fence| {
            let owner = fleet.owner(unit);
            owner.is_some_and(|owner| owner.vm == *own_vm && owner.fence == *fence)
        });
        self.refresh();
        acquired
    }

    /// Withholds the units that the log assigns to this incarnation under fences below `known_until`, if this process knows
    /// that it has lost them since.
    pub(crate) fn withhold_reverted(
        &mut self,
        fleet: &Fleet,
        own_vm: &VmId,
        incarnation: Incarnation,
        known_until: Offset,
    ) {
        for (unit, ownership) in fleet.units_of(own_vm) {
            let fence = ownership.fence;
            let is_held = self.units.get(unit).map(UnitState::fence) == Some(fence);
            if ownership.incarnation == incarnation && fence < known_until && !is_held {
                self.reverted.insert(unit.clone(), fence);
            }
        }
    }

    /// Sets the time before which units that come with a join are not served.
    pub(crate) fn delay_joined_units(&mut self, until: Duration) {
        self.joined_units_wait_until = until;
    }

    /// Reports whether units are withheld until they have new fences.
    pub(crate) fn has_reverted(&self) -> bool {
        !self.reverted.is_empty()
    }

    /// Advances the units whose wait has ended, or whose grant was confirmed or lost.
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
        let requires_grant = |state: &UnitState| state.requires_grant();
        let is_waiting = |state: &UnitState| matches!(state, UnitState::Waiting(_));
        let is_serving = |state: &UnitState| matches!(state, UnitState::Serving(_));
        self.applied_revision = None;
        self.handing_over = self.units.values().any(UnitState::is_being_handed_over);
        self.waiting = self.units.values().any(is_waiting);
        self.desired_grants.revision += 1;
        self.desired_grants.units =
            self.fences(|unit, state| requires_grant(state) && is_grantable(unit));
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

    /// Stops serving all units, and returns those that must be drained. Units whose wait has not
    /// ended are dropped, since the next owner waits instead.
    pub(crate) fn drain_all(&mut self) -> BTreeSet<Unit> {
        let is_waiting = |state: &UnitState| matches!(state, UnitState::Waiting(_));
        self.units.retain(|_, state| !is_waiting(state));
        let units = self.units.keys();
        let plan = units.map(|unit| (unit.clone(), None)).collect();
        self.drain(&plan)
    }

    /// Records that no requests run any more on the given draining units.
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

    /// Returns the units for one destination that the upstream has released, so that no request can
    /// run on them.
    pub(crate) fn next_revoked_batch(
        &self,
        upstream: &Upstream,
    ) -> Option<(Destination, Vec<UnitFence>)> {
        if !self.handing_over {
            return None;
        }
        let mut released: BTreeMap<&Destination, Vec<UnitFence>> = BTreeMap::new();
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
            released.entry(to).or_default().push(UnitFence {
                fence: owned.fence,
                unit: unit.clone(),
            });
        }
        let (to, units) = released.pop_first()?;
        Some((to.clone(), units))
    }

    /// Reports whether no request that this process dispatched still runs on any unit.
    pub(crate) fn is_drained(&self) -> bool {
        let has_requests =
            |state: &UnitState| matches!(state, UnitState::Serving(_) | UnitState::Draining(_));
        !self.units.values().any(has_requests)
    }

    /// Reports whether units are being handed over.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over
    }

    /// Records that the `Move` record of the units has been appended.
    pub(crate) fn mark_moving(&mut self, units: &[UnitFence]) {
        for UnitFence { unit, .. } in units {
            if let Some(UnitState::Revoking(owned)) = self.units.get(unit) {
                let moving = UnitState::Moving(owned.clone().start_move());
                self.units.insert(unit.clone(), moving);
            }
        }
    }

    /// Cancels the handover of the selected units, which return to service, and returns these units.
    pub(crate) fn cancel_handovers(
        &mut self,
        select: impl Fn(&Unit, &UnitState) -> bool,
    ) -> BTreeSet<Unit> {
        let mut cancelled = BTreeSet::new();
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
            cancelled.insert(unit.clone());
        }
        self.refresh();
        cancelled
    }

    /// Drops all units.
    pub(crate) fn clear(&mut self) {
        self.reverted.clear();
        self.units.clear();
        self.refresh();
    }

    /// Returns the number of units.
    pub(crate) fn len(&self) -> usize {
        self.units.len()
    }

    /// Returns the number of units in each state.
    pub(crate) fn counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for state in self.units.values() {
            *counts.entry(state.state_name().to_owned()).or_default() += 1;
        }
        counts
    }

    /// Returns the units that the upstream should hold grants of.
    pub(crate) fn desired_grants(&self) -> &DesiredGrants {
        &self.desired_grants
    }

    /// Returns the units that may be served.
    pub(crate) fn serving(&self) -> &BTreeMap<Unit, Fence> {
        &self.serving
    }
}

/// Reports whether units of this kind are granted to the upstream. Buckets are not, since the home
/// enforces rate limits itself.
fn is_grantable(unit: &Unit) -> bool {
    !matches!(unit, Unit::Bucket { .. })
}

fn is_confirmed(upstream: &Upstream, unit: &Unit, fence: Fence) -> bool {
    !is_grantable(unit) || upstream.has_confirmed(unit, fence)
}
