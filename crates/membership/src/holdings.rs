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
use crate::Destination;
use crate::Holding;
use crate::Upstream;
use crate::Wanted;
use crate::held::Held;

/// The units that this process owns, and what it may serve of them.
#[derive(Debug, Default)]
pub(crate) struct Holdings {
    handing_over: bool,
    /// Revision of the upstream's grants that was followed last.
    followed: Option<u64>,
    serving: BTreeMap<Unit, Fence>,
    units: BTreeMap<Unit, Holding>,
    waiting: bool,
    wanted: Wanted,
}

impl Holdings {
    /// Takes over what the log gives this member, and drops what it takes away. Returns the units
    /// that are new.
    pub(crate) fn follow(
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
            let present = self.units.remove(unit);
            let present = present.filter(|present| present.fence() == ownership.fence);
            let holding = present.unwrap_or_else(|| {
                let wait = Duration::from_millis(ownership.wait_ms);
                taken.push(Decision::Acquired {
                    fence: ownership.fence,
                    unit: unit.clone(),
                    wait_ms: ownership.wait_ms,
                });
                Holding::Waiting(Held::new(ownership.fence, now + wait))
            });
            kept.insert(unit.clone(), holding);
        }
        self.units = kept;
        self.refresh();
        taken
    }

    /// Moves units on whose wait has ended, or whose grant was confirmed or voided.
    pub(crate) fn advance(&mut self, now: Duration, upstream: &Upstream) {
        if !self.waiting && self.followed == Some(upstream.revision()) {
            return;
        }
        self.followed = Some(upstream.revision());
        let mut changed = false;
        for (unit, holding) in &mut self.units {
            let next = match holding {
                Holding::Waiting(held) if now >= held.state.until => {
                    Holding::Granting(held.clone().waited())
                }
                Holding::Granting(held) if is_confirmed(upstream, unit, held.fence) => {
                    Holding::Serving(held.clone().granted())
                }
                Holding::Serving(held) if !is_confirmed(upstream, unit, held.fence) => {
                    Holding::Granting(held.clone().voided())
                }
                _ => continue,
            };
            *holding = next;
            changed = true;
        }
        if changed {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        let is_granted = |holding: &Holding| holding.wants_grant();
        let is_waiting = |holding: &Holding| matches!(holding, Holding::Waiting(_));
        let is_serving = |holding: &Holding| matches!(holding, Holding::Serving(_));
        self.followed = None;
        self.handing_over = self.units.values().any(Holding::is_on_its_way);
        self.waiting = self.units.values().any(is_waiting);
        self.wanted.revision += 1;
        self.wanted.units = self.fences(|unit, holding| is_granted(holding) && needs_grant(unit));
        self.serving = self.fences(|_, holding| is_serving(holding));
    }

    fn fences(&self, select: impl Fn(&Unit, &Holding) -> bool) -> BTreeMap<Unit, Fence> {
        self.units
            .iter()
            .filter(|(unit, holding)| select(unit, holding))
            .map(|(unit, holding)| (unit.clone(), holding.fence()))
            .collect()
    }

    /// Starts to hand units over, and returns those that must be drained.
    pub(crate) fn drain(&mut self, plan: &BTreeMap<Unit, Option<Destination>>) -> BTreeSet<Unit> {
        let mut draining = BTreeSet::new();
        for (unit, to) in plan {
            let Some(holding) = self.units.get_mut(unit) else {
                continue;
            };
            let next = match holding {
                Holding::Granting(held) => Holding::Draining(held.clone().drain(to.clone())),
                Holding::Serving(held) => Holding::Draining(held.clone().drain(to.clone())),
                _ => continue,
            };
            *holding = next;
            draining.insert(unit.clone());
        }
        self.refresh();
        draining
    }

    /// Ends service of all units, and returns those that must be drained. Units whose wait has not
    /// ended are dropped, since the wait passes on to the next owner.
    pub(crate) fn close(&mut self) -> BTreeSet<Unit> {
        let is_waiting = |holding: &Holding| matches!(holding, Holding::Waiting(_));
        self.units.retain(|_, holding| !is_waiting(holding));
        let units = self.units.keys();
        let plan = units.map(|unit| (unit.clone(), None)).collect();
        self.drain(&plan)
    }

    /// Notes that no request runs on units that are being drained.
    pub(crate) fn drained(&mut self, units: &BTreeSet<Unit>) {
        for unit in units {
            let Some(holding) = self.units.get_mut(unit) else {
                continue;
            };
            if let Holding::Draining(held) = holding {
                *holding = Holding::Revoking(held.clone().drained());
            }
        }
        self.refresh();
    }

    /// Returns units that nothing runs on any more and that go to one destination.
    pub(crate) fn revoked(&self, upstream: &Upstream) -> Option<(Destination, Vec<UnitFence>)> {
        if !self.handing_over {
            return None;
        }
        let mut clear: BTreeMap<&Destination, Vec<UnitFence>> = BTreeMap::new();
        for (unit, holding) in &self.units {
            let Holding::Revoking(held) = holding else {
                continue;
            };
            let Some(to) = held
                .state
                .to
                .as_ref()
                .filter(|_| upstream.is_clear_of(unit))
            else {
                continue;
            };
            clear.entry(to).or_default().push(UnitFence {
                fence: held.fence,
                unit: unit.clone(),
            });
        }
        let (to, units) = clear.pop_first()?;
        Some((to.clone(), units))
    }

    /// Tells whether no request runs on any unit, as far as this process has started it.
    pub(crate) fn is_drained(&self) -> bool {
        let runs =
            |holding: &Holding| matches!(holding, Holding::Serving(_) | Holding::Draining(_));
        !self.units.values().any(runs)
    }

    /// Tells whether units are on their way to another member.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over
    }

    /// Notes that the record that passes units on has been appended.
    pub(crate) fn moving(&mut self, units: &[UnitFence]) {
        for UnitFence { unit, .. } in units {
            if let Some(Holding::Revoking(held)) = self.units.get(unit) {
                let moving = Holding::Moving(held.clone().appended());
                self.units.insert(unit.clone(), moving);
            }
        }
    }

    /// Returns to service the units that are being handed over, and tells which.
    pub(crate) fn keep(&mut self, select: impl Fn(&Unit, &Holding) -> bool) -> BTreeSet<Unit> {
        let mut kept = BTreeSet::new();
        for (unit, holding) in &mut self.units {
            if !select(unit, holding) {
                continue;
            }
            let granting = match holding {
                Holding::Draining(held) => held.clone().kept(),
                Holding::Revoking(held) => held.clone().kept(),
                Holding::Moving(held) => held.clone().kept(),
                _ => continue,
            };
            *holding = Holding::Granting(granting);
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
        for holding in self.units.values() {
            *counts.entry(holding.name().to_owned()).or_default() += 1;
        }
        counts
    }

    /// Returns the units that the upstream is to hold grants of.
    pub(crate) fn wanted(&self) -> &Wanted {
        &self.wanted
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
