//! Snapshots of the folded log.

use std::collections::BTreeMap;

use ids::Fence;
use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::Unit;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::Body;
use crate::Fleet;
use crate::Join;
use crate::Ownership;
use crate::RecordAssembler;
use crate::Rollout;
use crate::SnapshotError;
use crate::configuration::Configuration;
use crate::quarantine::Quarantine;
use crate::recent_records::HashRun;
use crate::recent_records::RecentRecords;
use crate::roster::Roster;
use crate::snapshot_progress::SnapshotProgress;
use crate::supervision::Supervision;
use crate::text_parts::split_json_text;
use crate::unit_set::UnitSet;
use crate::units::Units;

/// Maximum size of a part of a snapshot, in bytes of JSON text inside its record.
const MAX_PART_BYTES: usize = 180_000;

/// Length of the checksum at the start of the first part, in bytes.
const CHECKSUM_BYTES: usize = 64;

/// Serialised form of the folded log. The same state gives the same text in every process.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Snapshot {
    configuration: Configuration,
    /// State that upstreams of previous owners handed over, by unit.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    handovers: BTreeMap<Unit, String>,
    holdings: BTreeMap<VmId, Vec<Holding>>,
    #[serde(default, skip_serializing_if = "RecordAssembler::is_empty")]
    incomplete: RecordAssembler,
    members: Vec<MemberState>,
    next: Offset,
    progress: SnapshotProgress,
    quarantine: Quarantine,
    recent: Vec<HashRun>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    rollouts: BTreeMap<ServiceId, Rollout>,
    unowned: BTreeMap<u64, UnitSet>,
}

/// Units that a member received from one record with the same wait: the fence, the wait in milliseconds and the units.
#[derive(Deserialize, Serialize)]
struct Holding(Fence, u64, UnitSet);

#[derive(Deserialize, Serialize)]
struct MemberState {
    incarnation: Incarnation,
    join: Join,
    supervision: Supervision,
}

impl Fleet {
    /// Serialises the state as a snapshot, and returns its parts.
    pub fn snapshot_parts(&self) -> Vec<String> {
        let snapshot = Snapshot {
            configuration: self.configuration.clone(),
            handovers: handovers(&self.units),
            holdings: group_holdings(&self.units),
            incomplete: self.incomplete.clone(),
            members: self.member_states(),
            next: self.next_offset,
            progress: self.progress.clone(),
            quarantine: self.quarantine.clone(),
            recent: self.recent.to_runs(),
            rollouts: self.rollouts.clone(),
            unowned: group_unowned(&self.units),
        };
        let text = serde_json::to_string(&snapshot)
            .expect("all map keys of a snapshot serialise as JSON strings");
        let checksum = blake3::hash(text.as_bytes()).to_hex();
        split_json_text(&format!("{checksum}{text}"), MAX_PART_BYTES)
    }

    /// Returns the records that write the state to the log.
    pub fn snapshot_bodies(&self) -> Vec<Body> {
        let chunks = self.snapshot_parts();
        let parts = chunks.len() as u32;
        let through = self.next_offset.saturating_sub(1);
        (0..)
            .zip(chunks)
            .map(|(part, data)| Body::SnapshotChunk {
                through,
                part,
                parts,
                data,
            })
            .collect()
    }

    /// Restores the state from the parts of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if parts are missing or damaged, or if another version wrote them in another format.
    pub fn restore(chunks: &[String]) -> Result<Self, SnapshotError> {
        let whole = chunks.concat();
        let (checksum, text) = whole
            .split_at_checked(CHECKSUM_BYTES)
            .ok_or(SnapshotError::Damaged)?;
        if blake3::hash(text.as_bytes()).to_hex().as_str() != checksum {
            return Err(SnapshotError::Damaged);
        }
        let snapshot: Snapshot = serde_json::from_str(text)?;
        let mut roster = Roster::default();
        for member in snapshot.members {
            roster.restore(member.incarnation, member.join, member.supervision);
        }
        Ok(Self {
            configuration: snapshot.configuration,
            incomplete: snapshot.incomplete,
            next_offset: snapshot.next,
            progress: snapshot.progress,
            quarantine: snapshot.quarantine,
            recent: RecentRecords::from_runs(&snapshot.recent).ok_or(SnapshotError::Damaged)?,
            rollouts: snapshot.rollouts,
            units: restore_units(
                snapshot.holdings,
                snapshot.unowned,
                snapshot.handovers,
                &roster,
            )?,
            roster,
        })
    }

    fn member_states(&self) -> Vec<MemberState> {
        self.members()
            .values()
            .map(|member| MemberState {
                incarnation: member.incarnation,
                join: member.join.clone(),
                supervision: self
                    .roster
                    .supervision(&member.join.vm)
                    .cloned()
                    .unwrap_or_default(),
            })
            .collect()
    }
}

fn handovers(units: &Units) -> BTreeMap<Unit, String> {
    let handed_over = units
        .owners()
        .iter()
        .filter(|(_, owner)| !owner.handover.is_empty());
    handed_over
        .map(|(unit, owner)| (unit.clone(), owner.handover.clone()))
        .collect()
}

fn group_holdings(units: &Units) -> BTreeMap<VmId, Vec<Holding>> {
    let mut groups: BTreeMap<VmId, BTreeMap<(Fence, u64), UnitSet>> = BTreeMap::new();
    for (unit, owner) in units.owners() {
        let group = groups.entry(owner.vm.clone()).or_default();
        let set = group.entry((owner.fence, owner.wait_ms)).or_default();
        set.insert(unit);
    }
    groups
        .into_iter()
        .map(|(vm, group)| {
            let holdings = group.into_iter();
            let holdings = holdings.map(|((fence, wait_ms), set)| Holding(fence, wait_ms, set));
            (vm, holdings.collect())
        })
        .collect()
}

fn group_unowned(units: &Units) -> BTreeMap<u64, UnitSet> {
    let mut sets: BTreeMap<u64, UnitSet> = BTreeMap::new();
    for (unit, wait_ms) in units.unowned() {
        sets.entry(*wait_ms).or_default().insert(unit);
    }
    sets
}

fn restore_units(
    holdings: BTreeMap<VmId, Vec<Holding>>,
    unowned: BTreeMap<u64, UnitSet>,
    mut handovers: BTreeMap<Unit, String>,
    roster: &Roster,
) -> Result<Units, SnapshotError> {
    let mut units = Units::default();
    for (vm, group) in holdings {
        let member = roster.members().get(&vm).ok_or(SnapshotError::Damaged)?;
        for Holding(fence, wait_ms, set) in group {
            let ownership = Ownership {
                fence,
                handover: String::new(),
                incarnation: member.incarnation,
                vm: vm.clone(),
                wait_ms,
            };
            for unit in set.into_units() {
                let handover = handovers.remove(&unit).unwrap_or_default();
                let ownership = Ownership {
                    handover,
                    ..ownership.clone()
                };
                units.set_owner(unit, ownership);
            }
        }
    }
    for (wait_ms, set) in unowned {
        for unit in set.into_units() {
            units.add_unowned(unit, wait_ms);
        }
    }
    Ok(units)
}
