//! Grants that an upstream has received.

use std::collections::BTreeMap;

use ids::Fence;
use ids::Unit;

use crate::upstream::GrantOrder;

/// Grants of all holders, and the highest fence seen for each unit.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    holders: BTreeMap<String, HolderGrants>,
    highest_fences: BTreeMap<Unit, Fence>,
}

#[derive(Debug, Default)]
struct HolderGrants {
    expiry_ms: u64,
    granted: BTreeMap<Unit, Fence>,
    sequence: Option<u64>,
}

impl Grants {
    /// Applies an order, or returns `false` when an order from its holder with the same or a higher sequence number
    /// has already been applied.
    pub(crate) fn apply(&mut self, order: GrantOrder) -> bool {
        let holder = self.holders.entry(order.holder.clone()).or_default();
        if holder.sequence.is_some_and(|last| order.sequence <= last) {
            return false;
        }
        holder.sequence = Some(order.sequence);
        holder.expiry_ms = order.expiry_ms;
        if order.all {
            holder.granted.clear();
        }
        for unit in &order.revoked {
            holder.granted.remove(unit);
        }
        for grant in order.granted {
            self.add_grant(&order.holder, &grant.unit, grant.fence);
        }
        true
    }

    fn add_grant(&mut self, holder: &str, unit: &Unit, fence: Fence) {
        let highest = self.highest_fences.entry(unit.clone()).or_insert(fence);
        if fence < *highest {
            return;
        }
        *highest = fence;
        for (name, other) in &mut self.holders {
            other.granted.remove(unit);
            if name == holder {
                other.granted.insert(unit.clone(), fence);
            }
        }
    }

    /// Returns the holder of a grant, whether or not it has expired.
    pub(crate) fn holder(&self, unit: &Unit, fence: Fence) -> Option<&str> {
        self.holders
            .iter()
            .find(|(_, holder)| holder.granted.get(unit) == Some(&fence))
            .map(|(name, _)| name.as_str())
    }

    /// Returns when a holder's grants expire, in milliseconds on the upstream's clock, or 0 for an unknown holder.
    pub(crate) fn expiry_ms(&self, holder: &str) -> u64 {
        self.holders
            .get(holder)
            .map_or(0, |holder| holder.expiry_ms)
    }
}
