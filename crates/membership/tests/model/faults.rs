//! Random faults, all of which end before the run does.

use std::collections::BTreeMap;

use cluster::Body;
use cluster::RolloutRecord;
use cluster::RolloutStep;
use membership::Event;
use rand::RngExt;

use crate::fake_upstream::FakeUpstream;
use crate::simulation::Input;
use crate::simulation::MS;
use crate::simulation::SECOND;
use crate::simulation::Simulation;
use crate::simulation::plans;

/// Share of faults that are restores of the log, where these are included.
const RESTORE_PROBABILITY: f64 = 0.15;

/// Share of faults that are statements of upstreams, where these are included.
const STATEMENT_PROBABILITY: f64 = 0.4;

/// Share of faults that concern roll-outs, where these are included.
const ROLLOUT_PROBABILITY: f64 = 0.6;

/// Versions of upstreams while faults are injected.
const VERSIONS: [&str; 4] = ["", "v1", "v2", "v3"];

/// Version of all upstreams after the faults, which was never ordered.
const LAST_VERSION: &str = "v9";

/// Maximum number of records that one restore loses.
const MAX_LOST_RECORDS: usize = 12;

#[derive(Clone, Copy)]
pub(crate) struct Faults {
    /// Time of the next fault.
    due: u64,
    has_restores: bool,
    has_rollouts: bool,
    has_statements: bool,
    /// Time at which all faults are healed.
    until: u64,
}

impl Faults {
    pub(crate) fn new(due: u64, until: u64) -> Self {
        Self {
            due,
            has_restores: false,
            has_rollouts: false,
            has_statements: false,
            until,
        }
    }

    /// Includes restores of the log from a backup.
    pub(crate) fn with_restores(self) -> Self {
        Self {
            has_restores: true,
            ..self
        }
    }

    /// Includes roll-outs, and upstreams that return with another version.
    pub(crate) fn with_rollouts(self) -> Self {
        Self {
            has_rollouts: true,
            ..self
        }
    }

    /// Includes upstreams that state their departure, or the rate of requests that they accept.
    pub(crate) fn with_statements(self) -> Self {
        Self {
            has_statements: true,
            ..self
        }
    }

    pub(crate) fn inject(&mut self, sim: &mut Simulation) {
        if sim.at < self.due {
            return;
        }
        if sim.at >= self.until {
            self.due = u64::MAX;
            heal(sim);
            if self.has_restores {
                sim.append_as_operator(plans());
            }
            if self.has_rollouts {
                end_rollouts(sim);
            }
            if self.has_statements {
                withdraw_statements(sim);
            }
            return;
        }
        self.due = sim.at + sim.rng.random_range(100 * MS..2 * SECOND);
        if self.has_restores && sim.rng.random_bool(RESTORE_PROBABILITY) {
            let lost = sim.rng.random_range(0..=MAX_LOST_RECORDS);
            sim.log.restore(lost);
        } else if self.has_rollouts && sim.rng.random_bool(ROLLOUT_PROBABILITY) {
            change_rollout(sim);
        } else if self.has_statements && sim.rng.random_bool(STATEMENT_PROBABILITY) {
            state_something(sim);
        } else {
            inject(sim);
        }
    }
}

pub(crate) fn heal(sim: &mut Simulation) {
    sim.cuts.clear();
    sim.is_log_down = false;
    sim.late_probability = 0.0;
    sim.loss_probability = 0.0;
    for node in &mut sim.nodes {
        node.is_cut_from_log = false;
    }
}

/// Lets one upstream state its departure, or all members learn capacities.
fn state_something(sim: &mut Simulation) {
    let index = sim.rng.random_range(0..sim.nodes.len());
    if sim.rng.random_bool(0.3) {
        let accepted = sim.nodes[index].agent.upstream();
        if let Some(process) = accepted.map(|accepted| accepted.process()) {
            sim.schedule(0, index, Input::Home(Event::UpstreamLeft { process }));
        }
        return;
    }
    let mut capacities = BTreeMap::new();
    for node in &sim.nodes {
        if sim.rng.random_bool(0.5) {
            let slots = f64::from(node.announcement().slots);
            capacities.insert(node.vm.clone(), slots * sim.rng.random::<f64>());
        }
    }
    for index in 0..sim.nodes.len() {
        let capacities = capacities.clone();
        let delay = sim.rng.random_range(0..SECOND);
        sim.schedule(delay, index, Input::Home(Event::Capacities { capacities }));
    }
}

