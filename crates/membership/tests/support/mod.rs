//! Agents for tests.

use std::time::Duration;

use cluster::LEASE;
use membership::Agent;
use membership::AgentSettings;

/// Time that a read of the log waits for records.
const LOG_WAIT: Duration = Duration::from_secs(60);

/// Returns the agent of a process that has just started.
#[allow(dead_code)]
pub(crate) fn agent() -> Agent {
    agent_of("vm-1")
}

/// Returns the agent of the process of a VM that has just started.
#[allow(dead_code)]
pub(crate) fn agent_of(vm: &str) -> Agent {
    Agent::new(AgentSettings {
        evacuation_timeout: Duration::from_secs(5),
        lease: LEASE,
        load_tolerance: None,
        log_wait: LOG_WAIT,
        peer: "10.0.0.1:7000".parse().unwrap(),
        region: "r".to_owned(),
        retention: None,
        seed: 7,
        stop_timeout: std::time::Duration::from_secs(20),
        vm: vm.to_owned(),
        zone: "z".to_owned(),
    })
}
