//! Checks that an idempotency key runs at most once while its unit is moved and its owner is lost.

mod keyed;

use std::collections::BTreeMap;
use std::time::Duration;

use keyed::Memory;
use keyed::START_UNIX_MS;
use keyed::key;
use keyed::memory;
use keyed::request;
use keyed::unit;
use policy::BeginDecision;
use policy::IdempotencyKey;
use policy::MemoryBounds;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A home, which may own the unit several times.
struct Home {
    /// Error of its wall clock, in milliseconds.
    clock_error_ms: i64,
    memory: Memory,
}

/// Homes that own one unit one after another, and callers that repeat idempotency keys.
struct Homes {
    bounds: MemoryBounds,
    now: Duration,
    /// The owner.
    owner: Home,
    /// A former owner that still runs.
    former: Option<Home>,
    rng: SmallRng,
    /// Whether the beginning of ownership is unknown after the previous owner was lost.
    ownership_start_unknown: bool,
}

impl Homes {
    fn true_ms(&self) -> u64 {
        START_UNIX_MS + self.now.as_millis() as u64
    }

    fn unix_ms(&self) -> u64 {
        self.true_ms()
            .saturating_add_signed(self.owner.clock_error_ms)
    }

    /// Makes a new home or the former owner the owner. The present one goes on running or ends.
    fn change_owner(&mut self) {
        let clock_error_ms = self.rng.random_range(-500..=500);
        let started = self.true_ms().saturating_add_signed(clock_error_ms);
        let new = Home {
            clock_error_ms,
            memory: Memory::new(self.bounds, started),
        };
        let next = self.former.take().unwrap_or(new);
        let former = std::mem::replace(&mut self.owner, next);
        self.former = self.rng.random_bool(0.5).then_some(former);
    }

    fn move_unit(&mut self) {
        let exported = self.owner.memory.export(self.now, &unit());
        self.change_owner();
        self.owner.memory.import(self.now, &unit(), exported);
    }

    fn lose_owner(&mut self) {
        self.change_owner();
        let since = if self.ownership_start_unknown {
            0
        } else {
            self.unix_ms()
        };
        self.owner.memory.add_unit(unit(), since);
    }

    /// Returns the largest number of times that requests with the same key ran.
    fn max_runs_per_key(margin_ms: u64, ownership_start_unknown: bool, seed: u64) -> u32 {
        let bounds = MemoryBounds {
            clock_margin: Duration::from_millis(margin_ms),
            keep_key: Duration::from_secs(20),
            ..MemoryBounds::default()
        };
        let mut homes = Self {
            bounds,
            now: Duration::from_secs(1),
            owner: Home {
                clock_error_ms: 0,
                memory: memory(bounds),
            },
            former: None,
            rng: SmallRng::seed_from_u64(seed),
            ownership_start_unknown,
        };
        let mut keys = Vec::new();
        let mut runs = BTreeMap::<IdempotencyKey, u32>::new();
        for step in 0..3_000_u64 {
            homes.now += Duration::from_millis(homes.rng.random_range(1..200));
            match homes.rng.random_range(0..100) {
                0..2 => homes.lose_owner(),
                2..5 => homes.move_unit(),
                5..40 => {
                    let error_ms = homes.rng.random_range(-3_000..=3_000);
                    let true_ms = homes.true_ms();
                    keys.push(key(true_ms.saturating_add_signed(error_ms), step));
                }
                _ => {}
            }
            homes.send(&keys, step, &mut runs);
        }
        runs.into_values().max().unwrap_or(0)
    }

    fn send(
        &mut self,
        keys: &[IdempotencyKey],
        step: u64,
        runs: &mut BTreeMap<IdempotencyKey, u32>,
    ) {
        let recent = keys.len().min(150);
        if recent == 0 {
            return;
        }
        let chosen = &keys[keys.len() - 1 - self.rng.random_range(0..recent)];
        let id = format!("r{step}");
        let request = request(&id, Some(chosen.clone()), "same");
        let (now, unix_ms) = (self.now, self.unix_ms());
        let memory = &mut self.owner.memory;
        if memory.begin(now, unix_ms, request) != BeginDecision::Run {
            return;
        }
        match self.rng.random_range(0..4) {
            0 => {
                memory.record_not_run(&id);
                return;
            }
            1 => drop(memory.record_lost(now, &id)),
            _ => drop(memory.record_answer(now, &id, String::new(), 0)),
        }
        *runs.entry(chosen.clone()).or_default() += 1;
        memory.acknowledge(&id);
    }
}

#[test]
fn keys_run_at_most_once_across_moves_and_losses() {
    for seed in 0..100 {
        assert_eq!(Homes::max_runs_per_key(500, false, seed), 1, "seed {seed}");
    }
}

#[test]
fn keys_run_twice_without_clock_margin_or_ownership_start() {
    let seeds_with_two_runs = |margin_ms, ownership_start_unknown| {
        (0..30)
            .filter(|seed| Homes::max_runs_per_key(margin_ms, ownership_start_unknown, *seed) > 1)
            .count()
    };
    let counts = (
        seeds_with_two_runs(0, false),
        seeds_with_two_runs(500, true),
    );
    println!("seeds with two runs, without margin and without ownership start: {counts:?} of 30");
    assert!(counts.0 > 0 && counts.1 > 0, "{counts:?}");
}
