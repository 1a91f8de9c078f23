//! Drawn histories in which several or all witnesses of a member end, beside faults of the member itself.

use std::collections::BTreeSet;

use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::Outcome;
use crate::broken_rule::BrokenRule;
use crate::faults::heal;
use crate::find_second_owner;
use crate::is_served;
use crate::replacement::cut_off;
use crate::replacement::position;
use crate::scenarios::START;
use crate::scenarios::settled_with;
use crate::simulation::Input;
use crate::simulation::MS;
use crate::simulation::SECOND;
use crate::simulation::Simulation;
use crate::units;
use crate::witness_ends::RECOVERY_MS;

/// Number of histories that are drawn in each run of the tests.
const HISTORIES: u64 = 240;

/// Number of histories that are drawn by hand.
const MANY_HISTORIES: u64 = 20_000;

/// Longest time from the first fault of a history to its last.
const FAULTS_LAST: u64 = 12 * SECOND;

/// Smallest number of nodes of which two may be lost for good.
const NODES_FOR_TWO_LOSSES: usize = 6;

/// What happens to a member while its witnesses end.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It only loses its witnesses.
    Lives,
    Paused,
    /// It does not reach the log, but its peers.
    CutFromLog,
    /// It reaches neither the log nor its peers.
    CutOff,
    /// It restarts at the same address later than its witnesses.
    ReturnsLate,
    /// It restarts, but its upstream does not.
    ReturnsWithoutUpstream,
    Lost,
}

const FATES: [Fate; 7] = [
    Fate::Lives,
    Fate::Paused,
    Fate::CutFromLog,
    Fate::CutOff,
    Fate::ReturnsLate,
    Fate::ReturnsWithoutUpstream,
    Fate::Lost,
];

/// A simulation with the faults that are still to come.
struct History {
    /// Faults with their times, in order.
    changes: Vec<(u64, Change)>,
    sim: Simulation,
}

#[derive(Clone, Copy)]
enum Change {
    CutFromLog(usize),
    CutOff(usize),
    HealAll,
    /// Ends a process, which restarts at a time unless it is lost for good.
    Kill(usize, Option<u64>),
    LogDown,
    LogUp,
    Pause(usize, u64),
    StopUpstream(usize),
}

impl History {
    fn new(seed: u64) -> Self {
        let size = 3 + (seed % 6) as usize;
        let sim = settled_with(seed, size, BrokenRule::None);
        let changes = Vec::new();
        let mut history = Self { changes, sim };
        history.draw();
        history
    }

    fn draw(&mut self) {
        let size = self.sim.nodes.len();
        let subject = self.sim.rng.random_range(0..size);
        let fate = *FATES.choose(&mut self.sim.rng).expect("fates are listed");
        let begin = START + self.sim.rng.random_range(0..SECOND);
        let mut away = BTreeSet::from([subject]);
        self.draw_fate(subject, fate, begin);
        if size >= NODES_FOR_TWO_LOSSES && self.sim.rng.random_bool(0.3) {
            let other = (subject + self.sim.rng.random_range(1..size)) % size;
            away.insert(other);
            self.draw_fate(other, Fate::Lost, begin);
        }
        let rounds = self.sim.rng.random_range(1..=3);
        for _ in 0..rounds {
            let at = START + self.sim.rng.random_range(0..5 * SECOND);
            self.draw_ends(subject, &away, at);
        }
        if self.sim.rng.random_bool(0.3) {
            let at = START + self.sim.rng.random_range(0..3 * SECOND);
            let until = at + self.sim.rng.random_range(0..6 * SECOND);
            self.changes.push((at, Change::LogDown));
            self.changes.push((until, Change::LogUp));
        }
        if self.sim.rng.random_bool(0.3) {
            self.sim.late_probability = 0.2;
            self.sim.loss_probability = 0.1;
        }
        self.changes.push((START + FAULTS_LAST, Change::HealAll));
        self.changes.sort_by_key(|(at, _)| *at);
    }

    fn draw_fate(&mut self, index: usize, fate: Fate, at: u64) {
        let until = at + self.sim.rng.random_range(SECOND..FAULTS_LAST - SECOND);
        match fate {
            Fate::Lives => {}
            Fate::Paused => self.changes.push((at, Change::Pause(index, until))),
            Fate::CutFromLog => self.changes.push((at, Change::CutFromLog(index))),
            Fate::CutOff => self.changes.push((at, Change::CutOff(index))),
            Fate::ReturnsLate => {
                self.changes.push((at, Change::Kill(index, Some(until))));
            }
            Fate::ReturnsWithoutUpstream => {
                self.changes.push((at, Change::StopUpstream(index)));
                self.changes.push((at, Change::Kill(index, Some(until))));
            }
            Fate::Lost => {
                self.changes.push((at, Change::StopUpstream(index)));
                self.changes.push((at, Change::Kill(index, None)));
            }
        }
    }

