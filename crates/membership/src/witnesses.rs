//! The witnesses that renew the lease of this member.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Fleet;
use cluster::Quorum;
use ids::Incarnation;
use ids::Offset;
use ids::VmId;

use crate::WitnessQuorum;

/// Incarnation that marks a witness whose renewals no longer count.
const ENDED: Incarnation = 0;

/// The witnesses that renew the lease of this member. While witnesses are being replaced, the former
/// ones count as well as the current ones, until this member releases them. A member without
/// witnesses renews its lease alone until it requests some.
#[derive(Clone, Debug, Default)]
pub(crate) struct Witnesses {
    current: Option<WitnessQuorum>,
    former: Vec<WitnessQuorum>,
    former_grants_until: Duration,
    since: Offset,
}

impl Witnesses {
    /// Updates the witnesses of `own_vm` from the folded log.
    pub(crate) fn sync_with_fleet(&mut self, fleet: &Fleet, own_vm: &VmId) {
        let Some(member) = fleet.members().get(own_vm) else {
            return;
        };
        if member.witnesses_since != self.since {
            self.former.extend(self.current.take());
            self.since = member.witnesses_since;
        }
        let incarnations = member.witnesses.iter().map(|vm| {
            let incarnation = fleet.members().get(vm).map(|witness| witness.incarnation);
            (vm.clone(), incarnation.unwrap_or(ENDED))
        });
        let requested_at = self
            .current
            .as_ref()
            .and_then(|current| current.requested_at);
        let mut current = WitnessQuorum {
            requested_at,
            required_renewals: Quorum::of(member.witnesses.len()).renewals,
            witnesses: incarnations.collect(),
        };
        mark_ended(&mut current, fleet, own_vm);
        self.current = Some(current);
        for former in &mut self.former {
            mark_ended(former, fleet, own_vm);
        }
    }

    /// Records a request for new witnesses. A member without witnesses stops renewing its lease alone,
    /// so the lease ends one lease length later, as the new witnesses may begin to count at any time
    /// from now on.
    pub(crate) fn record_request(&mut self, now: Duration) {
        if let Some(current) = &mut self.current
            && current.required_renewals == 0
        {
            current.requested_at.get_or_insert(now);
        }
    }

    /// Reports whether this member has no witnesses, so that no other member can detect its loss.
    pub(crate) fn is_unwitnessed(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.required_renewals == 0)
    }

    /// Returns the witnesses whose renewals count, the current ones first.
    pub(crate) fn quorums(&self) -> Vec<WitnessQuorum> {
        let quorums = self.current.iter().chain(&self.former);
        quorums.cloned().collect()
    }

    /// Reports whether former witnesses still count as well as the current ones.
    pub(crate) fn has_former(&self) -> bool {
        !self.former.is_empty()
    }

    /// Stops counting the renewals of the former witnesses. Grants that depend on them may last until
    /// `former_grants_until`.
    pub(crate) fn release_former(&mut self, former_grants_until: Duration) {
        self.former.clear();
        self.former_grants_until = former_grants_until;
    }

    /// Returns the time until which grants that depend on released witnesses may last.
    pub(crate) fn former_grants_until(&self) -> Duration {
        self.former_grants_until
    }

    /// Returns the number of current witnesses.
    pub(crate) fn len(&self) -> usize {
        let current = self.current.as_ref();
        current.map_or(0, |current| current.witnesses.len())
    }
}

/// Marks the witnesses whose incarnation has ended. A later incarnation of a witness does not count.
fn mark_ended(quorum: &mut WitnessQuorum, fleet: &Fleet, own_vm: &VmId) {
    let mut incarnations: BTreeMap<VmId, Incarnation> = std::mem::take(&mut quorum.witnesses);
    for (vm, incarnation) in &mut incarnations {
        if !fleet.is_witness(vm, *incarnation, own_vm) {
            *incarnation = ENDED;
        }
    }
    quorum.witnesses = incarnations;
}
