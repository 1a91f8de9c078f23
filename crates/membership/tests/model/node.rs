//! One simulated VM: a home, driven through its agent, and its upstream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ids::Offset;
use ids::Unit;
use ids::VmId;
use ids::first_offset;
use ids::generation_of;
use membership::Agent;
use membership::AgentSettings;
use membership::Announcement;
use membership::Event;
use membership::Trace;

use crate::fake_upstream::FakeUpstream;

pub(crate) struct Node {
    pub(crate) address: SocketAddr,
    pub(crate) agent: Agent,
    /// Units on which a request may still run after a `Drain`.
    pub(crate) busy: BTreeSet<Unit>,
    pub(crate) checks_grants: bool,
    pub(crate) is_cut_from_log: bool,
    pub(crate) is_up: bool,
    /// Number of the process. Inputs that were scheduled for an earlier process are dropped.
    pub(crate) process: u64,
    pub(crate) paused_until: u64,
    pub(crate) rate: f64,
    /// Records that this process has read or pulled.
    pub(crate) records: BTreeMap<Offset, String>,
    /// Time by which the clock is ahead, if a broken rule skips waits.
    pub(crate) skipped: Duration,
    pub(crate) started: u64,
    /// Recorded events, if the node's trace is to be replayed.
    pub(crate) trace: Option<Trace>,
    pub(crate) upstream: FakeUpstream,
    /// Version that the upstream announces.
    pub(crate) version: String,
    pub(crate) vm: VmId,
}

impl Node {
    pub(crate) fn new(index: usize, rate: f64, upstream: FakeUpstream) -> Self {
        let vm = format!("vm-{index}");
        let address = SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16));
        Self {
            address,
            agent: agent(index, address, 0),
            busy: BTreeSet::new(),
            checks_grants: true,
            is_cut_from_log: false,
            is_up: true,
            process: 0,
            paused_until: 0,
            rate,
            records: BTreeMap::new(),
            skipped: Duration::ZERO,
            started: 0,
            trace: None,
            upstream,
            version: String::new(),
            vm,
        }
    }

    pub(crate) fn kill(&mut self) {
        self.is_up = false;
        self.process += 1;
        self.busy.clear();
    }

    pub(crate) fn restart(&mut self, at: u64, index: usize) {
        self.agent = agent(index, self.address, self.process);
        self.is_up = true;
        self.paused_until = 0;
        self.records.clear();
        self.skipped = Duration::ZERO;
        self.started = at;
    }

    pub(crate) fn now(&self, at: u64) -> Duration {
        let elapsed = (at - self.started) as f64 * self.rate;
        Duration::from_micros(elapsed as u64) + self.skipped
    }

    pub(crate) fn announcement(&self) -> Announcement {
        Announcement {
            address: self.address,
            checks_grants: self.checks_grants,
            connections: 10,
            instance: self.upstream.instance.clone(),
            polls_grants: false,
            service: "ordering".to_owned(),
            slots: 10,
            started_unix_ms: 0,
            version: self.version.clone(),
        }
    }

    /// Stores the records of an event for peers.
    pub(crate) fn store_records(&mut self, event: &Event) {
        if let Event::Records { records, .. } | Event::PeerRecords { records, .. } = event {
            for (offset, text) in records {
                let known = self.records.entry(*offset);
                known.or_insert_with(|| text.clone());
            }
        }
    }

    /// Returns the records for a peer that reads from an offset, from the start of the generation if that of the offset has
    /// ended.
    pub(crate) fn records_for_peer(&self, from: Offset) -> Vec<(Offset, String)> {
        let next = self.agent.fleet().next_offset();
        let start = first_offset(generation_of(next));
        let records = self.records.range(from.max(start).min(next)..next);
        records
            .map(|(offset, text)| (*offset, text.clone()))
            .collect()
    }

    /// Reports whether the home would dispatch a request to the unit, or a request still runs on it.
    pub(crate) fn serves(&self, at: u64, unit: &Unit) -> bool {
        let lease_end = self.agent.lease_until();
        let holds = lease_end.is_some_and(|end| self.now(at) < end);
        let dispatches = holds && self.agent.serving_units().contains_key(unit);
        let runs = self.busy.contains(unit) && self.upstream.may_run(at);
        self.is_up && (dispatches || runs)
    }
}

fn agent(index: usize, peer: SocketAddr, process: u64) -> Agent {
    Agent::new(settings(index, peer, process))
}

pub(crate) fn settings(index: usize, peer: SocketAddr, seed: u64) -> AgentSettings {
    AgentSettings {
        evacuation_timeout: Duration::from_secs(5),
        lease: cluster::LEASE,
        load_tolerance: None,
        log_wait: Duration::from_millis(1_500),
        retention: None,
        peer,
        places_by_cost: false,
        region: "region".to_owned(),
        rollouts_enabled: true,
        seed,
        shards_per_member: None,
        stop_timeout: Duration::from_secs(20),
        vm: format!("vm-{index}"),
        zone: format!("zone-{}", index % 3),
    }
}
