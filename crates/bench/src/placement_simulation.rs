//! Simulation of the placement of units, without daemon processes.

use std::collections::BTreeMap;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use cluster::Body;
use cluster::Document;
use cluster::Fleet;
use cluster::Join;
use cluster::LoadView;
use cluster::Member;
use cluster::Outcome;
use cluster::PendingZones;
use cluster::Record;
use cluster::UnitFence;
use cluster::plan_moves;
use cluster::plan_pins;
use cluster::plan_unpins;
use cluster::rendezvous_owner;
use config::Plans;
use config::Route;
use config::Service;
use ids::Unit;
use ids::VmId;

/// Name of the keyed service.
pub(crate) const SERVICE: &str = "ordering";

/// Planning rounds within which a fleet must settle.
const MAX_ROUNDS: usize = 400;

/// Maximum number of units that a member moves in one round.
const MOVE_BUDGET_PER_ROUND: usize = 32;

/// Budget for the initial placement, in units per round.
const UNLIMITED_BUDGET: usize = usize::MAX;

/// Load of each unit. A unit without an entry is idle.
pub(crate) type Loads = BTreeMap<Unit, f64>;

/// Number of units moved, and of planning rounds, until a fleet settled.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Convergence {
    pub(crate) moved_units: usize,
    pub(crate) rounds: usize,
}

/// A fleet state, held in this process, on which all members plan their moves in rounds.
pub(crate) struct PlacementSimulation {
    pub(crate) fleet: Fleet,
    /// Log offset of the next record.
    next_offset: u64,
}

impl PlacementSimulation {
    /// Creates a fleet of `members` members that has settled under `loads`.
    ///
    /// # Errors
    ///
    /// Returns an error when the fleet does not settle.
    pub(crate) fn new(members: usize, shards: u32, loads: &Loads) -> Result<Self> {
        let fleet = Fleet::default();
        let mut simulation = Self {
            fleet,
            next_offset: 1,
        };
        simulation.append(Body::Publish {
            base: 0,
            document: Document::Plans(plans(shards)),
        })?;
        for index in 0..members {
            simulation.add_member(index)?;
        }
        simulation.settle_with_budget(loads, UNLIMITED_BUDGET)?;
        simulation.settle(loads)?;
        Ok(simulation)
    }

    /// Adds a member.
    pub(crate) fn add_member(&mut self, index: usize) -> Result<()> {
        self.append(Body::Join(join_request(index)?))
    }

    /// Declares a member lost, so that its units get new owners without a handover.
    pub(crate) fn declare_lost(&mut self, vm: &str) -> Result<()> {
        let incarnation = self.member(vm)?.incarnation;
        let vm = vm.to_owned();
        self.append(Body::DeclareLost { vm, incarnation })
    }

    fn member(&self, vm: &str) -> Result<&Member> {
        let member = self.fleet.members().get(vm);
        member.with_context(|| format!("`{vm}` is not a member"))
    }

    fn append(&mut self, body: Body) -> Result<()> {
        let record = Record {
            body,
            id: format!("record-{}", self.next_offset),
            writer: "bench".to_owned(),
        };
        let outcome = self
            .fleet
            .apply(self.next_offset, &serde_json::to_vec(&record)?);
        self.next_offset += 1;
        match outcome {
            Outcome::Rejected(reason) => {
                bail!("record {} was rejected: {reason}", self.next_offset - 1)
            }
            _ => Ok(()),
        }
    }

    /// Returns the load of each member.
    pub(crate) fn member_loads(&self, loads: &Loads) -> BTreeMap<VmId, f64> {
        let members = self.fleet.members().keys();
        members
            .map(|vm| {
                let units = self.fleet.units_of(vm);
                let load = units.filter_map(|(unit, _)| loads.get(unit)).sum();
                (vm.clone(), load)
            })
            .collect()
    }

    /// Runs planning rounds until no member plans a move.
    ///
    /// In each round, all members plan on the same fleet state. The peer loads that they see are those of the
    /// previous round.
    ///
    /// # Errors
    ///
    /// Returns an error when the fleet does not settle.
    pub(crate) fn settle(&mut self, loads: &Loads) -> Result<Convergence> {
        self.settle_with_budget(loads, MOVE_BUDGET_PER_ROUND)
    }

    fn settle_with_budget(&mut self, loads: &Loads, budget: usize) -> Result<Convergence> {
        let mut convergence = Convergence::default();
        let mut previous_loads = self.member_loads(loads);
        for _ in 0..MAX_ROUNDS {
            let mut bodies = Vec::new();
            for vm in self.fleet.members().keys() {
                let view = self.load_view(vm, loads, &previous_loads, budget);
                for (to, units) in plan_moves(&self.fleet, vm, &view) {
                    convergence.moved_units += units.len();
                    bodies.push(self.move_body(vm, to, units)?);
                }
            }
            previous_loads = self.member_loads(loads);
            if bodies.is_empty() {
                return Ok(convergence);
            }
            convergence.rounds += 1;
            for body in bodies {
                self.append(body)?;
            }
        }
        bail!(
            "{} members were still moving units after {MAX_ROUNDS} rounds",
            self.fleet.members().len()
        )
    }

