//! Who renews the lease of this member.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Fleet;
use cluster::Quorum;
use ids::Incarnation;
use ids::Offset;
use ids::VmId;

use crate::WitnessQuorum;

/// Life of a witness that renews no more.
const GONE: Incarnation = 0;

/// Who renews the lease of this member. While witnesses are being replaced, the former ones count
/// beside the present ones, until this member releases them. A member without witnesses renews
/// alone until it asks for some.
#[derive(Clone, Debug, Default)]
pub(crate) struct Witnesses {
    former: Vec<WitnessQuorum>,
    granted_until: Duration,
    present: Option<WitnessQuorum>,
    since: Offset,
}

impl Witnesses {
    /// Follows what the log says of the witnesses of `me`.
    pub(crate) fn follow(&mut self, fleet: &Fleet, me: &VmId) {
        let Some(member) = fleet.members().get(me) else {
            return;
        };
        if member.witnesses_since != self.since {
            self.former.extend(self.present.take());
            self.since = member.witnesses_since;
        }
        let lives = member.witnesses.iter().map(|vm| {
            let life = fleet.members().get(vm).map(|witness| witness.incarnation);
            (vm.clone(), life.unwrap_or(GONE))
        });
        let requested_at = self
            .present
            .as_ref()
            .and_then(|present| present.requested_at);
        let mut present = WitnessQuorum {
            requested_at,
            required_renewals: Quorum::of(member.witnesses.len()).renewals,
            witnesses: lives.collect(),
        };
        drop_gone(&mut present, fleet, me);
        self.present = Some(present);
        for former in &mut self.former {
            drop_gone(former, fleet, me);
        }
    }

    /// Notes that new witnesses are asked for. What this member renews alone ends a lease later, as
    /// the new witnesses may begin to count at any time from now on.
    pub(crate) fn ask(&mut self, now: Duration) {
        if let Some(present) = &mut self.present
            && present.required_renewals == 0
        {
            present.requested_at.get_or_insert(now);
        }
    }

    /// Tells whether nobody watches this member, so that its loss can't be seen.
    pub(crate) fn is_alone(&self) -> bool {
        self.present
            .as_ref()
            .is_some_and(|present| present.required_renewals == 0)
    }

    /// Returns the witnesses whose renewals count, the present ones first.
    pub(crate) fn quorums(&self) -> Vec<WitnessQuorum> {
        let both = self.present.iter().chain(&self.former);
        both.cloned().collect()
    }

    /// Tells whether former witnesses count beside the present ones.
    pub(crate) fn has_former(&self) -> bool {
        !self.former.is_empty()
    }

    /// Counts the former witnesses no more. They may have renewed until `granted_until`.
    pub(crate) fn release_former(&mut self, granted_until: Duration) {
        self.former.clear();
        self.granted_until = granted_until;
    }

    /// Returns until when grants may last that rest on witnesses that count no more.
    pub(crate) fn granted_until(&self) -> Duration {
        self.granted_until
    }

    /// Returns the number of present witnesses.
    pub(crate) fn len(&self) -> usize {
        let present = self.present.as_ref();
        present.map_or(0, |present| present.witnesses.len())
    }
}

/// Marks the witnesses that have ended or begun a later life, which does not count.
fn drop_gone(quorum: &mut WitnessQuorum, fleet: &Fleet, me: &VmId) {
    let mut lives: BTreeMap<VmId, Incarnation> = std::mem::take(&mut quorum.witnesses);
    for (vm, life) in &mut lives {
        if !fleet.is_witness(vm, *life, me) {
            *life = GONE;
        }
    }
    quorum.witnesses = lives;
}
