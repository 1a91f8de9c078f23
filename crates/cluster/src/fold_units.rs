//! Effects of records by which owners move, pin and unpin units.

use std::collections::BTreeMap;

use ids::Fence;
use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::Unit;
use ids::VmId;

use crate::Change;
use crate::Fleet;
use crate::Ownership;
use crate::UnitFence;

/// Maximum number of keys that are pinned at a time.
pub const MAX_PINS: usize = 4_096;

/// Maximum length of a key that can be pinned, in bytes.
pub const MAX_PINNED_KEY_BYTES: usize = 1_024;

impl Fleet {
    pub(crate) fn move_units(
        &mut self,
        offset: Offset,
        (from, incarnation): (&VmId, Incarnation),
        (to, to_incarnation): (&VmId, Incarnation),
        units: &[UnitFence],
        handovers: &BTreeMap<Unit, String>,
    ) -> Result<Vec<Change>, String> {
        self.check_incarnation(from, incarnation)?;
        self.check_incarnation(to, to_incarnation)?;
        let mut changes = Vec::new();
        for requested in units {
            let movable = self.owns(from, &requested.unit, Some(requested.fence))
                && self.can_receive(to, &requested.unit)
                && from != to;
            if movable {
                let handover = handovers.get(&requested.unit).cloned().unwrap_or_default();
                let to = (to, to_incarnation);
                changes.push(self.transfer_unit(offset, from, to, &requested.unit, handover));
            }
        }
        if changes.is_empty() {
            return Err(format!(
                "`{from}` owns none of the listed units under the given fences, or `{to}` may not \
                 receive them: plan the move again"
            ));
        }
        Ok(changes)
    }

    fn transfer_unit(
        &mut self,
        fence: Fence,
        from: &VmId,
        (to, incarnation): (&VmId, Incarnation),
        unit: &Unit,
        handover: String,
    ) -> Change {
        let ownership = Ownership {
            fence,
            handover,
            incarnation,
            vm: to.clone(),
            wait_ms: 0,
        };
        self.units.set_owner(unit.clone(), ownership);
        Change::UnitReassigned {
            fence,
            from: Some(from.clone()),
            to: Some(to.clone()),
            unit: unit.clone(),
            wait_ms: 0,
        }
    }

    pub(crate) fn pin(
        &mut self,
        offset: Offset,
        vm: &VmId,
        incarnation: Incarnation,
        service: ServiceId,
        key: String,
    ) -> Result<Vec<Change>, String> {
        self.check_incarnation(vm, incarnation)?;
        let (shard, pinned) = self.resolve_shard_and_pin(service, key)?;
        if self.units.contains(&pinned) {
            return Err("the key is already pinned".to_owned());
        }
        if !self.owns(vm, &shard, None) {
            return Err(format!(
                "`{vm}` does not own {shard}, which contains the key"
            ));
        }
        if self.units.pin_count() >= MAX_PINS {
            return Err(format!(
                "the limit of {MAX_PINS} pinned keys is reached: unpin one first"
            ));
        }
        let wait_ms = self.units.owner(&shard).map_or(0, |owner| owner.wait_ms);
        let ownership = Ownership {
            fence: offset,
            handover: String::new(),
            incarnation,
            vm: vm.clone(),
            wait_ms,
        };
        self.units.set_owner(pinned.clone(), ownership);
        Ok(vec![Change::UnitReassigned {
            fence: offset,
            from: None,
            to: Some(vm.clone()),
            unit: pinned,
            wait_ms,
        }])
    }

    pub(crate) fn unpin(
        &mut self,
        offset: Offset,
        vm: &VmId,
        incarnation: Incarnation,
        service: ServiceId,
        key: String,
    ) -> Result<Vec<Change>, String> {
        self.check_incarnation(vm, incarnation)?;
        let (shard, pinned) = self.resolve_shard_and_pin(service, key)?;
        if !self.owns(vm, &shard, None) || !self.owns(vm, &pinned, None) {
            return Err(format!(
                "`{vm}` does not own both {pinned} and {shard}: move one of them first"
            ));
        }
        let mut changes = vec![Change::UnitRemoved {
            unit: pinned.clone(),
        }];
        changes.extend(self.carry_wait_to_shard(offset, shard, &pinned));
        self.units.remove(&pinned);
        Ok(changes)
    }

    /// Applies the wait of a pinned key to its shard, since the key is served as part of the shard again.
    fn carry_wait_to_shard(&mut self, fence: Fence, shard: Unit, pinned: &Unit) -> Option<Change> {
        let wait_ms = self.units.owner(pinned)?.wait_ms;
        if wait_ms == 0 {
            return None;
        }
        let current = self.units.owner(&shard)?.clone();
        let wait_ms = wait_ms.max(current.wait_ms);
        let vm = current.vm.clone();
        let ownership = Ownership {
            fence,
            wait_ms,
            ..current
        };
        self.units.set_owner(shard.clone(), ownership);
        Some(Change::UnitReassigned {
            fence,
            from: Some(vm.clone()),
            to: Some(vm),
            unit: shard,
            wait_ms,
        })
    }

    fn resolve_shard_and_pin(
        &self,
        service: ServiceId,
        key: String,
    ) -> Result<(Unit, Unit), String> {
        if key.len() > MAX_PINNED_KEY_BYTES {
            return Err(format!(
                "a key of more than {MAX_PINNED_KEY_BYTES} bytes cannot be pinned"
            ));
        }
        let shard = self
            .shard_of(&service, &key)
            .ok_or_else(|| format!("service `{service}` has no keys"))?;
        Ok((shard, Unit::Pinned { service, key }))
    }

    fn owns(&self, vm: &VmId, unit: &Unit, fence: Option<Fence>) -> bool {
        self.units
            .owner(unit)
            .is_some_and(|owner| owner.vm == *vm && fence.is_none_or(|fence| owner.fence == fence))
    }

    fn can_receive(&self, vm: &VmId, unit: &Unit) -> bool {
        let Some(member) = self.members().get(vm) else {
            return false;
        };
        match unit {
            Unit::Bucket { .. } => true,
            Unit::Pinned { service, .. } | Unit::Shard { service, .. } => {
                member.join.service == *service && self.is_candidate(member)
            }
        }
    }
}
