//! State of the fleet, folded from the log.

use std::collections::BTreeMap;

use config::KeyHash;
use config::Plan;
use config::Plans;
use config::Workspaces;
use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::Unit;
use ids::VmId;
use ids::WorkspaceId;
use ids::ZoneId;

use crate::Member;
use crate::Ownership;
use crate::QuarantineEntry;
use crate::RecordAssembler;
use crate::Rollout;
use crate::VersionRole;
use crate::configuration::Configuration;
use crate::quarantine::Quarantine;
use crate::rank::hash;
use crate::rank::rank;
use crate::recent_records::RecentRecords;
use crate::roster::Roster;
use crate::snapshot_progress::SnapshotProgress;
use crate::supervision::Supervision;
use crate::units::Units;

/// State of the fleet after all records up to an offset.
///
/// The same records in the same order give the same state in every process. The fold uses no clock, no random numbers
/// and no settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    pub(crate) configuration: Configuration,
    pub(crate) incomplete: RecordAssembler,
    pub(crate) next_offset: Offset,
    pub(crate) progress: SnapshotProgress,
    pub(crate) quarantine: Quarantine,
    pub(crate) recent: RecentRecords,
    pub(crate) rollouts: BTreeMap<ServiceId, Rollout>,
    pub(crate) roster: Roster,
    pub(crate) units: Units,
}

impl Fleet {
    /// Returns the offset of the last accepted configuration record, or 0 if there is none.
    pub fn config_version(&self) -> Offset {
        self.configuration.version
    }

    /// Returns the number of units that a member owns.
    pub fn unit_count(&self, vm: &str) -> usize {
        self.units.count_of(vm)
    }

    /// Reports whether the upstream of a VM is out of service.
    pub fn is_drained(&self, vm: &str) -> bool {
        self.configuration.upstream(vm).out
    }

    /// Reports whether a member may become the owner of shards and pinned keys of its service.
    pub fn is_candidate(&self, member: &Member) -> bool {
        !self.is_zone_out(&member.join.zone) && self.is_in_service(member)
    }

    /// Reports whether neither the state of a member's upstream nor its version exclude it from its service.
    pub(crate) fn is_in_service(&self, member: &Member) -> bool {
        !self.is_drained(&member.join.vm) && self.version_role(member) != VersionRole::Withdrawn
    }

    /// Reports whether this incarnation of `witness` may renew the lease of the current incarnation of `vm`.
    ///
    /// While witnesses are being replaced, both the former and the new ones may renew it.
    pub fn is_witness(&self, witness: &str, incarnation: Incarnation, vm: &str) -> bool {
        self.roster.current_member(witness, incarnation).is_some()
            && self
                .roster
                .supervision(vm)
                .is_some_and(|supervision| supervision.includes(witness, incarnation))
    }

    /// Returns the members by name.
    pub fn members(&self) -> &BTreeMap<VmId, Member> {
        self.roster.members()
    }

    /// Reports whether a member should append a `Rewitness` record with its `witnesses_since` as the base.
    ///
    /// It should if witnesses are missing, if the fleet has grown so that better ones exist, or if former witnesses
    /// have not been released since their replacement.
    pub fn needs_rewitness(&self, vm: &VmId) -> bool {
        self.roster.needs_rewitness(vm)
    }

