//! Simulation of entries and bucket owners that crash, pause, lose messages and have drifting clocks.

mod clock;
mod entry;
mod faults;
mod owner;
mod setup;

use std::collections::BTreeMap;
use std::time::Duration;

use ids::BUCKETS_PER_WORKSPACE;
use policy::Admission;
use policy::Batch;
use policy::BatchReport;
use policy::BucketState;
use policy::RateLimiterStep;
use policy::TokenRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use entry::Entry;
use owner::Owner;
pub(crate) use setup::Disabled;
pub(crate) use setup::Faults;
pub(crate) use setup::Setup;

#[derive(Clone, Debug)]
enum Event {
    Reply(usize, u64, u64, Batch),
    Arrive,
    RequestTokens(usize, u64, TokenRequest),
    Fault,
    Import(usize, BucketState),
    Poll(usize),
    Replace(usize),
}

pub(crate) struct Fleet {
    pub(crate) admitted: Vec<Duration>,
    pub(crate) token_requests: u64,
    /// Number of requests that a single bucket for the whole fleet would refuse.
    pub(crate) ideal_refused: u64,
    pub(crate) refused: u64,
    entries: Vec<Entry>,
    events: BTreeMap<(Duration, u64), Event>,
    fence: u64,
    ideal: (f64, Duration),
    owners: Vec<Owner>,
    rng: SmallRng,
    sequence: u64,
    setup: Setup,
    ticket: u64,
}

impl Fleet {
    pub(crate) fn run(setup: Setup, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entries = (0..setup.entries)
            .map(|index| Entry::new(&mut rng, &setup, index as u64))
            .collect();
        let owners = (0..BUCKETS_PER_WORKSPACE)
            .map(|index| Owner::new(&mut rng, Duration::ZERO, 1, setup.limit.part(index)))
            .collect();
        let mut fleet = Self {
            admitted: Vec::new(),
            token_requests: 0,
            ideal_refused: 0,
            refused: 0,
            entries,
            events: BTreeMap::new(),
            fence: 1,
            ideal: (f64::from(setup.limit.burst_requests), Duration::ZERO),
            owners,
            rng,
            sequence: 0,
            setup,
            ticket: 0,
        };
        // The load begins after the buckets have filled up.
        fleet.schedule(Duration::from_secs(30), Event::Arrive);
        fleet.schedule(Duration::from_secs(31), Event::Fault);
        let end = Duration::from_secs(30 + fleet.setup.seconds);
        while let Some(((time, _), event)) = fleet.events.pop_first() {
            if time > end {
                break;
            }
            fleet.handle(time, event);
        }
        fleet
    }

