//! Comparison of a version on trial with the current one.

use std::time::Duration;

use ids::VmId;

use crate::RolloutVerdict;
use crate::RouteSummary;
use crate::UpstreamEvidence;
use crate::VersionGroup;

/// Compares the answers of a version on trial with those of the current version.
#[derive(Clone, Debug, Default)]
pub struct RolloutJudge {}

impl RolloutJudge {
    /// Records the cumulative counts that the home of `vm` reported.
    ///
    /// Routes that are not in `evidence` keep their counts, so that a report may be split. Reports of a home must be recorded
    /// in the order of their sequence, and older ones left out: a smaller count is taken for a restart of the home.
    pub fn record(
        &mut self,
        _now: Duration,
        _vm: &VmId,
        _group: VersionGroup,
        _evidence: &UpstreamEvidence,
    ) {
    }

    /// Returns the verdict on the evidence recorded up to `now`.
    pub fn verdict(&mut self, _now: Duration) -> RolloutVerdict {
        RolloutVerdict::Undecided
    }

    /// Returns the evidence by route, in the order of their names.
    pub fn summaries(&self) -> Vec<RouteSummary> {
        Vec::new()
    }
}