/// Orders a version, takes a step of a roll-out, sets the share of a trial, or lets an upstream return with another version.
fn change_rollout(sim: &mut Simulation) {
    let index = sim.rng.random_range(0..sim.nodes.len());
    let position = last_position(sim);
    let version = VERSIONS[sim.rng.random_range(0..VERSIONS.len())].to_owned();
    let step = match sim.rng.random_range(0..8) {
        0 | 1 => RolloutStep::Ordered {
            target_version: version,
            duration_ms: 12_000,
            ordered_unix_ms: 0,
        },
        2 => RolloutStep::Promoted,
        3 => RolloutStep::Completed,
        4 => RolloutStep::RolledBack {
            reason: "bad answers".to_owned(),
        },
        5 => {
            let share = sim.rng.random::<f64>();
            for index in 0..sim.nodes.len() {
                let delay = sim.rng.random_range(0..SECOND);
                sim.schedule(delay, index, Input::Home(Event::TrialShare { share }));
            }
            return;
        }
        6 => {
            // The version of a process that has not stated it before becomes known.
            sim.nodes[index].version = version;
            return;
        }
        _ => return replace_upstream(sim, index, version),
    };
    let is_order = matches!(step, RolloutStep::Ordered { .. });
    sim.append_as_operator(Body::Rollout(RolloutRecord {
        service: "ordering".to_owned(),
        position: position + u64::from(is_order),
        step,
    }));
}

/// Returns the greatest position of an order that any process knows of.
fn last_position(sim: &Simulation) -> u64 {
    let rollouts = sim.nodes.iter().filter_map(|node| {
        let rollout = node.agent.fleet().rollout("ordering")?;
        Some(rollout.handled_position)
    });
    rollouts.max().unwrap_or_default()
}

fn replace_upstream(sim: &mut Simulation, index: usize, version: String) {
    let node = &mut sim.nodes[index];
    let instance = format!("{index}/{}", sim.at);
    node.upstream = FakeUpstream::new(sim.at, node.upstream.rate, instance);
    node.version = version;
    sim.schedule(MS, index, Input::Home(Event::UpstreamLost));
}

/// Ends the roll-out that may still run, and replaces all upstreams by ones of a version that was never ordered.
fn end_rollouts(sim: &mut Simulation) {
    let position = last_position(sim);
    for position in position.saturating_sub(3)..=position + 1 {
        sim.append_as_operator(Body::Rollout(RolloutRecord {
            service: "ordering".to_owned(),
            position,
            step: RolloutStep::RolledBack {
                reason: "the faults end".to_owned(),
            },
        }));
    }
    for index in 0..sim.nodes.len() {
        replace_upstream(sim, index, LAST_VERSION.to_owned());
    }
}

/// Replaces all upstreams, and ends all limits.
fn withdraw_statements(sim: &mut Simulation) {
    for index in 0..sim.nodes.len() {
        let node = &mut sim.nodes[index];
        let instance = format!("{index}/{}", sim.at);
        node.upstream = FakeUpstream::new(sim.at, node.upstream.rate, instance);
        let capacities = BTreeMap::new();
        sim.schedule(MS, index, Input::Home(Event::UpstreamLost));
        sim.schedule(SECOND, index, Input::Home(Event::Capacities { capacities }));
    }
}

fn inject(sim: &mut Simulation) {
    let index = sim.rng.random_range(0..sim.nodes.len());
    let other = sim.rng.random_range(0..sim.nodes.len());
    let pause = sim.at + sim.rng.random_range(0..6 * SECOND);
    let kind = sim.rng.random_range(0..16);
    let node = &mut sim.nodes[index];
    match kind {
        0 | 1 => node.paused_until = pause,
        2 => node.upstream.paused_until = pause,
        3 => node.is_cut_from_log = !node.is_cut_from_log,
        4 => {
            sim.cuts.insert((index, other));
        }
        5 | 6 => {
            sim.cuts.insert((index, other));
            sim.cuts.insert((other, index));
        }
        7 => sim.cuts.clear(),
        8 => sim.is_log_down = !sim.is_log_down,
        9 => sim.late_probability = 0.3 - sim.late_probability,
        10 => sim.loss_probability = 0.3 - sim.loss_probability,
        11 if node.is_up => {
            node.kill();
            let after = sim.rng.random_range(100 * MS..4 * SECOND);
            sim.schedule(after, index, Input::Restart);
        }
        12 => {
            let instance = format!("{index}/{}", sim.at);
            node.upstream = FakeUpstream::new(sim.at, node.upstream.rate, instance);
            sim.schedule(MS, index, Input::Home(Event::UpstreamLost));
        }
        14 if node.is_up => {
            let ended = node.agent.status(node.now(sim.at)).incarnation;
            node.kill();
            sim.schedule(5 * SECOND, index, Input::Restart);
            if let Some(incarnation) = ended {
                let vm = sim.nodes[index].vm.clone();
                sim.append_as_operator(Body::DeclareLost { vm, incarnation });
            }
        }
        15 => {
            let fleet = node.agent.fleet();
            let zone = "zone-0".to_owned();
            let out = !fleet.is_zone_out(&zone);
            let base = fleet.zone_version(&zone);
            sim.append_as_operator(Body::Zone {
                zone,
                out,
                base,
                position: 0,
            });
        }
        13 => sim.schedule(0, index, Input::Home(Event::Stop)),
        _ => {}
    }
}
