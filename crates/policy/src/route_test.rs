//! Test of a version on trial on one route.

use std::collections::BTreeMap;

use ids::VmId;

use crate::LatencyHistogram;
use crate::RouteEvidence;
use crate::VersionGroup;
use crate::bin_evidence::BinEvidence;
use crate::bin_evidence::Increments;
use crate::evidence_sum::EvidenceSum;
use crate::leave_one_out_sums::LeaveOneOutSums;
use crate::version_reference::MIN_REFERENCE_ANSWERS;
use crate::version_reference::VersionReference;

/// Least fraction of bad answers that is expected of any version.
const MIN_EXPECTED_FRACTION: f64 = 0.01;

/// Difference between the fractions of bad answers of a bad version and of the current one.
const BAD_DIFFERENCE: f64 = 0.15;

/// Test of a version on trial on one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteTest {
    /// Answers of the current version, without their times.
    pub(crate) current: RouteEvidence,
    /// Judged answers of the version on trial.
    pub(crate) judged: EvidenceSum,
    /// Cumulative sums up to the open bin.
    pub(crate) sums: LeaveOneOutSums,
    /// Answers of the version on trial, without their times.
    pub(crate) trial: RouteEvidence,
    open_current: RouteEvidence,
    open_trial: BTreeMap<VmId, RouteEvidence>,
    reference: VersionReference,
}

impl RouteTest {
    /// Records answers of `vm` in the open bin.
    ///
    /// Of answers that are not of this bin, times say nothing. They count for the version on trial, so that its failures
    /// are judged, but not for the reference.
    pub(crate) fn record(
        &mut self,
        vm: &VmId,
        group: VersionGroup,
        mut evidence: RouteEvidence,
        is_of_bin: bool,
    ) {
        if evidence.answers == 0 {
            return;
        }
        let totals = match group {
            VersionGroup::Current => &mut self.current,
            VersionGroup::Trial => &mut self.trial,
        };
        totals.answers += evidence.answers;
        totals.failures += evidence.failures;
        match (group, is_of_bin) {
            (VersionGroup::Current, true) => self.open_current.add(&evidence),
            (VersionGroup::Current, false) => {}
            (VersionGroup::Trial, _) => {
                if !is_of_bin {
                    evidence.latencies = LatencyHistogram::default();
                }
                let open = self.open_trial.entry(vm.clone()).or_default();
                open.add(&evidence);
            }
        }
    }

    /// Returns the evidence of the open bin, which is empty without enough answers of the current version.
    pub(crate) fn evidence(&self) -> BinEvidence {
        let mut trial = RouteEvidence::default();
        for evidence in self.open_trial.values() {
            trial.add(evidence);
        }
        if trial.answers == 0 {
            return BinEvidence::default();
        }
        let Some(expectation) = self.reference.expect(&self.open_current, &trial) else {
            return BinEvidence::default();
        };
        let largest = 1.0 - BAD_DIFFERENCE - MIN_EXPECTED_FRACTION;
        let expected = expectation.bad_fraction;
        let expected = expected.clamp(MIN_EXPECTED_FRACTION, largest);
        let increment = |answers: f64, bad: f64| {
            EvidenceSum::increment(answers, bad, expected, expected + BAD_DIFFERENCE)
        };
        let mut bin = BinEvidence {
            is_weak: expectation.is_weak,
            ..BinEvidence::default()
        };
        for (vm, evidence) in &self.open_trial {
            let by_failures = increment(evidence.answers as f64, evidence.failures as f64);
            bin.by_failures.insert(vm.clone(), by_failures);
            let slow = evidence.latencies.count_above(expectation.limit_ms);
            // Each slow answer becomes a bad one instead of a good one.
            let by_slow = increment(0.0, slow);
            bin.by_slow.insert(vm.clone(), by_slow);
        }
        bin
    }

    /// Reports whether the open bin alone has enough answers of the current version to compare with.
    pub(crate) fn has_open_reference(&self) -> bool {
        self.open_current.answers >= MIN_REFERENCE_ANSWERS
    }

    /// Adds the increments of the open bin, and opens the next one.
    pub(crate) fn close(&mut self, increments: &Increments) {
        self.sums.add(increments);
        for increment in increments.values() {
            self.judged.add(increment, 1.0);
        }
        if increments.is_empty() {
            // Without a reference, failures are judged later. Times no longer are, since the load may differ by then.
            for evidence in self.open_trial.values_mut() {
                evidence.latencies = LatencyHistogram::default();
            }
        } else {
            self.open_trial.clear();
        }
        let current = std::mem::take(&mut self.open_current);
        self.reference.close(current);
    }
}
