//! Ownership of units.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::Fence;
use ids::Unit;
use ids::VmId;

use crate::Change;
use crate::Member;
use crate::Ownership;
use crate::rank::hash;
use crate::rank::rank;

/// Number of candidates up to which neighbouring ranges are assigned in groups.
const MAX_CANDIDATES_TO_GROUP_RANGES: usize = 2;

/// Number of neighbouring ranges in a group that one owner gets.
const RANGES_PER_GROUP: u32 = 4;

/// All units, with or without an owner.
///
/// A unit is never removed once it exists, as its owner may be behind in the log and still serve
/// it. The only exception is a pinned key that its owner returns to its shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Units {
    units_by_owner: BTreeMap<VmId, BTreeSet<Unit>>,
    owners: BTreeMap<Unit, Ownership>,
    /// Units without an owner, with the time that the next owner must wait, in milliseconds.
    unowned: BTreeMap<Unit, u64>,
}

/// A member that may become the owner of a unit.
pub(crate) struct Candidate<'a> {
    hash: u64,
    member: &'a Member,
}

impl<'a> Candidate<'a> {
    pub(crate) fn new(member: &'a Member) -> Self {
        Self {
            hash: hash(&member.join.vm),
            member,
        }
    }
}

impl Units {
    pub(crate) fn owners(&self) -> &BTreeMap<Unit, Ownership> {
        &self.owners
    }

    pub(crate) fn unowned(&self) -> &BTreeMap<Unit, u64> {
        &self.unowned
    }

    pub(crate) fn owner(&self, unit: &Unit) -> Option<&Ownership> {
        self.owners.get(unit)
    }

    pub(crate) fn contains(&self, unit: &Unit) -> bool {
        self.owners.contains_key(unit) || self.unowned.contains_key(unit)
    }

    pub(crate) fn owned_by(&self, vm: &str) -> impl Iterator<Item = (&Unit, &Ownership)> {
        self.units_by_owner
            .get(vm)
            .into_iter()
            .flatten()
            .filter_map(|unit| self.owners.get_key_value(unit))
    }

    pub(crate) fn count_of(&self, vm: &str) -> usize {
        self.units_by_owner.get(vm).map_or(0, BTreeSet::len)
    }

    /// Returns the number of rate limit buckets that a member owns.
    pub(crate) fn bucket_count_of(&self, vm: &str) -> usize {
        let units = self.units_by_owner.get(vm);
        units.map_or(0, |units| units.range(..first_pin()).count())
    }

    /// Returns the number of shards and pinned keys that a member owns.
    pub(crate) fn keyed_count_of(&self, vm: &str) -> usize {
        self.count_of(vm) - self.bucket_count_of(vm)
    }

    /// Reports whether a member owns one pinned key and no other pinned key or shard.
    pub(crate) fn owns_only_one_pin(&self, vm: &str) -> bool {
        let Some(units) = self.units_by_owner.get(vm) else {
            return false;
        };
        let mut keyed = units.range(first_pin()..);
        matches!(
            (keyed.next(), keyed.next()),
            (Some(Unit::Pinned { .. }), None)
        )
    }

    /// Returns the number of pinned keys.
    pub(crate) fn pin_count(&self) -> usize {
        let pins = first_pin()..first_shard();
        self.owners.range(pins.clone()).count() + self.unowned.range(pins).count()
    }

    /// Adds a unit that was never owned, unless it already exists.
    pub(crate) fn add(&mut self, unit: Unit) {
        if !self.contains(&unit) {
            self.unowned.insert(unit, 0);
        }
    }

    pub(crate) fn add_unowned(&mut self, unit: Unit, wait_ms: u64) {
        self.unowned.insert(unit, wait_ms);
    }

    pub(crate) fn set_owner(&mut self, unit: Unit, ownership: Ownership) {
        self.unowned.remove(&unit);
        if let Some(former) = self.owners.get(&unit) {
            let former = former.vm.clone();
            self.remove_from_owner(&former, &unit);
        }
        self.units_by_owner
            .entry(ownership.vm.clone())
            .or_default()
            .insert(unit.clone());
        self.owners.insert(unit, ownership);
    }

    /// Removes a unit with its owner.
    pub(crate) fn remove(&mut self, unit: &Unit) {
        if let Some(ownership) = self.owners.remove(unit) {
            self.remove_from_owner(&ownership.vm, unit);
        }
    }

    fn remove_from_owner(&mut self, vm: &str, unit: &Unit) {
        let Some(units) = self.units_by_owner.get_mut(vm) else {
            return;
        };
        units.remove(unit);
        if units.is_empty() {
            self.units_by_owner.remove(vm);
        }
    }

