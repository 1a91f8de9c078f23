//! The roll-out of one service, as traffic threads see it.

use cluster::Member;
use cluster::Rollout;
use cluster::RolloutState;
use cluster::VersionRole;
use ids::Offset;

/// The roll-out of one service, as traffic threads see it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceRollout {
    /// Position of this process among the entries, from 0 to 1.
    pub(crate) entry_phase: f64,
    /// Part of this process in the requests that a trial may get beyond its share.
    pub(crate) extra_requests: f64,
    /// Whether a decider has rolled the version back, which the log may not state yet.
    pub(crate) is_condemned: bool,
    /// Largest share of a trial in the requests of the service.
    pub(crate) max_share: f64,
    /// The roll-out as the log holds it.
    pub(crate) recorded: Rollout,
    /// Present share of the target version in the requests of a service without keys.
    pub(crate) share: f64,
}

/// What an entry sends to a member of a service without keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum VersionUse {
    /// Requests as far as the share of the target version allows.
    Target,
    /// Requests beyond the share of the target version, which are all while no version is on trial.
    Other,
    /// Nothing.
    Nothing,
}

impl ServiceRollout {
    /// Returns the position of the order.
    pub(crate) fn position(&self) -> Offset {
        self.recorded.order.position
    }

    /// Returns what upstreams of a member get.
    pub(crate) fn role(&self, member: &Member) -> VersionRole {
        let version = &member.join.version;
        if !self.is_condemned {
            return self.recorded.version_role(version);
        }
        let is_withdrawn = *version == self.recorded.order.target_version
            || self.recorded.replaced_versions.contains(version);
        match is_withdrawn {
            true => VersionRole::Withdrawn,
            false => VersionRole::Current,
        }
    }

    /// Returns what an entry sends to a member, if its service has no keys.
    pub(crate) fn version_use(&self, member: &Member) -> VersionUse {
        let version = &member.join.version;
        if self.is_promoting() {
            let is_replaced = self.recorded.replaced_versions.contains(version);
            return match *version == self.recorded.order.target_version {
                true => VersionUse::Target,
                false if self.share < 1.0 && !is_replaced => VersionUse::Other,
                false => VersionUse::Nothing,
            };
        }
        match self.role(member) {
            VersionRole::Current => VersionUse::Other,
            VersionRole::Trial => VersionUse::Target,
            VersionRole::Withdrawn => VersionUse::Nothing,
        }
    }

    /// Reports whether the target version is promoted.
    pub(crate) fn is_promoting(&self) -> bool {
        self.recorded.state == RolloutState::Promoting && !self.is_condemned
    }
}
