//! The units that the upstream should hold grants of.

use std::collections::BTreeMap;

use cluster::UnitFence;
use ids::Fence;
use ids::Unit;

/// The units that the upstream should hold grants of.
#[derive(Debug, Default)]
pub(crate) struct DesiredGrants {
    /// Changes whenever `units` does.
    pub(crate) revision: u64,
    /// The units with their fences.
    pub(crate) units: BTreeMap<Unit, Fence>,
}

impl DesiredGrants {
    /// Returns the number of ranges of shards, where adjacent shards with the same fence form one range.
    pub(crate) fn range_count(&self) -> usize {
        let mut ranges = 0;
        let mut last = None;
        for (unit, fence) in &self.units {
            let Unit::Shard { index, .. } = unit else {
                continue;
            };
            if last != Some((index.wrapping_sub(1), *fence)) {
                ranges += 1;
            }
            last = Some((*index, *fence));
        }
        ranges
    }

    /// Returns the units that are not in `confirmed`, or every unit if `all` is set.
    pub(crate) fn missing(&self, confirmed: &BTreeMap<Unit, Fence>, all: bool) -> Vec<UnitFence> {
        let units = self.units.iter();
        let missing = units.filter(|(unit, fence)| all || confirmed.get(unit) != Some(fence));
        let granted = missing.map(|(unit, fence)| UnitFence {
            fence: *fence,
            unit: unit.clone(),
        });
        granted.collect()
    }
}