    /// Reports whether a `Rewitness` record of a member with its `witnesses_since` as the base would release former
    /// witnesses. Otherwise the record names new ones.
    pub fn rewitness_releases_former(&self, vm: &str) -> bool {
        let supervision = self.roster.supervision(vm);
        supervision.is_some_and(Supervision::releases_former)
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the owner of a unit.
    pub fn owner(&self, unit: &Unit) -> Option<&Ownership> {
        self.units.owner(unit)
    }

    /// Returns the owner of every unit.
    pub fn owners(&self) -> &BTreeMap<Unit, Ownership> {
        self.units.owners()
    }

    /// Returns the plan of a workspace.
    pub fn plan_of(&self, workspace: &str) -> Option<&Plan> {
        self.configuration.plan_of(workspace)
    }

    /// Returns the plans in force.
    pub fn plans(&self) -> &Plans {
        &self.configuration.plans
    }

    /// Returns the revision of the manifest in force, or 0 if documents are published separately.
    pub fn revision(&self) -> u64 {
        self.configuration.revision
    }

    /// Reports whether any configuration with routes has been published.
    pub fn is_configured(&self) -> bool {
        self.plans_version() > 0
    }

    /// Returns the offset of the publication of the plans in force, or 0 if there is none.
    pub fn plans_version(&self) -> Offset {
        self.configuration.plans_version
    }

    /// Returns the requests in quarantine by fingerprint, including expired ones.
    pub fn quarantine(&self) -> &BTreeMap<String, QuarantineEntry> {
        self.quarantine.entries()
    }

    /// Returns the number of records after the last one that a complete snapshot covers.
    pub fn records_since_snapshot(&self) -> u64 {
        self.next_offset.saturating_sub(self.progress.through() + 1)
    }

    /// Returns the members in the order in which they should write the next snapshot.
    ///
    /// The first member writes it. Each of the others writes it if those before it have not.
    pub fn ranked_snapshot_writers(&self) -> Vec<&VmId> {
        self.rank_members(&format!("snapshot:{}", self.progress.through()))
    }

    /// Returns the members in the order in which they should publish the next declarations of operators.
    ///
    /// Neighbours by name often share an availability zone, and thus faults. They are not neighbours in this order.
    pub fn ranked_publishers(&self) -> Vec<&VmId> {
        self.rank_members(&format!("declarations:{}", self.config_version()))
    }

    fn rank_members(&self, subject: &str) -> Vec<&VmId> {
        let subject = hash(subject);
        let mut ranked: Vec<(f64, &VmId)> = self
            .members()
            .keys()
            .map(|vm| (rank(subject, hash(vm), 1), vm))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, vm)| vm).collect()
    }

    /// Returns the offset of the last record that a complete snapshot covers, or 0 if there is none.
    pub fn snapshot_through(&self) -> Offset {
        self.progress.through()
    }

    /// Returns the member that should write the next snapshot.
    pub fn next_snapshot_writer(&self) -> Option<&VmId> {
        self.ranked_snapshot_writers().first().copied()
    }

    /// Returns the unit that `key` of `service` belongs to, or `None` if the service has no keys.
    pub fn unit_of(&self, service: &ServiceId, key: &str) -> Option<Unit> {
        let pinned = Unit::Pinned {
            service: service.clone(),
            key: key.to_owned(),
        };
        let shard = self.shard_of(service, key)?;
        Some(if self.units.contains(&pinned) {
            pinned
        } else {
            shard
        })
    }

    pub(crate) fn shard_of(&self, service: &ServiceId, key: &str) -> Option<Unit> {
        let declared = self.plans().services.get(service)?;
        if declared.numeric_keys.is_some() {
            let index = declared.shard_of_numeric_key(key)?;
            let service = service.clone();
            return Some(Unit::Shard { service, index });
        }
        let shards = declared.shards;
        if shards == 0 {
            return None;
        }
        let hash = blake3::hash(key.as_bytes());
        let mut bytes = [0; 4];
        bytes.copy_from_slice(&hash.as_bytes()[..4]);
        Some(Unit::Shard {
            service: service.clone(),
            index: u32::from_le_bytes(bytes) % shards,
        })
    }

    /// Returns the units that a member owns.
    pub fn units_of(&self, vm: &str) -> impl Iterator<Item = (&Unit, &Ownership)> {
        self.units.owned_by(vm)
    }

    /// Returns the units without an owner, with the time that their next owner must wait in milliseconds.
    pub fn unowned_units(&self) -> &BTreeMap<Unit, u64> {
        self.units.unowned()
    }

    /// Returns the offset of the record that last changed the state of an upstream, or 0 for none.
    pub fn upstream_version(&self, vm: &str) -> Offset {
        self.configuration.upstream(vm).version
    }

    /// Reports whether a tenant key was withdrawn.
    pub fn is_withdrawn(&self, hash: &KeyHash) -> bool {
        self.configuration.is_withdrawn(hash)
    }

    /// Reports whether a request may run under a tenant key whose hash begins with `prefix`.
    ///
    /// Another process has accepted the key after it had read the log up to `offset` and the manifest with `revision`. If this
    /// fleet has read less, the decision of that process is accepted.
    pub fn accepts_key(&self, prefix: &str, offset: Offset, revision: u64) -> bool {
        self.next_offset < offset
            || self.revision() < revision
            || self.configuration.has_key(prefix)
    }

    /// Returns the workspace of a tenant key that is in force.
    pub fn workspace_of(&self, hash: &KeyHash) -> Option<&WorkspaceId> {
        self.configuration.workspace_of(hash)
    }

    /// Returns the workspaces in force.
    pub fn workspaces(&self) -> &Workspaces {
        &self.configuration.workspaces
    }

    /// Returns the offset of the publication of the workspaces in force, or 0 if there is none.
    pub fn workspaces_version(&self) -> Offset {
        self.configuration.workspaces_version
    }

    /// Reports whether an availability zone is out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.configuration.zone(zone).out
    }

    /// Returns the availability zones that are out of service.
    pub fn zones_out(&self) -> impl Iterator<Item = &ZoneId> {
        self.configuration.zones_out()
    }

    /// Returns the greatest position of a declaration that set the state of a zone, or 0 for none.
    pub fn zone_position(&self, zone: &str) -> Offset {
        self.configuration.zone(zone).position
    }

    /// Returns the offset of the record that last changed the state of a zone, or 0 for none.
    pub fn zone_version(&self, zone: &str) -> Offset {
        self.configuration.zone(zone).version
    }
}
