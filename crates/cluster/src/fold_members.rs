//! Effects of records that add, end or suspect members, and the reassignment of their units.

use std::collections::BTreeMap;

use ids::Fence;
use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::Unit;
use ids::VmId;

use crate::Change;
use crate::EndReason;
use crate::Fleet;
use crate::Join;
use crate::Member;
use crate::Ownership;
use crate::Suspicion;
use crate::VersionRole;
use crate::availability::check_base_version;
use crate::roster::EndedMember;
use crate::units::Candidate;

/// Maximum length of the name of a VM, zone, region or service, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum number of concurrent requests that an upstream may announce.
const MAX_SLOTS: u32 = 65_536;

impl Fleet {
    pub(crate) fn join(&mut self, offset: Offset, join: Join) -> Result<Vec<Change>, String> {
        check_join(&join)?;
        let mut changes = Vec::new();
        let retained = self.take_retained_units(&join);
        let ended = self.roster.end_replaced(&join);
        // With the new process as its witness, the last member would have no lease until that process renews it.
        self.complete_ends(offset, ended, &mut changes);
        changes.push(Change::MemberJoined {
            incarnation: offset,
            vm: join.vm.clone(),
        });
        self.reassign_retained_units(offset, &join.vm, retained, &mut changes);
        self.roster.join(offset, join);
        self.name_substitutes(offset, &mut changes);
        self.assign_unowned(offset, &mut changes);
        Ok(changes)
    }

    /// Takes the units, with their waits in milliseconds, that the VM keeps from its previous incarnation.
    fn take_retained_units(&mut self, join: &Join) -> Vec<(Unit, u64)> {
        let former = self.roster.members().get(&join.vm);
        let is_retained = former.is_some_and(|former| {
            former.join.service == join.service && self.keeps_units(&former.join, join)
        });
        if !is_retained {
            return Vec::new();
        }
        self.units.take_all(&join.vm)
    }

    fn reassign_retained_units(
        &mut self,
        offset: Offset,
        vm: &VmId,
        retained: Vec<(Unit, u64)>,
        changes: &mut Vec<Change>,
    ) {
        for (unit, wait_ms) in retained {
            let ownership = Ownership {
                fence: offset,
                handover: String::new(),
                incarnation: offset,
                vm: vm.clone(),
                wait_ms,
            };
            self.units.set_owner(unit.clone(), ownership);
            changes.push(Change::UnitReassigned {
                fence: offset,
                from: Some(vm.clone()),
                to: Some(vm.clone()),
                unit,
                wait_ms,
            });
        }
    }

