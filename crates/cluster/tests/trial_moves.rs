//! Moves of units to and from members whose version is on trial, promoted or rolled back.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cluster::Body;
use cluster::LoadView;
use cluster::RolloutStep;
use cluster::UnitFence;
use cluster::VersionRole;
use cluster::plan_moves;
use cluster::plan_trial_moves;
use ids::Unit;
use support::Log;
use support::join_with_version;
use support::ordered;
use support::plans;
use support::rolled_back;
use support::rollout;
use support::vm;
use support::workspaces;

/// Position of the order.
const ORDER: u64 = 10;

/// Shares of the schedule, in its order.
const SHARES: [f64; 3] = [0.02, 0.05, 0.08];

/// Rounds of plans after which moves count as endless.
const ROUNDS: usize = 60;

const BUDGET: usize = 32;

/// Loads by unit. An empty map weights all units equally.
type Loads = BTreeMap<Unit, f64>;

fn shard(index: u32) -> Unit {
    Unit::Shard {
        service: "ordering".to_owned(),
        index,
    }
}

/// Fleet whose members plan moves with the same share, some rounds of which are carried out at once.
struct Trial {
    loads: Loads,
    log: Log,
    max_shards: Option<usize>,
    share: f64,
    shards: u32,
}

impl Trial {
    /// Creates a fleet of `old` members of version v1 that are balanced, and orders version v2.
    fn ordered(old: usize, shards: u32, max_shards: Option<usize>) -> Self {
        let mut log = Log::default();
        log.append(plans(shards));
        log.append(workspaces(&["acme"]));
        for index in 0..old {
            log.append_applied(join_with_version(index, "a", "v1"));
        }
        let mut trial = Self {
            loads: Loads::new(),
            log,
            max_shards,
            share: 0.0,
            shards,
        };
        trial.settle();
        trial
            .log
            .append_applied(rollout(ORDER, ordered("v2", 12_000)));
        trial
    }

    /// Creates such a fleet, which `new` members of version v2 have joined since the order.
    fn started(old: usize, new: usize, shards: u32, max_shards: Option<usize>) -> Self {
        let mut trial = Self::ordered(old, shards, max_shards);
        for index in old..old + new {
            trial
                .log
                .append_applied(join_with_version(index, "a", "v2"));
        }
        trial
    }

    fn step(&mut self, step: RolloutStep) {
        self.log.append_applied(rollout(ORDER, step));
    }

    fn member_load(&self, vm: &str) -> f64 {
        let units = self.log.fleet.units_of(vm).map(|(unit, _)| unit);
        units.filter_map(|unit| self.loads.get(unit)).sum()
    }

    fn view(&self, me: &str) -> LoadView {
        let mut view = LoadView {
            budget: BUDGET,
            max_shards: self.max_shards,
            trial_share: self.share,
            ..LoadView::default()
        };
        if !self.loads.is_empty() {
            let units = self.log.fleet.units_of(me).map(|(unit, _)| unit.clone());
            view.unit_loads = units
                .map(|unit| {
                    let load = self.loads.get(&unit).copied().unwrap_or(0.0);
                    (unit, load)
                })
                .collect();
            let members = self.log.fleet.members().keys();
            view.peer_loads = members
                .map(|vm| (vm.clone(), self.member_load(vm)))
                .collect();
        }
        view
    }

    /// Lets all members plan on the same state and carries their moves out. Returns the number of units moved.
    fn round(&mut self) -> usize {
        let mut bodies = Vec::new();
        let mut moved = 0;
        for me in self.log.fleet.members().keys() {
            for (to, units) in plan_moves(&self.log.fleet, me, &self.view(me)) {
                moved += units.len();
                bodies.push(self.move_body(me, &to, &units));
            }
        }
        for body in bodies {
            self.log.append_applied(body);
            self.check_share();
        }
        moved
    }

    /// Plans and moves until nothing is moved any more. Returns the number of units moved.
    fn settle(&mut self) -> usize {
        let mut moved = 0;
        for _ in 0..ROUNDS {
            let round = self.round();
            moved += round;
            if round == 0 {
                return moved;
            }
        }
        panic!("still moving after {ROUNDS} rounds");
    }