    /// Removes the owner of all units of a member that has ended, and returns these units.
    ///
    /// The next owner of each unit waits `wait_ms` for the lease of this owner to expire, or the
    /// time that this owner itself had to wait if that is longer.
    pub(crate) fn unassign_all(&mut self, vm: &str, wait_ms: u64) -> Vec<Unit> {
        let unassigned: Vec<Unit> = self
            .units_by_owner
            .remove(vm)
            .unwrap_or_default()
            .into_iter()
            .collect();
        for unit in &unassigned {
            if let Some(ownership) = self.owners.remove(unit) {
                let wait_ms = wait_ms.max(ownership.wait_ms);
                self.unowned.insert(unit.clone(), wait_ms);
            }
        }
        unassigned
    }

    /// Removes and returns all units of a member, each with its wait in milliseconds.
    ///
    /// They are assigned to the next incarnation of the member.
    pub(crate) fn take_all(&mut self, vm: &str) -> Vec<(Unit, u64)> {
        let units = self
            .units_by_owner
            .remove(vm)
            .unwrap_or_default()
            .into_iter();
        units
            .filter_map(|unit| {
                let ownership = self.owners.remove(&unit)?;
                Some((unit, ownership.wait_ms))
            })
            .collect()
    }

    /// Assigns a unit without an owner, if it is a shard, to the candidate with the fewest units
    /// relative to its slots, and otherwise to the candidate that ranks highest.
    ///
    /// Ranges of neighbouring keys that are assigned in order therefore alternate between candidates,
    /// one by one or, with few candidates, in groups.
    pub(crate) fn assign_alternating(
        &mut self,
        fence: Fence,
        unit: &Unit,
        from: Option<&VmId>,
        candidates: &[Candidate<'_>],
    ) -> Option<Change> {
        let Unit::Shard { service, .. } = unit else {
            return self.assign(fence, unit, from, candidates);
        };
        // Ties are broken in the same order for all ranges of a service, so that neighbours differ.
        let subject = hash(service);
        let level = |candidate: &Candidate<'_>| {
            let units = self.keyed_count_of(&candidate.member.join.vm) + 1;
            units as f64 / f64::from(candidate.member.join.slots)
        };
        let order = |a: &&Candidate<'_>, b: &&Candidate<'_>| {
            let by_level = level(a).total_cmp(&level(b));
            by_level.then_with(|| b.rank(subject).total_cmp(&a.rank(subject)))
        };
        let new_owner = match self.preceding_range_owner(fence, unit, candidates) {
            Some(owner) => owner,
            None => candidates.iter().min_by(order)?.member,
        };
        self.set_new_owner(fence, unit, from, new_owner)
    }

    /// Returns the owner of the preceding range if the same record assigned it, there are few
    /// candidates, and both ranges are in one group.
    ///
    /// Each owner then has few separate runs of neighbouring ranges.
    fn preceding_range_owner<'a>(
        &self,
        fence: Fence,
        unit: &Unit,
        candidates: &[Candidate<'a>],
    ) -> Option<&'a Member> {
        let Unit::Shard { service, index } = unit else {
            return None;
        };
        if candidates.len() > MAX_CANDIDATES_TO_GROUP_RANGES || index % RANGES_PER_GROUP == 0 {
            return None;
        }
        let service = service.clone();
        let before = Unit::Shard {
            service,
            index: index - 1,
        };
        let owner = self
            .owners
            .get(&before)
            .filter(|owner| owner.fence == fence)?;
        let mut candidates = candidates.iter().map(|candidate| candidate.member);
        candidates.find(|member| member.join.vm == owner.vm)
    }

    /// Assigns a unit without an owner to the candidate that ranks highest.
    pub(crate) fn assign(
        &mut self,
        fence: Fence,
        unit: &Unit,
        from: Option<&VmId>,
        candidates: &[Candidate<'_>],
    ) -> Option<Change> {
        let subject = hash(&unit.to_string());
        let new_owner = candidates
            .iter()
            .max_by(|a, b| a.rank(subject).total_cmp(&b.rank(subject)))?
            .member;
        self.set_new_owner(fence, unit, from, new_owner)
    }

    fn set_new_owner(
        &mut self,
        fence: Fence,
        unit: &Unit,
        from: Option<&VmId>,
        new_owner: &Member,
    ) -> Option<Change> {
        let wait_ms = *self.unowned.get(unit)?;
        self.set_owner(
            unit.clone(),
            Ownership {
                fence,
                handover: String::new(),
                incarnation: new_owner.incarnation,
                vm: new_owner.join.vm.clone(),
                wait_ms,
            },
        );
        Some(Change::UnitReassigned {
            fence,
            from: from.cloned(),
            to: Some(new_owner.join.vm.clone()),
            unit: unit.clone(),
            wait_ms,
        })
    }
}

fn first_pin() -> Unit {
    Unit::Pinned {
        service: String::new(),
        key: String::new(),
    }
}

fn first_shard() -> Unit {
    Unit::Shard {
        service: String::new(),
        index: 0,
    }
}

impl Candidate<'_> {
    fn rank(&self, subject: u64) -> f64 {
        rank(subject, self.hash, self.member.join.slots)
    }
}
