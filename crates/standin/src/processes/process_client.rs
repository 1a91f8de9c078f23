//! HTTP client of the control interfaces of daemons and upstreams.

use std::io;
use std::time::Duration;

use ids::VmId;
use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::Agent;

use crate::FleetError;
use crate::UpstreamCounters;
use crate::UpstreamFaults;
use crate::VmAddresses;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the status of daemons and the counters of upstreams, and sets the faults that upstreams inject.
#[derive(Debug)]
pub(crate) struct ProcessClient {
    agent: Agent,
}

impl ProcessClient {
    pub(crate) fn new() -> Self {
        let agent = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .into();
        Self { agent }
    }

    pub(crate) fn counters(&self, vm: &VmAddresses) -> Result<UpstreamCounters, FleetError> {
        self.get(&format!("http://{}/counters", vm.upstream_control))
    }

    pub(crate) fn set_faults(
        &self,
        vm: &VmAddresses,
        faults: &UpstreamFaults,
    ) -> Result<(), FleetError> {
        let url = format!("http://{}/faults", vm.upstream_control);
        let result = self.agent.post(url).send_json(faults);
        result.map(|_| ()).map_err(call_error)
    }

    pub(crate) fn status(&self, vm: &VmAddresses) -> Result<Value, FleetError> {
        self.get(&format!("http://{}/v1/status", vm.operator))
    }

    /// Reports whether a daemon lists all `members`, at least one unit, and an owner for every unit in its status.
    pub(crate) fn is_ready(&self, vm: &VmAddresses, members: &[VmId]) -> bool {
        let Ok(status) = self.status(vm) else {
            return false;
        };
        let reported = status["members"].as_array().map_or(&[][..], Vec::as_slice);
        let is_member = |vm: &VmId| reported.iter().any(|member| member["vm"] == vm.as_str());
        members.iter().all(is_member) && status["unowned_units"] == 0 && status["units"] != 0
    }

    fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, FleetError> {
        let response = self.agent.get(url).call();
        let body = response.and_then(|response| response.into_body().read_json());
        body.map_err(call_error)
    }
}

fn call_error(error: ureq::Error) -> FleetError {
    FleetError::System("call a process", io::Error::other(error))
}
