//! Division of the requests of a service without keys between two versions.

use std::collections::BTreeSet;

use ids::VmId;

use crate::rollout::ServiceRollout;
use crate::rollout::TrialCredit;

/// Division of the requests of a service without keys between the target version of a roll-out and the others.
#[derive(Debug)]
pub(crate) struct VersionSplit {
    credit: TrialCredit,
    is_promoting: bool,
    others: BTreeSet<VmId>,
    /// Part of a request that the target version is due, while it is promoted.
    owed: f64,
    share: f64,
    targets: BTreeSet<VmId>,
}

impl VersionSplit {
    pub(crate) fn new(rollout: &ServiceRollout) -> Self {
        Self {
            credit: TrialCredit::new(rollout),
            is_promoting: false,
            others: BTreeSet::new(),
            owed: 0.0,
            share: 0.0,
            targets: BTreeSet::new(),
        }
    }

    /// Updates the division to the state of the roll-out, the members of the target version, and the others.
    pub(crate) fn update(
        &mut self,
        rollout: &ServiceRollout,
        targets: BTreeSet<VmId>,
        others: BTreeSet<VmId>,
    ) {
        self.credit.update(rollout);
        self.is_promoting = rollout.is_promoting();
        self.share = rollout.share;
        self.targets = targets;
        self.others = others;
    }

    /// Records an answer of the service.
    pub(crate) fn record_answer(&mut self) {
        if !self.is_promoting {
            self.credit.record_answer(self.share);
        }
    }

    /// Returns the members that the next request must not go to, besides those in `excluded`.
    pub(crate) fn hide(&mut self, excluded: &BTreeSet<VmId>) -> &BTreeSet<VmId> {
        if self.targets.is_subset(excluded) {
            return &self.targets;
        }
        let is_for_target = match self.is_promoting {
            true => self.others.is_subset(excluded) || self.take_due(),
            false => self.credit.try_take(),
        };
        match is_for_target {
            true => &self.others,
            false => &self.targets,
        }
    }

    /// Reports whether the next request is one that a promoted version is due.
    fn take_due(&mut self) -> bool {
        self.owed += self.share;
        let is_due = self.owed >= 1.0;
        if is_due {
            self.owed -= 1.0;
        }
        is_due
    }

    /// Returns the members that get requests of a trial only.
    pub(crate) fn trial_members(&self) -> Option<&BTreeSet<VmId>> {
        (!self.is_promoting).then_some(&self.targets)
    }
}