    /// Returns the largest excess of admissions over `rate * w + burst` in any window of length `w`.
    pub(crate) fn excess(&self) -> f64 {
        let rate = f64::from(self.setup.limit.rate_requests_per_second);
        let mut least = f64::INFINITY;
        let mut excess = f64::NEG_INFINITY;
        for (count, time) in self.admitted.iter().enumerate() {
            let above_rate = count as f64 - rate * time.as_secs_f64();
            least = least.min(above_rate);
            excess = excess.max(above_rate - least + 1.0);
        }
        excess - f64::from(self.setup.limit.burst_requests)
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Reply(entry, incarnation, request_id, batch) => {
                self.handle_reply(now, entry, incarnation, request_id, &batch)
            }
            Event::Arrive => self.arrive(now),
            Event::RequestTokens(entry, incarnation, request) => {
                self.handle_token_request(now, entry, incarnation, request)
            }
            Event::Fault => self.inject_fault(now),
            Event::Import(index, state) => self.import(now, index, &state),
            Event::Poll(entry) if self.entries[entry].poll_at == now => self.poll(now, entry),
            Event::Poll(_) => {}
            Event::Replace(index) => self.replace_owner(now, index),
        }
    }

    fn arrive(&mut self, now: Duration) {
        let in_burst = self.setup.bursty && now.as_millis() % 2_000 >= 1_500;
        let rate = self.setup.arrivals_per_second * if in_burst { 20.0 } else { 1.0 };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(now + Duration::from_secs_f64(gap), Event::Arrive);
        self.arrive_ideal(now);
        let index = self.draw_entry();
        self.ticket += 1;
        let entry = &mut self.entries[index];
        if now < entry.paused_until {
            return;
        }
        let clock = entry.clock.at(now);
        match entry.cache.admit(clock, self.ticket) {
            Admission::Admitted => self.admitted.push(now),
            Admission::Refused { .. } => self.refused += 1,
            Admission::Waiting => {}
        }
        self.poll(now, index);
    }

    /// Decides by a single bucket for the whole fleet, with a wait of at most 250 ms.
    fn arrive_ideal(&mut self, now: Duration) {
        let rate = f64::from(self.setup.limit.rate_requests_per_second);
        let burst = f64::from(self.setup.limit.burst_requests);
        let (level, refilled) = self.ideal;
        let level = (level + rate * (now - refilled).as_secs_f64()).min(burst);
        let is_refused = level + rate * 0.25 < 1.0;
        self.ideal_refused += u64::from(is_refused);
        self.ideal = (level - f64::from(u8::from(!is_refused)), now);
    }

    fn draw_entry(&mut self) -> usize {
        let weight = |index: usize| self.setup.weights.get(index).copied().unwrap_or(1.0);
        let total: f64 = (0..self.entries.len()).map(weight).sum();
        let mut drawn = self.rng.random::<f64>() * total;
        for index in 0..self.entries.len() {
            drawn -= weight(index);
            if drawn < 0.0 {
                return index;
            }
        }
        0
    }

    fn poll(&mut self, now: Duration, index: usize) {
        let entry = &mut self.entries[index];
        if now < entry.paused_until {
            let later = entry.paused_until;
            entry.poll_at = later;
            self.schedule(later, Event::Poll(index));
            return;
        }
        let incarnation = entry.incarnation;
        let steps = entry.cache.poll(entry.clock.at(now));
        for step in steps {
            match step {
                RateLimiterStep::Admit(_) => self.admitted.push(now),
                RateLimiterStep::RequestTokens(request) => {
                    self.send_token_request(now, index, incarnation, &request)
                }
                RateLimiterStep::Refuse { .. } => self.refused += 1,
            }
        }
        let entry = &mut self.entries[index];
        if let Some(wake_at) = entry.cache.wake_at() {
            let wait = wake_at.saturating_sub(entry.clock.at(now));
            let wait = wait.max(Duration::from_millis(1)).mul_f64(1.01);
            entry.poll_at = now + wait;
            let poll_at = entry.poll_at;
            self.schedule(poll_at, Event::Poll(index));
        }
    }

    fn send_token_request(
        &mut self,
        now: Duration,
        entry: usize,
        incarnation: u64,
        request: &TokenRequest,
    ) {
        self.token_requests += 1;
        for delay in self.deliveries() {
            self.schedule(
                now + delay,
                Event::RequestTokens(entry, incarnation, request.clone()),
            );
        }
    }

    /// Draws the delays of a message: none if it is lost, two if it is duplicated.
    fn deliveries(&mut self) -> Vec<Duration> {
        let all = self.setup.faults == Faults::All;
        let copies = match self.rng.random_range(0..100) {
            0..3 if all => 0,
            3..6 if all => 2,
            _ => 1,
        };
        let slow = all && self.rng.random_range(0..20) == 0;
        let longest = if slow { 1_200_000 } else { 2_000 };
        (0..copies)
            .map(|_| Duration::from_micros(self.rng.random_range(200..longest)))
            .collect()
    }

    fn handle_token_request(
        &mut self,
        now: Duration,
        entry: usize,
        incarnation: u64,
        request: TokenRequest,
    ) {
        let owner = &mut self.owners[request.bucket as usize];
        if now < owner.paused_until {
            let later = owner.paused_until;
            self.schedule(later, Event::RequestTokens(entry, incarnation, request));
            return;
        }
        let clock = owner.clock.at(now);
        let Some(bucket) = &mut owner.bucket else {
            return;
        };
        bucket.report(clock, &request.reports);
        let batch = bucket.grant(clock, &format!("vm-{entry}"), request.wanted);
        if self.setup.disabled == Disabled::OutstandingCount {
            let used = BatchReport {
                batch: batch.id,
                closed: true,
                used: batch.tokens,
            };
            bucket.report(clock, &[used]);
        }
        for delay in self.deliveries() {
            self.schedule(
                now + delay,
                Event::Reply(entry, incarnation, request.id, batch),
            );
        }
    }

    fn handle_reply(
        &mut self,
        now: Duration,
        index: usize,
        incarnation: u64,
        request_id: u64,
        batch: &Batch,
    ) {
        let entry = &mut self.entries[index];
        if now < entry.paused_until {
            let later = entry.paused_until;
            self.schedule(later, Event::Reply(index, incarnation, request_id, *batch));
            return;
        }
        if entry.incarnation == incarnation {
            entry
                .cache
                .receive_batch(entry.clock.at(now), request_id, batch);
            self.poll(now, index);
        }
    }
}
