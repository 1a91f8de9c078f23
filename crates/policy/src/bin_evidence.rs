//! Evidence of one bin.

use std::collections::BTreeMap;

use ids::VmId;

use crate::evidence_sum::EvidenceSum;

/// Largest increment of a bin by slow answers, as a fraction of the threshold.
///
/// Two bins reach the threshold, and one doesn't, so that late reports at the beginning or the end of a burst do not condemn
/// a version.
const MAX_STRONG_FRACTION: f64 = 0.6;

/// Largest increment of a bin by slow answers while the reference is weak, as a fraction of the threshold.
///
/// Three bins reach the threshold. A load that begins or ends within a bin affects at most two in a row, since in the bins
/// between all answers are slow, and the sum falls.
const MAX_WEAK_FRACTION: f64 = 0.35;

/// Increments of a test by upstream.
pub(crate) type Increments = BTreeMap<VmId, EvidenceSum>;

/// Evidence of one bin, on one route or on all of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct BinEvidence {
    /// Increments by all answers, with slow answers counted as good.
    pub(crate) by_failures: Increments,
    /// What slow answers add to them.
    pub(crate) by_slow: Increments,
    /// Whether slow answers may come from a load that the current version does not have at that moment.
    pub(crate) is_weak: bool,
}

impl BinEvidence {
    /// Adds the evidence of another route in the same bin.
    pub(crate) fn add(&mut self, other: &Self) {
        add_all(&mut self.by_failures, &other.by_failures, 1.0);
        add_all(&mut self.by_slow, &other.by_slow, 1.0);
        self.is_weak |= other.is_weak;
    }

    /// Returns the increments, in which the part of slow answers is limited for a test with the given threshold.
    pub(crate) fn increments(&self, threshold: f64, leaves_one_out: bool) -> Increments {
        let fraction = if self.is_weak {
            MAX_WEAK_FRACTION
        } else {
            MAX_STRONG_FRACTION
        };
        let mut max_value = threshold * fraction;
        let upstreams = self.by_failures.len() as f64;
        if leaves_one_out && upstreams > 1.0 {
            // The limit applies to the upstreams that are not left out.
            max_value *= upstreams / (upstreams - 1.0);
        }
        let sum = |parts: &Increments| parts.values().map(|part| part.value).sum::<f64>();
        let by_slow = sum(&self.by_slow).max(f64::MIN_POSITIVE);
        let weight = (max_value - sum(&self.by_failures)) / by_slow;
        let mut increments = self.by_failures.clone();
        add_all(&mut increments, &self.by_slow, weight.clamp(0.0, 1.0));
        increments
    }
}

fn add_all(sums: &mut Increments, parts: &Increments, weight: f64) {
    for (vm, part) in parts {
        match sums.get_mut(vm) {
            Some(sum) => sum.add(part, weight),
            None => {
                let mut sum = EvidenceSum::default();
                sum.add(part, weight);
                sums.insert(vm.clone(), sum);
            }
        }
    }
}
