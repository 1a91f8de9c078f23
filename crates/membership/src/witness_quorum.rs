//! Witnesses of a member, with the number of renewals that renew its lease.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Incarnation;
use ids::VmId;

/// Witnesses of a member, and how many of them must renew its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct WitnessQuorum {
    /// Time at which a member that needs no renewals requested witnesses. After it, the member no
    /// longer renews its lease alone.
    pub(crate) requested_at: Option<Duration>,
    /// Number of witnesses whose renewals together renew the lease.
    pub(crate) required_renewals: usize,
    /// The witnesses, each with the incarnation that was chosen. Later incarnations do not count.
    pub(crate) witnesses: BTreeMap<VmId, Incarnation>,
}

impl WitnessQuorum {
    /// Returns the latest time that `required_renewals` witnesses have reached. If no renewal is
    /// required, this is `now`, but no later than the time at which the member requested witnesses.
    pub(crate) fn quorum_time(
        &self,
        now: Duration,
        time_of: impl Fn(&VmId, Incarnation) -> Option<Duration>,
    ) -> Option<Duration> {
        if self.required_renewals == 0 {
            return Some(
                self.requested_at
                    .map_or(now, |requested_at| requested_at.min(now)),
            );
        }
        let mut times: Vec<Duration> = self
            .witnesses
            .iter()
            .filter_map(|(vm, incarnation)| time_of(vm, *incarnation))
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.required_renewals - 1).copied()
    }

    /// Reports whether so many witnesses refuse that the others are too few.
    pub(crate) fn is_unattainable(&self, refuses: impl Fn(&VmId, Incarnation) -> bool) -> bool {
        let is_refusing = |(vm, incarnation): &(&VmId, &Incarnation)| refuses(vm, **incarnation);
        let refusing = self.witnesses.iter().filter(is_refusing).count();
        self.witnesses.len() - refusing < self.required_renewals
    }
}
