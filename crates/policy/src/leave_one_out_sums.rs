//! Cumulative sums that each leave out one upstream.

use std::collections::BTreeMap;

use ids::VmId;

use crate::bin_evidence::Increments;
use crate::evidence_sum::EvidenceSum;

/// Cumulative sums over all upstreams, and over all but each one of them.
///
/// The least of the sums that leave one out is the one without the upstream that adds most. Leaving it out of a single sum
/// would be too late: its part decides when the sum starts again.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaveOneOutSums {
    all: EvidenceSum,
    without: BTreeMap<VmId, EvidenceSum>,
}

impl LeaveOneOutSums {
    /// Adds the increment of each upstream.
    pub(crate) fn add(&mut self, increments: &Increments) {
        for vm in increments.keys() {
            if !self.without.contains_key(vm) {
                self.without.insert(vm.clone(), self.all);
            }
        }
        let increment = total(increments);
        for (vm, sum) in &mut self.without {
            *sum = sum.after(&increment, &increments.get(vm).copied().unwrap_or_default());
        }
        self.all = self.all.after(&increment, &EvidenceSum::default());
    }

    /// Returns the sum after the given increments, or the least one that leaves out an upstream.
    pub(crate) fn after(&self, increments: &Increments, leaves_one_out: bool) -> EvidenceSum {
        let increment = total(increments);
        if !leaves_one_out {
            return self.all.after(&increment, &EvidenceSum::default());
        }
        let is_new = |(vm, _): &(&VmId, &EvidenceSum)| !self.without.contains_key(*vm);
        let new = increments.iter().filter(is_new);
        let new = new.map(|(_, part)| self.all.after(&increment, part));
        let known = self.without.iter().map(|(vm, sum)| {
            let part = increments.get(vm).copied().unwrap_or_default();
            sum.after(&increment, &part)
        });
        known
            .chain(new)
            .min_by(|left, right| left.value.total_cmp(&right.value))
            .unwrap_or_default()
    }

    /// Returns the number of upstreams that have answers in the sums or the given increments.
    pub(crate) fn upstream_count(&self, increments: &Increments) -> usize {
        let is_new = |vm: &&VmId| !self.without.contains_key(*vm);
        self.without.len() + increments.keys().filter(is_new).count()
    }
}

fn total(increments: &Increments) -> EvidenceSum {
    let mut sum = EvidenceSum::default();
    for increment in increments.values() {
        sum.add(increment, 1.0);
    }
    sum
}