    fn load_view(
        &self,
        vm: &str,
        loads: &Loads,
        previous_loads: &BTreeMap<VmId, f64>,
        budget: usize,
    ) -> LoadView {
        let units = self.fleet.units_of(vm);
        LoadView {
            capacities: BTreeMap::new(),
            max_shards: None,
            moves_heavy_units: false,
            tolerance: None,
            budget,
            pending_zones: PendingZones::default(),
            peer_loads: previous_loads.clone(),
            stopping: false,
            trial_share: 0.0,
            unit_loads: units
                .map(|(unit, _)| (unit.clone(), loads.get(unit).copied().unwrap_or(0.0)))
                .collect(),
        }
    }

    fn move_body(&self, from: &str, to: VmId, units: Vec<Unit>) -> Result<Body> {
        let mut moved = Vec::with_capacity(units.len());
        for unit in units {
            let owner = self
                .fleet
                .owner(&unit)
                .context("the unit to move has no owner")?;
            let fence = owner.fence;
            moved.push(UnitFence { fence, unit });
        }
        Ok(Body::Move {
            handovers: BTreeMap::new(),
            from: from.to_owned(),
            incarnation: self.member(from)?.incarnation,
            to_incarnation: self.member(&to)?.incarnation,
            to,
            units: moved,
        })
    }

    /// Pins a key at its current owner, and returns the owner.
    ///
    /// # Errors
    ///
    /// Returns an error when the owner does not plan to pin the key.
    pub(crate) fn pin_key(&mut self, key: &str, load: f64, loads: &Loads) -> Result<VmId> {
        let service = SERVICE.to_owned();
        let unit = self
            .fleet
            .unit_of(&service, key)
            .context("the service has no shards")?;
        let owner = self.fleet.owner(&unit).context("the shard has no owner")?;
        let (vm, incarnation) = (owner.vm.clone(), owner.incarnation);
        let view = self.load_view(&vm, loads, &self.member_loads(loads), MOVE_BUDGET_PER_ROUND);
        let keys = BTreeMap::from([(key.to_owned(), load)]);
        let pins = plan_pins(&self.fleet, &vm, &view, &keys);
        anyhow::ensure!(
            pins == [pinned_unit(key)],
            "expected a plan to pin only `{key}`, got {pins:?}"
        );
        self.append(Body::Pin {
            vm: vm.clone(),
            incarnation,
            service,
            key: key.to_owned(),
        })?;
        Ok(vm)
    }

    /// Removes the pins that their owners plan to end because the keys are no longer hot.
    pub(crate) fn unpin_cold_keys(&mut self, loads: &Loads) -> Result<()> {
        let previous_loads = self.member_loads(loads);
        let mut bodies = Vec::new();
        for (vm, member) in self.fleet.members() {
            for unit in plan_unpins(
                &self.fleet,
                vm,
                &self.load_view(vm, loads, &previous_loads, MOVE_BUDGET_PER_ROUND),
            ) {
                let Unit::Pinned { service, key } = unit else {
                    continue;
                };
                bodies.push(Body::Unpin {
                    vm: vm.clone(),
                    incarnation: member.incarnation,
                    service,
                    key,
                });
            }
        }
        bodies.into_iter().try_for_each(|body| self.append(body))
    }

    /// Returns the loads that the current members would have if rendezvous hashing alone placed all units.
    pub(crate) fn rendezvous_loads(&self, loads: &Loads) -> BTreeMap<VmId, f64> {
        let members: Vec<&Member> = self.fleet.members().values().collect();
        let mut loads_by_vm: BTreeMap<VmId, f64> = members
            .iter()
            .map(|member| (member.join.vm.clone(), 0.0))
            .collect();
        for (unit, load) in loads {
            if let Some(vm) = rendezvous_owner(unit, &members) {
                *loads_by_vm.entry(vm.clone()).or_default() += load;
            }
        }
        loads_by_vm
    }
}

/// Returns the unit of a pinned key.
pub(crate) fn pinned_unit(key: &str) -> Unit {
    let service = SERVICE.to_owned();
    let key = key.to_owned();
    Unit::Pinned { service, key }
}

/// Returns the unit of a shard.
pub(crate) fn shard_unit(index: u32) -> Unit {
    let service = SERVICE.to_owned();
    Unit::Shard { service, index }
}

/// Returns the ratio of the largest load to the mean load.
pub(crate) fn imbalance<'a>(loads: impl IntoIterator<Item = &'a f64>) -> f64 {
    let loads: Vec<f64> = loads.into_iter().copied().collect();
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.into_iter().fold(0.0, f64::max) / mean
}

/// Returns the VM name of a member.
pub(crate) fn vm_name(index: usize) -> VmId {
    format!("vm-{index:03}")
}

fn join_request(index: usize) -> Result<Join> {
    let zone = index % 12;
    Ok(Join {
        connections: 130,
        instance: String::new(),
        lease_ms: 2_000,
        peer: format!("10.0.{}.{}:7000", index / 250, index % 250).parse()?,
        region: format!("region-{}", zone / 4),
        service: SERVICE.to_owned(),
        slots: 10,
        version: String::new(),
        vm: vm_name(index),
        zone: format!("zone-{zone}"),
    })
}

/// Returns a service with keys, all of whose requests may be repeated.
pub(crate) fn keyed_service(shards: u32) -> Service {
    let route = Route {
        idempotent: true,
        upload: false,
        methods: ["GET".to_owned()].into(),
        open: false,
        prefix: "/".to_owned(),
    };
    Service {
        routes: vec![route],
        shards,
        ..Service::default()
    }
}

fn plans(shards: u32) -> Plans {
    Plans {
        plans: BTreeMap::new(),
        services: [(SERVICE.to_owned(), keyed_service(shards))].into(),
        ..Plans::default()
    }
}
