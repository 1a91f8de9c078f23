//! One VM: a home, driven through its agent, beside an upstream.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ids::Unit;
use ids::VmId;
use membership::Agent;
use membership::AgentSettings;
use membership::Announcement;
use membership::Trace;

use crate::fake_upstream::FakeUpstream;

pub(crate) struct Node {
    pub(crate) address: SocketAddr,
    pub(crate) agent: Agent,
    /// Units on which a request may still run after a `Drain`.
    pub(crate) busy: BTreeSet<Unit>,
    pub(crate) checks_orders: bool,
    pub(crate) is_cut_from_log: bool,
    pub(crate) is_up: bool,
    /// Number of the process, so that what was meant for an earlier one is dropped.
    pub(crate) life: u64,
    pub(crate) paused_until: u64,
    pub(crate) rate: f64,
    /// Time that the clock has skipped, under a wrong rule.
    pub(crate) skipped: Duration,
    pub(crate) started: u64,
    /// Recorded events, for a node that is to be replayed.
    pub(crate) trace: Option<Trace>,
    pub(crate) upstream: FakeUpstream,
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
            checks_orders: true,
            is_cut_from_log: false,
            is_up: true,
            life: 0,
            paused_until: 0,
            rate,
            skipped: Duration::ZERO,
            started: 0,
            trace: None,
            upstream,
            vm,
        }
    }

    pub(crate) fn kill(&mut self) {
        self.is_up = false;
        self.life += 1;
        self.busy.clear();
    }

    pub(crate) fn restart(&mut self, at: u64, index: usize) {
        self.agent = agent(index, self.address, self.life);
        self.is_up = true;
        self.paused_until = 0;
        self.skipped = Duration::ZERO;
        self.started = at;
    }

    pub(crate) fn now(&self, at: u64) -> Duration {
        let passed = (at - self.started) as f64 * self.rate;
        Duration::from_micros(passed as u64) + self.skipped
    }

    pub(crate) fn announcement(&self) -> Announcement {
        Announcement {
            address: self.address,
            checks_orders: self.checks_orders,
            connections: 10,
            instance: self.upstream.instance.clone(),
            polls_grants: false,
            service: "ordering".to_owned(),
            slots: 10,
        }
    }

    /// Tells whether the home would dispatch to the unit, or still runs a request on it.
    pub(crate) fn serves(&self, at: u64, unit: &Unit) -> bool {
        let lease_end = self.agent.lease_until();
        let holds = lease_end.is_some_and(|end| self.now(at) < end);
        let dispatches = holds && self.agent.serving_units().contains_key(unit);
        let runs = self.busy.contains(unit) && self.upstream.may_run(at);
        self.is_up && (dispatches || runs)
    }
}

fn agent(index: usize, peer: SocketAddr, life: u64) -> Agent {
    Agent::new(settings(index, peer, life))
}

pub(crate) fn settings(index: usize, peer: SocketAddr, seed: u64) -> AgentSettings {
    AgentSettings {
        lease: cluster::LEASE,
        load_tolerance: None,
        log_wait: Duration::from_millis(1_500),
        retention: None,
        peer,
        region: "region".to_owned(),
        seed,
        vm: format!("vm-{index}"),
        zone: format!("zone-{}", index % 3),
    }
}