    pub(crate) fn leave(
        &mut self,
        offset: Offset,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Result<Vec<Change>, String> {
        self.end_member(offset, vm, incarnation, EndReason::Left)
    }

    pub(crate) fn declare_lost(
        &mut self,
        offset: Offset,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Result<Vec<Change>, String> {
        self.end_member(offset, vm, incarnation, EndReason::DeclaredLost)
    }

    fn end_member(
        &mut self,
        offset: Offset,
        vm: &VmId,
        incarnation: Incarnation,
        reason: EndReason,
    ) -> Result<Vec<Change>, String> {
        self.check_incarnation(vm, incarnation)?;
        let ended = self.roster.end_member(vm, reason);
        let mut changes = Vec::new();
        self.complete_ends(offset, ended, &mut changes);
        self.name_substitutes(offset, &mut changes);
        Ok(changes)
    }

    pub(crate) fn suspect(
        &mut self,
        offset: Offset,
        vm: &VmId,
        incarnation: Incarnation,
        suspicions: &[Suspicion],
    ) -> Result<Vec<Change>, String> {
        self.check_incarnation(vm, incarnation)?;
        let mut changes = Vec::new();
        let ended = self
            .roster
            .add_suspicions(vm, incarnation, suspicions, &mut changes);
        if changes.is_empty() {
            return Err(format!("`{vm}` is not a witness of any listed member"));
        }
        self.complete_ends(offset, ended, &mut changes);
        self.name_substitutes(offset, &mut changes);
        Ok(changes)
    }

    /// Names witnesses for members that can't be renewed after others have joined or ended, or were suspected.
    fn name_substitutes(&mut self, offset: Offset, changes: &mut Vec<Change>) {
        let named = self.roster.name_substitutes(offset);
        changes.extend(named.into_iter().map(|vm| Change::WitnessesNamed { vm }));
    }

    pub(crate) fn rewitness(
        &mut self,
        offset: Offset,
        vm: &VmId,
        incarnation: Incarnation,
        base: Offset,
    ) -> Result<Vec<Change>, String> {
        let member = self.check_incarnation(vm, incarnation)?;
        check_base_version(base, member.witnesses_since)?;
        self.roster.replace_witnesses(offset, vm);
        Ok(vec![Change::WitnessesNamed { vm: vm.clone() }])
    }

    pub(crate) fn check_incarnation(
        &self,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Result<&Member, String> {
        self.roster
            .current_member(vm, incarnation)
            .ok_or_else(|| format!("incarnation {incarnation} of `{vm}` is not a member"))
    }

    /// Reassigns the units of ended members to the remaining members, and lets the last member of a region hold alone.
    fn complete_ends(
        &mut self,
        offset: Offset,
        ended: Vec<EndedMember>,
        changes: &mut Vec<Change>,
    ) {
        self.roster.release_witnesses_of_last(offset, &ended);
        let mut orphans = Vec::new();
        for member in ended {
            let units = self.units.unassign_all(&member.vm, member.wait_ms);
            orphans.extend(
                units
                    .into_iter()
                    .map(|unit| (unit, Some(member.vm.clone()))),
            );
            changes.push(Change::MemberEnded {
                incarnation: member.incarnation,
                reason: member.reason,
                vm: member.vm,
            });
        }
        self.assign_units(offset, orphans, changes);
    }

    /// Assigns units without an owner to members, where there are candidates.
    pub(crate) fn assign_unowned(&mut self, offset: Offset, changes: &mut Vec<Change>) {
        let unowned = self.units.unowned().keys();
        let units = unowned.map(|unit| (unit.clone(), None)).collect();
        self.assign_units(offset, units, changes);
    }

    fn assign_units(
        &mut self,
        fence: Fence,
        units: Vec<(Unit, Option<VmId>)>,
        changes: &mut Vec<Change>,
    ) {
        if units.is_empty() {
            return;
        }
        let members = self.roster.members().values();
        let all_members: Vec<Candidate<'_>> = members.map(Candidate::new).collect();
        let mut services: BTreeMap<&ServiceId, Vec<Candidate<'_>>> = BTreeMap::new();
        for member in self.roster.members().values() {
            let is_current = self.version_role(member) == VersionRole::Current;
            if is_current && self.is_candidate(member) {
                let candidates = services.entry(&member.join.service).or_default();
                candidates.push(Candidate::new(member));
            }
        }
        let no_candidates = Vec::new();
        for (unit, from) in units {
            let candidates = match &unit {
                Unit::Bucket { .. } => &all_members,
                Unit::Pinned { service, .. } | Unit::Shard { service, .. } => {
                    services.get(service).unwrap_or(&no_candidates)
                }
            };
            let has_ranges = |service: &ServiceId| {
                let declared = self.configuration.plans.services.get(service);
                declared.is_some_and(|declared| declared.numeric_keys.is_some())
            };
            let change = match &unit {
                Unit::Shard { service, .. } if has_ranges(service) => self
                    .units
                    .assign_alternating(fence, &unit, from.as_ref(), candidates),
                _ => self.units.assign(fence, &unit, from.as_ref(), candidates),
            };
            changes.extend(change.or_else(|| owner_lost_change(fence, unit, from)));
        }
    }
}

fn owner_lost_change(fence: Fence, unit: Unit, from: Option<VmId>) -> Option<Change> {
    Some(Change::UnitReassigned {
        fence,
        from: Some(from?),
        to: None,
        unit,
        wait_ms: 0,
    })
}

fn check_join(join: &Join) -> Result<(), String> {
    for (field, name) in [
        ("region", &join.region),
        ("service", &join.service),
        ("vm", &join.vm),
        ("zone", &join.zone),
    ] {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(format!(
                "{field}: a name must have 1 to {MAX_NAME_BYTES} bytes, but this one has {}",
                name.len()
            ));
        }
    }
    if join.version.len() > MAX_NAME_BYTES {
        return Err(format!(
            "version: a version must have at most {MAX_NAME_BYTES} bytes, but this one has {}",
            join.version.len()
        ));
    }
    if join.slots == 0 || join.slots > MAX_SLOTS {
        return Err(format!("slots: {} is not in 1..={MAX_SLOTS}", join.slots));
    }
    if join.connections == 0 {
        return Err("connections: at least 1 connection is needed".to_owned());
    }
    Ok(())
}