    fn move_body(&self, from: &str, to: &str, units: &[Unit]) -> Body {
        let units = units.iter().map(|unit| UnitFence {
            fence: self.log.fleet.owner(unit).expect("the unit is owned").fence,
            unit: unit.clone(),
        });
        Body::Move {
            handovers: BTreeMap::new(),
            from: from.to_owned(),
            incarnation: self.log.incarnation(from),
            to: to.to_owned(),
            to_incarnation: self.log.incarnation(to),
            units: units.collect(),
        }
    }

    /// Returns the shards that members with a role own.
    fn shards_of(&self, role: VersionRole) -> BTreeSet<Unit> {
        let fleet = &self.log.fleet;
        let owners = fleet.owners().iter();
        owners
            .filter(|(unit, owner)| {
                matches!(unit, Unit::Shard { .. })
                    && fleet.version_role(&fleet.members()[&owner.vm]) == role
            })
            .map(|(unit, _)| unit.clone())
            .collect()
    }

    fn shard_counts(&self, members: std::ops::Range<usize>) -> Vec<usize> {
        let is_shard = |unit: &Unit| matches!(unit, Unit::Shard { .. });
        let count = |index| {
            let vm = vm(index);
            let units = self.log.fleet.units_of(&vm);
            units.filter(|(unit, _)| is_shard(unit)).count()
        };
        members.map(count).collect()
    }

    fn expected(&self) -> BTreeSet<Unit> {
        let units = self
            .log
            .fleet
            .trial_units(&"ordering".to_owned(), self.share);
        units.into_iter().collect()
    }

    /// Checks that members on trial have at most the present share of all shards.
    fn check_share(&self) {
        let on_trial = self.shards_of(VersionRole::Trial).len() as f64;
        assert!(
            on_trial <= self.share * f64::from(self.shards),
            "{on_trial}"
        );
    }
}

/// Guards against processes that put different units on trial, which would exceed the share together.
#[test]
fn units_on_trial_are_the_same_whatever_the_owners() {
    for share in SHARES {
        let mut sets = Vec::new();
        for (old, new) in [(3, 1), (7, 2), (23, 23), (1, 4)] {
            let mut trial = Trial::started(old, new, 256, None);
            trial.share = share;
            trial.settle();
            assert_eq!(trial.shards_of(VersionRole::Trial), trial.expected());
            sets.push(trial.expected());
        }
        assert_eq!(sets[0].len(), (share * 256.0) as usize);
        assert!(sets.iter().all(|set| *set == sets[0]));
    }
}

#[test]
fn units_of_a_smaller_share_remain_on_trial_and_with_their_members() {
    for (old, new) in [(23, 23), (23, 2), (39, 39), (5, 5)] {
        let mut trial = Trial::started(old, new, 1_024, None);
        let mut before = BTreeSet::new();
        let mut moved = 0;
        for share in SHARES {
            trial.share = share;
            moved += trial.settle();
            let after = trial.shards_of(VersionRole::Trial);
            assert!(after.is_superset(&before));
            before = after;
        }
        // Units change between members on trial only at the boundary of two of them, or if there are few of these.
        assert!(
            moved <= 3 * before.len(),
            "{moved} moves of {}",
            before.len()
        );
    }
}

#[test]
fn members_on_trial_get_about_as_many_units_as_others() {
    let counts = SHARES.map(|share| {
        [(23, 23), (39, 39), (5, 1), (2, 8)].map(|(old, new)| {
            let mut trial = Trial::started(old, new, 1_024, None);
            trial.share = share;
            trial.settle();
            let mut counts = trial.shard_counts(old..old + new);
            counts.retain(|count| *count > 0);
            counts.sort_unstable();
            format!("{share} of {}: {counts:?}", 1_024 / old)
        })
    });
    insta::assert_debug_snapshot!(counts);
}

