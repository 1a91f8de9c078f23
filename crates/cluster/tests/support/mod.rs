//! Log that is folded while it is written.

#![allow(dead_code)]

use std::collections::BTreeMap;

use cluster::Body;
use cluster::Change;
use cluster::Document;
use cluster::Fleet;
use cluster::Join;
use cluster::Outcome;
use cluster::Record;
use cluster::RolloutRecord;
use cluster::RolloutStep;
use cluster::Suspicion;
use cluster::UnitFence;
use config::Plans;
use config::Workspaces;
use ids::Incarnation;
use ids::Offset;

/// Log with the state that it folds to.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) fleet: Fleet,
    pub(crate) records: Vec<Vec<u8>>,
}

impl Log {
    /// Creates a log with one service of `shards` shards, a workspace, and one member in each of the zones.
    pub(crate) fn with_members(shards: u32, zones: &[&str]) -> Self {
        let mut log = Self::default();
        log.append(plans(shards));
        log.append(workspaces(&["acme"]));
        for (index, zone) in zones.iter().enumerate() {
            log.append(join(index, zone));
        }
        log
    }

    pub(crate) fn append(&mut self, body: Body) -> Outcome {
        let id = format!("record-{}", self.records.len() + 1);
        self.append_as(&id, body)
    }

    /// Returns a record that is not appended.
    pub(crate) fn record(&self, id: &str, body: Body) -> Vec<u8> {
        let record = Record {
            body,
            id: id.to_owned(),
            writer: "test".to_owned(),
        };
        serde_json::to_vec(&record).expect("a record is JSON")
    }

    pub(crate) fn append_as(&mut self, id: &str, body: Body) -> Outcome {
        self.records.push(self.record(id, body));
        self.fleet.apply(
            self.records.len() as Offset,
            &self.records[self.records.len() - 1],
        )
    }

    pub(crate) fn append_applied(&mut self, body: Body) -> Vec<Change> {
        match self.append(body) {
            Outcome::Applied(changes) => changes,
            outcome => panic!("not applied: {outcome:?}"),
        }
    }

    pub(crate) fn incarnation(&self, vm: &str) -> Incarnation {
        self.fleet.members()[vm].incarnation
    }

    pub(crate) fn suspect(&mut self, witness: &str, vm: &str, last_renewed_ago_ms: u64) -> Outcome {
        let suspicion = Suspicion {
            incarnation: self.incarnation(vm),
            last_renewed_ago_ms,
            vm: vm.to_owned(),
        };
        self.append(Body::Suspect {
            vm: witness.to_owned(),
            incarnation: self.incarnation(witness),
            suspicions: vec![suspicion],
        })
    }

    pub(crate) fn rewitness(&mut self, vm: &str) -> Outcome {
        self.append(Body::Rewitness {
            vm: vm.to_owned(),
            incarnation: self.incarnation(vm),
            base: self.fleet.members()[vm].witnesses_since,
        })
    }

    /// Appends `Rewitness` records of each member in turn until it needs none.
    pub(crate) fn replace_all_witnesses(&mut self) {
        let members: Vec<String> = self.fleet.members().keys().cloned().collect();
        for member in members {
            while self.fleet.needs_rewitness(&member) {
                self.rewitness(&member);
            }
        }
    }

    pub(crate) fn leave(&mut self, vm: &str) -> Outcome {
        self.append(Body::Leave {
            vm: vm.to_owned(),
            incarnation: self.incarnation(vm),
        })
    }

    /// Moves all units of a member, and returns the outcome.
    pub(crate) fn move_all(&mut self, from: &str, to: &str) -> Outcome {
        let units = self
            .fleet
            .units_of(from)
            .map(|(unit, owner)| UnitFence {
                fence: owner.fence,
                unit: unit.clone(),
            })
            .collect();
        self.append(Body::Move {
            handovers: BTreeMap::new(),
            from: from.to_owned(),
            incarnation: self.incarnation(from),
            to: to.to_owned(),
            to_incarnation: self.incarnation(to),
            units,
        })
    }

    /// Folds all records again from an empty state.
    pub(crate) fn refold(&self) -> Fleet {
        let mut fleet = Fleet::default();
        self.apply_from(&mut fleet, 1);
        fleet
    }

    pub(crate) fn apply_from(&self, fleet: &mut Fleet, first: Offset) {
        for (offset, record) in (1..).zip(&self.records).skip(first as usize - 1) {
            fleet.apply(offset, record);
        }
    }
}

pub(crate) fn vm(index: usize) -> String {
    format!("vm-{index:03}")
}

pub(crate) fn join(index: usize, zone: &str) -> Body {
    join_with_version(index, zone, "")
}

pub(crate) fn join_with_version(index: usize, zone: &str, version: &str) -> Body {
    Body::Join(Join {
        connections: 130,
        instance: String::new(),
        lease_ms: 2_000,
        peer: format!("10.0.{}.{}:7000", index / 250, index % 250)
            .parse()
            .expect("the address is well-formed"),
        region: "tayside".to_owned(),
        service: "ordering".to_owned(),
        slots: 10,
        version: version.to_owned(),
        vm: vm(index),
        zone: zone.to_owned(),
    })
}

/// Returns the record of a step of the roll-out that the order at `position` asks for.
pub(crate) fn rollout(position: Offset, step: RolloutStep) -> Body {
    Body::Rollout(RolloutRecord {
        service: "ordering".to_owned(),
        position,
        step,
    })
}

/// Returns the step that begins a roll-out of `target_version`.
pub(crate) fn ordered(target_version: &str, duration_ms: u64) -> RolloutStep {
    RolloutStep::Ordered {
        target_version: target_version.to_owned(),
        duration_ms,
        ordered_unix_ms: 1_000,
    }
}

pub(crate) fn rolled_back(reason: &str) -> RolloutStep {
    RolloutStep::RolledBack {
        reason: reason.to_owned(),
    }
}

pub(crate) fn plans(shards: u32) -> Body {
    plans_with(0, shards)
}

pub(crate) fn plans_with(base: Offset, shards: u32) -> Body {
    let text = format!(
        r#"{{"services": {{"ordering": {{"shards": {shards}, "routes": [
            {{"prefix": "/", "methods": ["GET"], "idempotent": true}}]}}}},
          "plans": {{"gold": {{"burst_requests": 10, "rate_requests_per_second": 5,
            "services": ["ordering"], "weight": 1}}}}}}"#
    );
    Body::Publish {
        base,
        document: Document::Plans(Plans::parse(&text).expect("the plans are valid")),
    }
}

pub(crate) fn workspaces(names: &[&str]) -> Body {
    let mut workspaces = Workspaces::default();
    for name in names {
        workspaces.workspaces.insert(
            (*name).to_owned(),
            config::Workspace {
                plan: "gold".to_owned(),
                ..config::Workspace::default()
            },
        );
    }
    Body::Publish {
        base: 0,
        document: Document::Workspaces(workspaces),
    }
}
