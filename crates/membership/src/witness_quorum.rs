//! Witnesses of whom a number decides.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Incarnation;
use ids::VmId;

/// Witnesses of a member, and how many of them renew its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct WitnessQuorum {
    /// When a member that needs no renewals asked for witnesses, after which it renews alone no
    /// more.
    pub(crate) requested_at: Option<Duration>,
    /// Number of witnesses whose renewals together renew the lease.
    pub(crate) required_renewals: usize,
    /// The witnesses, each with the life that was named. Later lives do not count.
    pub(crate) witnesses: BTreeMap<VmId, Incarnation>,
}

impl WitnessQuorum {
    /// Returns the latest time that `renewals` witnesses have reached. When none is needed that is
    /// `now`, until the member asked for witnesses.
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

    /// Tells whether too many witnesses refuse for the rest to be enough.
    pub(crate) fn is_unattainable(&self, refuses: impl Fn(&VmId, Incarnation) -> bool) -> bool {
        let is_refusing = |(vm, incarnation): &(&VmId, &Incarnation)| refuses(vm, **incarnation);
        let refusing = self.witnesses.iter().filter(is_refusing).count();
        self.witnesses.len() - refusing < self.required_renewals
    }
}
