//! Simulated faults of entries and owners.

use std::time::Duration;

use policy::Bucket;
use policy::BucketState;
use rand::RngExt;

use super::Event;
use super::Fleet;
use super::clock::Clock;
use super::entry::Entry;
use super::owner::Owner;
use super::setup::Disabled;
use super::setup::Faults;

impl Fleet {
    pub(super) fn inject_fault(&mut self, now: Duration) {
        let entry = self.rng.random_range(0..self.entries.len());
        let owner = self.rng.random_range(0..self.owners.len());
        match self.setup.faults {
            Faults::None => {}
            Faults::Losses => self.inject_loss(now, entry, owner),
            Faults::All => self.inject_any_fault(now, entry, owner),
        }
    }

    fn inject_loss(&mut self, now: Duration, entry: usize, owner: usize) {
        self.schedule(now + Duration::from_secs(30), Event::Fault);
        if self.rng.random() {
            self.lose_owner(now, owner, Duration::from_secs(3));
        } else {
            self.restart_entry(entry);
        }
    }

    fn inject_any_fault(&mut self, now: Duration, entry: usize, owner: usize) {
        let gap = self.rng.random_range(50..1_500);
        self.schedule(now + Duration::from_millis(gap), Event::Fault);
        let pause = Duration::from_millis(self.rng.random_range(10..1_900));
        match self.rng.random_range(0..5) {
            0 => self.entries[entry].paused_until = now + pause,
            1 => self.restart_entry(entry),
            2 => self.owners[owner].paused_until = now + pause,
            3 => {
                let rest_of_lease = Duration::from_millis(self.rng.random_range(0..300));
                (0..self.owners.len()).for_each(|owner| self.lose_owner(now, owner, rest_of_lease));
            }
            _ => self.move_bucket(now, owner),
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        self.fence += 1;
        self.entries[entry] = Entry::new(&mut self.rng, &self.setup, self.fence);
    }

    fn lose_owner(&mut self, now: Duration, index: usize, rest_of_lease: Duration) {
        if self.owners[index].bucket.take().is_some() {
            self.schedule(now + rest_of_lease, Event::Replace(index));
        }
    }

    pub(super) fn replace_owner(&mut self, now: Duration, index: usize) {
        self.fence += 1;
        let part = self.setup.limit.part(index as u32);
        let mut owner = Owner::new(&mut self.rng, now, self.fence, part);
        let clock = owner.clock.at(now);
        let full = u64::from(part.burst_requests) * 1_000_000_000;
        if self.setup.disabled == Disabled::EmptyStart {
            let state = BucketState {
                level_nanotokens: full,
                limit: part,
                outstanding: Vec::new(),
                quiet_for: Duration::ZERO,
            };
            owner.bucket = Some(Bucket::import(clock, self.fence, &state));
        }
        self.owners[index] = owner;
    }

    fn move_bucket(&mut self, now: Duration, index: usize) {
        let owner = &mut self.owners[index];
        if let Some(bucket) = owner.bucket.take() {
            let state = bucket.export(owner.clock.at(now));
            let delay = Duration::from_millis(self.rng.random_range(1..100));
            self.schedule(now + delay, Event::Import(index, state));
        }
    }

    pub(super) fn import(&mut self, now: Duration, index: usize, state: &BucketState) {
        self.fence += 1;
        let clock = Clock::draw(&mut self.rng);
        self.owners[index] = Owner {
            bucket: Some(Bucket::import(clock.at(now), self.fence, state)),
            clock,
            paused_until: now,
        };
    }
}