/// Guards against members on trial that are counted as idle ones when load is balanced.
#[test]
fn balancing_leaves_members_on_trial_out() {
    for max_shards in [None, Some(165)] {
        let mut trial = Trial::started(8, 8, 256, max_shards);
        assert_eq!(trial.settle(), 0, "no unit is on trial at a share of 0");
        trial.loads = (0..256)
            .map(|index| (shard(index), 1.0 + f64::from(index % 7)))
            .collect();
        trial.settle();
        trial.share = 0.08;
        trial.settle();
        let current = trial.shards_of(VersionRole::Current).len();
        assert_eq!(current, 256 - trial.shards_of(VersionRole::Trial).len());
        let counts = trial.shard_counts(0..8);
        assert!(counts.iter().all(|count| *count >= 16), "{counts:?}");
    }
}

/// Guards against units that stay with a version on trial, or come to it, when owners are lost.
#[test]
fn a_lost_owner_of_units_on_trial_is_followed_by_another_one() {
    let mut trial = Trial::started(6, 3, 256, None);
    trial.share = 0.08;
    trial.settle();
    let expected = trial.expected();
    let counts = trial.shard_counts(6..9);
    let lost = (6..9)
        .max_by_key(|index| counts[index - 6])
        .expect("three members");
    trial.log.leave(&vm(lost));
    assert!(trial.shards_of(VersionRole::Trial).len() < expected.len());
    let owners = trial.log.fleet.owners();
    assert_eq!(
        owners.keys().filter(|unit| expected.contains(unit)).count(),
        expected.len()
    );
    trial.settle();
    assert_eq!(trial.shards_of(VersionRole::Trial), expected);
    trial.log.leave(&vm(0));
    trial.check_share();
    trial.settle();
    assert_eq!(trial.shards_of(VersionRole::Trial), expected);
}

#[test]
fn all_units_come_back_after_a_rollback() {
    for max_shards in [None, Some(165)] {
        let mut trial = Trial::started(8, 8, 256, max_shards);
        trial.share = 0.08;
        trial.settle();
        assert_eq!(trial.shards_of(VersionRole::Trial).len(), 20);
        trial.step(rolled_back("12 bad answers"));
        trial.settle();
        assert_eq!(trial.shards_of(VersionRole::Current).len(), 256);
        assert_eq!(trial.shard_counts(8..16), [0; 8]);
    }
}

#[test]
fn all_units_go_over_when_a_version_is_promoted() {
    for (old, new, max_shards) in [
        (8, 8, None),
        (8, 8, Some(165)),
        (8, 3, None),
        (23, 23, Some(165)),
    ] {
        let mut trial = Trial::started(old, new, 256, max_shards);
        trial.share = 0.08;
        trial.settle();
        trial.step(RolloutStep::Promoted);
        trial.share = 0.0;
        trial.settle();
        assert_eq!(trial.shards_of(VersionRole::Current).len(), 256);
        assert_eq!(trial.shard_counts(0..old), vec![0; old]);
        let counts = trial.shard_counts(old..old + new);
        let fair = 256 / new;
        assert!(
            counts.iter().all(|count| *count <= 2 * fair + 1),
            "{counts:?}"
        );
        trial.step(RolloutStep::Completed);
        assert_eq!(trial.settle(), 0);
    }
}

#[test]
fn a_rollback_during_the_promotion_returns_all_units() {
    let mut trial = Trial::started(8, 8, 256, None);
    trial.share = 0.08;
    trial.settle();
    trial.step(RolloutStep::Promoted);
    trial.round();
    trial.step(rolled_back("12 bad answers"));
    trial.settle();
    assert_eq!(trial.shard_counts(8..16), [0; 8]);
    assert_eq!(trial.shards_of(VersionRole::Current).len(), 256);
}

/// Guards against an owner without a successor that gives its units up.
#[test]
fn owners_keep_their_units_while_no_member_has_the_promoted_version() {
    let mut trial = Trial::ordered(4, 256, None);
    trial.step(RolloutStep::Promoted);
    assert_eq!(trial.settle(), 0);
    assert_eq!(trial.shards_of(VersionRole::Withdrawn).len(), 256);
}

