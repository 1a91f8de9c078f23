//! A simulated upstream that checks grants, with its own clock.

use std::collections::BTreeMap;

use ids::Fence;
use ids::Unit;
use membership::Grant;
use membership::GrantAnswer;

pub(crate) struct FakeUpstream {
    pub(crate) instance: String,
    pub(crate) paused_until: u64,
    pub(crate) rate: f64,
    pub(crate) started: u64,
    fences: BTreeMap<Unit, Fence>,
    holders: BTreeMap<String, Holder>,
}

#[derive(Default)]
struct Holder {
    expiry_ms: u64,
    grants: BTreeMap<Unit, Fence>,
    sequence: u64,
}

impl FakeUpstream {
    pub(crate) fn new(at: u64, rate: f64, instance: String) -> Self {
        Self {
            instance,
            paused_until: 0,
            rate,
            started: at,
            fences: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    pub(crate) fn clock_ms(&self, at: u64) -> u64 {
        ((at - self.started) as f64 * self.rate / 1000.0) as u64
    }

    pub(crate) fn apply_grant(&mut self, at: u64, grant: Grant) -> Option<GrantAnswer> {
        let holder = self.holders.entry(grant.holder).or_default();
        if grant.sequence <= holder.sequence || grant.instance != self.instance {
            return None;
        }
        holder.sequence = grant.sequence;
        holder.expiry_ms = grant.expiry_ms;
        if grant.all {
            holder.grants.clear();
        }
        for unit in &grant.revoked {
            holder.grants.remove(unit);
        }
        for granted in grant.granted {
            let newest = self.fences.entry(granted.unit.clone()).or_default();
            if granted.fence >= *newest {
                *newest = granted.fence;
                holder.grants.insert(granted.unit, granted.fence);
            }
        }
        Some(GrantAnswer {
            clock_ms: self.clock_ms(at),
            instance: self.instance.clone(),
            running: BTreeMap::new(),
            sequence: grant.sequence,
        })
    }

    /// Reports whether a request that has started may still run, which it may until the grant expires.
    pub(crate) fn may_run(&self, at: u64) -> bool {
        let clock_ms = self.clock_ms(at);
        let mut holders = self.holders.values();
        holders.any(|holder| clock_ms < holder.expiry_ms)
    }

    pub(crate) fn accepts(&self, at: u64, unit: &Unit) -> bool {
        let clock_ms = self.clock_ms(at);
        let holds =
            |holder: &Holder| clock_ms < holder.expiry_ms && holder.grants.contains_key(unit);
        self.holders.values().any(holds)
    }
}
