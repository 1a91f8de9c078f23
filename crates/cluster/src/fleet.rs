//! The folded log.

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
/// The same records in the same order give the same state in every process: no clock, no random
/// number and no setting takes part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    pub(crate) configuration: Configuration,
    pub(crate) next: Offset,
    pub(crate) progress: SnapshotProgress,
    pub(crate) quarantine: Quarantine,
    pub(crate) recent: RecentRecords,
    pub(crate) roster: Roster,
    pub(crate) units: Units,
}

impl Fleet {
    /// Returns the offset of the last accepted configuration record, 0 before the first.
    pub fn config_version(&self) -> Offset {
        self.configuration.version
    }

    /// Returns the number of units that a member owns.
    pub fn count_of(&self, vm: &str) -> usize {
        self.units.count_of(vm)
    }

    /// Tells whether the upstream of a VM is taken out of service.
    pub fn drained(&self, vm: &str) -> bool {
        self.configuration.upstream(vm).out
    }

    /// Tells whether a member may become the owner of shards and pinned keys of its service.
    pub fn is_candidate(&self, member: &Member) -> bool {
        !self.zone_out(&member.join.zone) && !self.drained(&member.join.vm)
    }

    /// Tells whether this life of `witness` may renew the lease of the present life of `vm`.
    ///
    /// While witnesses are being replaced, both the former and the new ones may.
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

    /// Tells whether a member should append a `Rewitness`, based on its `witnesses_since`.
    ///
    /// This is so when witnesses are missing, when the fleet has grown so that better ones exist,
    /// and when the former witnesses of a replacement are still to be released.
    pub fn needs_rewitness(&self, vm: &VmId) -> bool {
        self.roster.needs_rewitness(vm)
    }

    /// Tells whether the next `Rewitness` of a member, based on its `witnesses_since`, would release
    /// the former witnesses of a replacement. Otherwise it names new ones.
    pub fn releases_witnesses(&self, vm: &str) -> bool {
        let supervision = self.roster.supervision(vm);
        supervision.is_some_and(Supervision::releases_former)
    }

    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
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

    /// Returns the revision of the manifest in force, 0 when documents are published apart.
    pub fn revision(&self) -> u64 {
        self.configuration.revision
    }

    /// Returns the offset of the publication of the plans in force, 0 before the first.
    pub fn plans_version(&self) -> Offset {
        self.configuration.plans_version
    }

    /// Returns the requests in quarantine by fingerprint, expired ones included.
    pub fn quarantine(&self) -> &BTreeMap<String, QuarantineEntry> {
        self.quarantine.entries()
    }

    /// Returns the number of records behind the last one that a complete snapshot covers.
    pub fn records_since_snapshot(&self) -> u64 {
        self.next.saturating_sub(self.progress.through() + 1)
    }

    /// Returns the members in the order in which they should write the next snapshot.
    ///
    /// The first writes it. Each later one steps in when those before it have not written it.
    pub fn snapshot_order(&self) -> Vec<&VmId> {
        let subject = hash(&format!("snapshot:{}", self.progress.through()));
        let mut ranked: Vec<(f64, &VmId)> = self
            .members()
            .keys()
            .map(|vm| (rank(subject, hash(vm), 1), vm))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, vm)| vm).collect()
    }

    /// Returns the offset of the last record that a complete snapshot covers, 0 before the first.
    pub fn snapshot_through(&self) -> Offset {
        self.progress.through()
    }

    /// Returns the member that writes the next snapshot.
    pub fn snapshot_turn(&self) -> Option<&VmId> {
        self.snapshot_order().first().copied()
    }

    /// Returns the unit that `key` of `service` belongs to, or `None` for a service without keys.
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
            let index = declared.shard_of_number(key)?;
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

    /// Returns the units without an owner, with the wait of their next owner in milliseconds.
    pub fn unowned(&self) -> &BTreeMap<Unit, u64> {
        self.units.unowned()
    }

    /// Returns the offset of the record that last changed an upstream's state, 0 for none.
    pub fn upstream_version(&self, vm: &str) -> Offset {
        self.configuration.upstream(vm).version
    }

    /// Tells whether a tenant key was withdrawn.
    pub fn is_withdrawn(&self, hash: &KeyHash) -> bool {
        self.configuration.is_withdrawn(hash)
    }

    /// Tells whether a request may run under a tenant key whose hash begins with `prefix`, and which a process accepted
    /// that had read the log up to `offset`. That process knows better than a fleet that has read less.
    pub fn accepts_key(&self, prefix: &str, offset: Offset) -> bool {
        self.next < offset || self.configuration.has_key(prefix)
    }

    /// Returns the workspace of a tenant key that is in force.
    pub fn workspace_of(&self, hash: &KeyHash) -> Option<&WorkspaceId> {
        self.configuration.workspace_of(hash)
    }

    /// Returns the workspaces in force.
    pub fn workspaces(&self) -> &Workspaces {
        &self.configuration.workspaces
    }

    /// Returns the offset of the publication of the workspaces in force, 0 before the first.
    pub fn workspaces_version(&self) -> Offset {
        self.configuration.workspaces_version
    }

    /// Tells whether an availability zone is taken out of service.
    pub fn zone_out(&self, zone: &str) -> bool {
        self.configuration.zone(zone).out
    }

    /// Returns the availability zones that are taken out of service.
    pub fn zones_out(&self) -> impl Iterator<Item = &ZoneId> {
        self.configuration.zones_out()
    }

    /// Returns the greatest position of a declaration that set the state of a zone, 0 for none.
    pub fn zone_position(&self, zone: &str) -> Offset {
        self.configuration.zone(zone).position
    }

    /// Returns the offset of the record that last changed a zone's state, 0 for none.
    pub fn zone_version(&self, zone: &str) -> Offset {
        self.configuration.zone(zone).version
    }
}
