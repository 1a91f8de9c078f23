//! States of zones that the log does not hold yet.

use std::collections::BTreeMap;

use ids::ZoneId;

use crate::Fleet;
use crate::Member;

/// States of zones that operators have declared and that the log does not hold yet.
///
/// Only the choice of where requests and units go takes them into account. The fold of the log does not, since it must be
/// the same at every process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PendingZones(BTreeMap<ZoneId, bool>);

impl PendingZones {
    /// Returns the zones with their states, `true` for a zone that is out of service.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneId, bool)> {
        self.0.iter().map(|(zone, out)| (zone, *out))
    }

    /// Reports whether an availability zone is out of service, by the declaration or else by the log.
    pub fn is_zone_out(&self, fleet: &Fleet, zone: &ZoneId) -> bool {
        let pending = self.0.get(zone).copied();
        pending.unwrap_or_else(|| fleet.is_zone_out(zone))
    }

    /// Reports whether a member may become the owner of shards and pinned keys of its service, and may get requests of a
    /// service without keys.
    pub fn is_candidate(&self, fleet: &Fleet, member: &Member) -> bool {
        !self.is_zone_out(fleet, &member.join.zone) && fleet.is_in_service(member)
    }
}

impl FromIterator<(ZoneId, bool)> for PendingZones {
    fn from_iter<T: IntoIterator<Item = (ZoneId, bool)>>(zones: T) -> Self {
        Self(zones.into_iter().collect())
    }
}