/// Guards against a share of requests far above the share of units.
#[test]
fn a_unit_far_heavier_than_the_mean_is_not_given_to_a_trial() {
    let mut trial = Trial::started(4, 2, 256, None);
    trial.share = 0.08;
    let units: Vec<Unit> = trial.expected().into_iter().collect();
    trial.loads = (0..256).map(|index| (shard(index), 1.0)).collect();
    trial.loads.insert(units[3].clone(), 5.0);
    trial.loads.insert(units[7].clone(), 2.0);
    trial.settle();
    let on_trial = trial.shards_of(VersionRole::Trial);
    assert!(!on_trial.contains(&units[3]));
    assert!(on_trial.contains(&units[7]), "twice the mean is given");
    assert_eq!(on_trial.len(), units.len() - 1);
}

/// Guards against a unit that is not served most of the time because it goes to and fro: it is light among the units of the
/// member that gives it, and heavy among those on trial.
#[test]
fn a_unit_heavier_than_the_others_on_trial_stays_there() {
    let mut trial = Trial::started(4, 2, 256, None);
    trial.share = 0.08;
    let units: Vec<Unit> = trial.expected().into_iter().collect();
    trial.loads = (0..256).map(|index| (shard(index), 1.0)).collect();
    for unit in &units {
        trial.loads.insert(unit.clone(), 0.1);
    }
    trial.loads.insert(units[3].clone(), 2.5);
    trial.settle();
    assert_eq!(trial.shards_of(VersionRole::Trial), trial.expected());
}

#[test]
fn a_unit_that_becomes_far_heavier_than_the_mean_is_moved_back() {
    let mut trial = Trial::started(4, 2, 256, None);
    trial.share = 0.08;
    trial.loads = (0..256).map(|index| (shard(index), 1.0)).collect();
    trial.settle();
    let heavy = trial.expected().into_iter().nth(5).expect("20 units");
    trial.loads.insert(heavy.clone(), 30.0);
    trial.round();
    assert!(!trial.shards_of(VersionRole::Trial).contains(&heavy));
}

/// Guards against a version that keeps the units that it got before its trial was ordered.
#[test]
fn members_that_joined_before_the_order_return_all_units_but_those_on_trial() {
    for max_shards in [None, Some(165)] {
        let mut log = Log::default();
        log.append(plans(256));
        log.append(workspaces(&["acme"]));
        for index in 0..6 {
            let version = if index < 4 { "v1" } else { "v2" };
            log.append_applied(join_with_version(index, "a", version));
        }
        let mut trial = Trial {
            loads: Loads::new(),
            log,
            max_shards,
            // The share is exceeded until the units have been returned, and is checked at the end.
            share: 1.0,
            shards: 256,
        };
        trial.settle();
        trial.step(ordered("v2", 12_000));
        assert!(trial.shards_of(VersionRole::Trial).len() > 50);
        for _ in 0..ROUNDS {
            let before = trial.log.fleet.clone();
            let members: Vec<String> = before.members().keys().cloned().collect();
            for me in members {
                let view = LoadView {
                    trial_share: 0.05,
                    ..trial.view(&me)
                };
                for (to, units) in plan_trial_moves(&before, &me, &view) {
                    let body = trial.move_body(&me, &to, &units);
                    trial.log.append_applied(body);
                }
            }
        }
        trial.share = 0.05;
        trial.check_share();
        assert_eq!(trial.shards_of(VersionRole::Trial), trial.expected());
    }
}

/// Guards against a member on trial that stops and keeps the units of the trial.
#[test]
fn a_member_on_trial_that_is_taken_out_moves_its_units_to_others_on_trial_or_back() {
    let mut trial = Trial::started(6, 2, 256, None);
    trial.share = 0.08;
    trial.settle();
    for index in [6, 7] {
        trial.log.append_applied(Body::Upstream {
            vm: vm(index),
            drained: true,
            base: 0,
        });
        trial.settle();
        assert_eq!(trial.shard_counts(index..index + 1), [0]);
        let remaining = if index == 6 {
            trial.expected().len()
        } else {
            0
        };
        assert_eq!(trial.shards_of(VersionRole::Trial).len(), remaining);
    }
    assert_eq!(trial.shards_of(VersionRole::Current).len(), 256);
}
