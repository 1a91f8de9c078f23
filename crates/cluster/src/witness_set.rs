//! Witnesses that one record named for a member.

use std::collections::BTreeMap;

use ids::Incarnation;
use ids::Offset;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::Quorum;
use crate::evidence::Evidence;

/// Witnesses that one record named for a member, and the evidence that they gave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WitnessSet {
    evidence: BTreeMap<VmId, Evidence>,
    pub(crate) named_at: Offset,
    pub(crate) witnesses: BTreeMap<VmId, Incarnation>,
}

impl WitnessSet {
    pub(crate) fn new(named_at: Offset, witnesses: BTreeMap<VmId, Incarnation>) -> Self {
        Self {
            evidence: BTreeMap::new(),
            named_at,
            witnesses,
        }
    }

    /// Reports whether this incarnation of a VM is one of the witnesses.
    ///
    /// A later incarnation does not count, as it doesn't know what the earlier one suspected.
    pub(crate) fn includes(&self, vm: &str, incarnation: Incarnation) -> bool {
        self.witnesses.get(vm) == Some(&incarnation)
    }

    /// Adds evidence of a witness. Only the first evidence of each witness counts.
    pub(crate) fn add_evidence(&mut self, witness: &VmId, evidence: Evidence) {
        self.evidence.entry(witness.clone()).or_insert(evidence);
    }

    /// Reports whether a VM is a witness that has given no evidence.
    pub(crate) fn lacks_evidence_of(&self, witness: &VmId) -> bool {
        self.witnesses.contains_key(witness) && !self.evidence.contains_key(witness)
    }

    pub(crate) fn has_suspicion(&self) -> bool {
        self.evidence
            .values()
            .any(|evidence| evidence.is_suspicion())
    }

    /// Reports whether enough witnesses may still renew the lease.
    pub(crate) fn can_renew(&self) -> bool {
        self.lease_wait_ms().is_none()
    }

    /// Returns the number of witnesses that still renew.
    pub(crate) fn renewing_count(&self) -> usize {
        self.witnesses.len() - self.evidence.len()
    }

    /// Returns the time until the lease is over, or `None` while enough witnesses may still renew it.
    pub(crate) fn lease_wait_ms(&self) -> Option<u64> {
        self.quorum_wait_ms(|_| true)
    }

    /// Returns the time until the member gets no majority of answers, or `None` while enough witnesses
    /// may still answer.
    pub(crate) fn contact_wait_ms(&self) -> Option<u64> {
        self.quorum_wait_ms(Evidence::ends_heartbeats)
    }

    fn quorum_wait_ms(&self, counts: impl Fn(Evidence) -> bool) -> Option<u64> {
        let suspicions = Quorum::of(self.witnesses.len()).suspicions;
        if self.evidence.len() < suspicions {
            return None;
        }
        let mut waits: Vec<u64> = self
            .evidence
            .values()
            .filter(|evidence| counts(**evidence))
            .map(|evidence| evidence.wait_ms())
            .collect();
        waits.sort_unstable();
        waits.get(suspicions - 1).copied()
    }
}
