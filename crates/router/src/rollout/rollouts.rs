//! Roll-outs, as traffic threads see them.

use std::collections::BTreeMap;

use cluster::Member;
use ids::ServiceId;

use crate::rollout::ServiceRollout;
use crate::rollout::VersionUse;

/// The last roll-out of each service that has had one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Rollouts(BTreeMap<ServiceId, ServiceRollout>);

impl Rollouts {
    /// Returns the roll-out of a service.
    pub(crate) fn get(&self, service: &str) -> Option<&ServiceRollout> {
        self.0.get(service)
    }

    /// Reports whether no service has had a roll-out.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns what an entry sends to a member, if its service has no keys.
    pub(crate) fn version_use(&self, member: &Member) -> VersionUse {
        let rollout = self.get(&member.join.service);
        rollout.map_or(VersionUse::Other, |rollout| rollout.version_use(member))
    }
}

impl FromIterator<(ServiceId, ServiceRollout)> for Rollouts {
    fn from_iter<T: IntoIterator<Item = (ServiceId, ServiceRollout)>>(rollouts: T) -> Self {
        Self(rollouts.into_iter().collect())
    }
}
