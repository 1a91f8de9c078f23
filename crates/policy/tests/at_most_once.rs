//! Idempotency keys across moves and losses of their unit.

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

/// The homes that own one unit in turn, and callers that repeat idempotency keys.
struct Homes {
    bounds: MemoryBounds,
    /// Error of the present owner's wall clock, in milliseconds.
    error_ms: i64,
    memory: Memory,
    now: Duration,
    rng: SmallRng,
    /// Whether a loss leaves the beginning of ownership unknown.
    untracked: bool,
}

impl Homes {
    fn unix_ms(&self) -> u64 {
        let true_ms = START_UNIX_MS + self.now.as_millis() as u64;
        true_ms.saturating_add_signed(self.error_ms)
    }

    fn next_owner(&mut self) -> Memory {
        self.error_ms = self.rng.random_range(-500..=500);
        Memory::new(self.bounds, self.unix_ms())
    }

    fn move_unit(&mut self) {
        let exported = self.memory.export(self.now, &unit());
        self.memory = self.next_owner();
        self.memory.import(self.now, &unit(), exported);
    }

    fn lose_owner(&mut self) {
        self.memory = self.next_owner();
        let since = if self.untracked { 0 } else { self.unix_ms() };
        self.memory.own(unit(), since);
    }

    /// Returns the largest number of times that a request with one key ran.
    fn run(margin_ms: u64, untracked: bool, seed: u64) -> u32 {
        let bounds = MemoryBounds {
            clock_margin: Duration::from_millis(margin_ms),
            keep_key: Duration::from_secs(20),
            ..MemoryBounds::default()
        };
        let mut homes = Self {
            bounds,
            error_ms: 0,
            memory: memory(bounds),
            now: Duration::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            untracked,
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
                    let true_ms = START_UNIX_MS + homes.now.as_millis() as u64;
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
        if self.memory.begin(self.now, self.unix_ms(), request) != BeginDecision::Run {
            return;
        }
        match self.rng.random_range(0..4) {
            0 => {
                self.memory.not_run(&id);
                return;
            }
            1 => drop(self.memory.lost(self.now, &id)),
            _ => drop(self.memory.answered(self.now, &id, String::new(), 0)),
        }
        *runs.entry(chosen.clone()).or_default() += 1;
        self.memory.acknowledge(&id);
    }
}

#[test]
fn keys_run_at_most_once_across_moves_and_losses() {
    for seed in 0..100 {
        assert_eq!(Homes::run(500, false, seed), 1, "seed {seed}");
    }
}

#[test]
fn keys_run_twice_without_the_margin_or_the_beginning_of_ownership() {
    let twice = |margin_ms, untracked| {
        (0..30)
            .filter(|seed| Homes::run(margin_ms, untracked, *seed) > 1)
            .count()
    };
    let figures = (twice(0, false), twice(500, true));
    println!("without margin, without beginning: {figures:?} of 30");
    assert!(figures.0 > 0 && figures.1 > 0, "{figures:?}");
}