    /// Ends several or all witnesses of a member, or all nodes but those that are away. Each restarts within 4 s.
    fn draw_ends(&mut self, subject: usize, away: &BTreeSet<usize>, at: u64) {
        let vm = self.sim.nodes[subject].vm.clone();
        let member = &self.sim.nodes[subject].agent.fleet().members()[&vm];
        let witnesses = member.witnesses.iter();
        let witnesses: Vec<usize> = witnesses.map(|vm| position(&self.sim, vm)).collect();
        let ends_all = self.sim.rng.random_bool(0.4);
        let share = self.sim.rng.random_range(0.5..=1.0);
        for index in (0..self.sim.nodes.len()).filter(|index| !away.contains(index)) {
            let is_witness = witnesses.contains(&index);
            if ends_all || (is_witness && self.sim.rng.random_bool(share)) {
                let end = at + self.sim.rng.random_range(0..500 * MS);
                let restart = end + self.sim.rng.random_range(100 * MS..4 * SECOND);
                self.changes.push((end, Change::Kill(index, Some(restart))));
            }
        }
    }

    fn apply_due(&mut self) {
        let sim = &mut self.sim;
        while let Some((_, change)) = self.changes.first().filter(|(at, _)| *at <= sim.at) {
            match *change {
                Change::CutFromLog(index) => sim.nodes[index].is_cut_from_log = true,
                Change::CutOff(index) => {
                    let others = (0..sim.nodes.len()).filter(|other| *other != index);
                    cut_off(sim, index, &others.collect::<Vec<_>>());
                }
                Change::HealAll => heal(sim),
                Change::Kill(index, restart) if sim.nodes[index].is_up => {
                    sim.nodes[index].kill();
                    if let Some(restart) = restart {
                        sim.schedule(restart.saturating_sub(sim.at), index, Input::Restart);
                    }
                }
                Change::Kill(..) => {}
                Change::LogDown => sim.is_log_down = true,
                Change::LogUp => sim.is_log_down = false,
                Change::Pause(index, until) => sim.nodes[index].paused_until = until,
                Change::StopUpstream(index) => {
                    sim.nodes[index].upstream.paused_until = u64::MAX / 2;
                }
            }
            self.changes.remove(0);
        }
    }

    fn run(mut self) -> Outcome {
        let healed = START + FAULTS_LAST;
        while self.sim.at < healed + RECOVERY_MS * MS {
            let changed_node = self.sim.step();
            self.apply_due();
            if let Some(violation) = find_second_owner(&self.sim, changed_node) {
                return Outcome::TwoOwners(violation);
            }
            if self.sim.at > healed && units().all(|unit| is_served(&self.sim, &unit)) {
                return Outcome::Passed;
            }
        }
        let unserved = units().find(|unit| !is_served(&self.sim, unit));
        Outcome::Unserved(format!("{unserved:?}"))
    }
}

/// Runs histories on four threads, and asserts that no unit has two owners and that all are served again.
fn assert_all_pass(histories: u64) {
    let run_from = |first: u64| -> Vec<(u64, Outcome)> {
        let seeds = (first..histories).step_by(4);
        let outcomes = seeds.map(|seed| (seed, History::new(seed).run()));
        outcomes
            .filter(|(_, outcome)| *outcome != Outcome::Passed)
            .collect()
    };
    let failed: Vec<_> = std::thread::scope(|scope| {
        let threads = [0, 1, 2, 3].map(|first| scope.spawn(move || run_from(first)));
        let failed = threads.map(|thread| thread.join().expect("histories end"));
        failed.into_iter().flatten().collect()
    });
    assert_eq!(failed, []);
}

#[test]
fn no_unit_has_two_owners_when_witnesses_end_beside_faults_of_their_member() {
    assert_all_pass(HISTORIES);
}

#[test]
#[ignore = "takes minutes"]
fn no_unit_has_two_owners_in_many_histories_of_ended_witnesses() {
    assert_all_pass(MANY_HISTORIES);
}
