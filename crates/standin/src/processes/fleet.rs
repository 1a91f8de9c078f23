//! A fleet of real processes.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitStatus;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ids::Offset;
use ids::VmId;
use serde_json::Value;

use crate::Execution;
use crate::FleetBuilder;
use crate::FleetError;
use crate::LoadReport;
use crate::LogClient;
use crate::Network;
use crate::Process;
use crate::Trace;
use crate::UpstreamCounters;
use crate::UpstreamFaults;
use crate::VmAddresses;
use crate::WorkspacePlan;
use crate::processes::ProcessClient;
use crate::processes::TempDirectory;
use crate::processes::Vm;
use crate::processes::VmSupervisor;
use crate::processes::build_facts;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a record after which a fleet counts as settled.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A fleet of real processes on loopback, which are killed when this is dropped.
///
/// An upstream that a request crashed is started anew, as by the supervisor of its VM.
pub struct Fleet {
    client: ProcessClient,
    parts: FleetParts,
}

/// What a running fleet consists of.
pub(crate) struct FleetParts {
    pub(crate) directory: TempDirectory,
    pub(crate) log: LogClient,
    pub(crate) log_process: Process,
    pub(crate) vms: VmSupervisor,
    pub(crate) network: Network,
    pub(crate) workspaces: Vec<WorkspacePlan>,
}

impl Fleet {
    /// Returns the description of an empty fleet.
    pub fn builder() -> FleetBuilder {
        FleetBuilder::default()
    }

    pub(crate) fn new(parts: FleetParts) -> Self {
        Self {
            client: ProcessClient::new(),
            parts,
        }
    }

    /// Returns the names of the VMs.
    pub fn vms(&self) -> Vec<VmId> {
        self.parts.vms.map_specs(|spec| spec.name.clone())
    }

    /// Returns the names of the VMs in an availability zone.
    pub fn vms_in(&self, zone: &str) -> Vec<VmId> {
        let own = self
            .parts
            .vms
            .map_specs(|spec| (spec.zone == zone).then(|| spec.name.clone()));
        own.into_iter().flatten().collect()
    }

    /// Returns the addresses of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM.
    pub fn addresses(&self, vm: &str) -> Result<VmAddresses, FleetError> {
        self.parts
            .vms
            .with_vm(vm, |vm| Ok(vm.spec.addresses.clone()))
    }

    /// Returns the addresses for callers, in the order of the names of the VMs.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.parts.vms.map_specs(|spec| spec.addresses.caller)
    }

    /// Returns the workspaces with their tenant keys.
    pub fn workspaces(&self) -> &[WorkspacePlan] {
        &self.parts.workspaces
    }

    /// Returns a client of the log stand-in.
    pub fn log(&self) -> &LogClient {
        &self.parts.log
    }

    /// Returns the process of the log stand-in.
    pub fn log_process(&mut self) -> &mut Process {
        &mut self.parts.log_process
    }

    /// Returns the directory of settings, output and executions, kept when a test fails, with the log's records.
    pub fn directory(&self) -> &Path {
        self.parts.directory.path()
    }

    /// Kills both processes of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or it cannot be killed.
    pub fn kill(&self, vm: &str) -> Result<(), FleetError> {
        self.parts.vms.with_vm(vm, Vm::kill)
    }

    /// Stops both processes of a VM where they are.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or a process has exited.
    pub fn freeze(&self, vm: &str) -> Result<(), FleetError> {
        self.parts.vms.with_vm(vm, Vm::freeze)
    }

    /// Lets both processes of a frozen VM go on.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or a process has exited.
    pub fn thaw(&self, vm: &str) -> Result<(), FleetError> {
        self.parts.vms.with_vm(vm, Vm::thaw)
    }

    /// Asks the daemon of a VM for a graceful stop.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or its daemon has exited.
    pub fn terminate(&self, vm: &str) -> Result<(), FleetError> {
        self.parts.vms.with_vm(vm, |vm| vm.daemon.terminate())
    }

    /// Waits until the daemon of a VM has exited.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or the daemon runs on for longer than `timeout`.
    pub fn wait_for_exit(&self, vm: &str, timeout: Duration) -> Result<ExitStatus, FleetError> {
        let mut status = None;
        self.wait_until(
            &format!("the daemon of `{vm}` did not exit"),
            timeout,
            || {
                status = self
                    .parts
                    .vms
                    .with_vm(vm, |vm| vm.daemon.exit_status())
                    .ok()
                    .flatten();
                status.is_some()
            },
        )?;
        status.ok_or_else(|| FleetError::UnknownVm(vm.to_owned()))
    }

    /// Replaces both processes of a VM by new ones.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or a process cannot start.
    pub fn restart(&self, vm: &str) -> Result<(), FleetError> {
        self.parts.vms.with_vm(vm, Vm::restart)
    }

    /// Calls `act` with the daemon of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or `act` fails.
    pub fn with_daemon<T>(
        &self,
        vm: &str,
        act: impl FnOnce(&mut Process) -> io::Result<T>,
    ) -> Result<T, FleetError> {
        self.parts.vms.with_vm(vm, |vm| act(&mut vm.daemon))
    }

    /// Calls `act` with the upstream of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or `act` fails.
    pub fn with_upstream<T>(
        &self,
        vm: &str,
        act: impl FnOnce(&mut Process) -> io::Result<T>,
    ) -> Result<T, FleetError> {
        self.parts.vms.with_vm(vm, |vm| act(&mut vm.upstream))
    }

    /// Starts the upstream of a VM anew, cold and with a new life.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or the process cannot start.
    pub fn restart_upstream(&self, vm: &str) -> Result<(), FleetError> {
        self.parts.vms.with_vm(vm, Vm::restart_upstream)
    }

    /// Replaces the faults that the upstream of a VM injects.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or its upstream does not answer.
    pub fn set_upstream_faults(&self, vm: &str, faults: &UpstreamFaults) -> Result<(), FleetError> {
        self.client.set_faults(&self.addresses(vm)?, faults)
    }

    /// Returns what the upstream of a VM has counted in its present life.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or its upstream does not answer.
    pub fn upstream_counters(&self, vm: &str) -> Result<UpstreamCounters, FleetError> {
        self.client.counters(&self.addresses(vm)?)
    }

    /// Returns the status that the daemon of a VM reports to operators.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or its daemon does not answer.
    pub fn status(&self, vm: &str) -> Result<Value, FleetError> {
        self.client.status(&self.addresses(vm)?)
    }

    /// Returns every execution of all upstreams so far.
    ///
    /// # Errors
    ///
    /// Returns an error when a file of executions cannot be read.
    pub fn executions(&self) -> Result<Vec<Execution>, FleetError> {
        let read = self.parts.vms.executions();
        read.map_err(|error| FleetError::System("read executions", error))
    }

    /// Returns what the upstreams ran, with what callers saw and the limits of all workspaces.
    ///
    /// # Errors
    ///
    /// Returns an error when a file of executions cannot be read.
    pub fn trace(&self, report: &LoadReport) -> Result<Trace, FleetError> {
        Ok(Trace {
            executions: self.executions()?,
            facts: build_facts(&self.parts.workspaces),
            observations: report.observations.clone(),
        })
    }

    /// Returns the network between the VMs, which has an effect on fleets that are [`FleetBuilder::with_network_faults`].
    pub fn network(&self) -> &Network {
        &self.parts.network
    }

    /// Waits until every VM that runs sees every VM that runs as a member, and an owner of every unit.
    ///
    /// # Errors
    ///
    /// Returns an error when that does not happen within `timeout`.
    pub fn wait_until_ready(&self, timeout: Duration) -> Result<(), FleetError> {
        self.wait_until("the fleet did not become ready", timeout, || {
            let running = self.parts.vms.running_vms();
            let is_ready = |vm: &VmId| {
                let addresses = self.addresses(vm);
                addresses.is_ok_and(|addresses| self.client.is_ready(&addresses, &running))
            };
            running.iter().all(is_ready)
        })
    }

    /// Waits until the fleet is ready and has appended no record for 3 s, as when no witness is being replaced.
    ///
    /// # Errors
    ///
    /// Returns an error when that does not happen within `timeout`.
    pub fn wait_until_settled(&self, timeout: Duration) -> Result<(), FleetError> {
        self.wait_until_ready(timeout)?;
        let mut last = None;
        let mut since = Instant::now();
        self.wait_until("the fleet did not settle", timeout, || {
            let next: Vec<_> = self
                .parts
                .vms
                .running_vms()
                .iter()
                .map(|vm| self.next(vm))
                .collect();
            if last.as_ref() != Some(&next) {
                last = Some(next);
                since = Instant::now();
            }
            since.elapsed() >= SETTLE_TIME
        })
    }

    /// Returns the offset of the record that a VM reads next.
    fn next(&self, vm: &str) -> Option<Offset> {
        self.status(vm).ok()?["next"].as_u64()
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Returns an error that begins with `what` when it does not hold within `timeout`.
    pub fn wait_until(
        &self,
        what: &str,
        timeout: Duration,
        mut condition: impl FnMut() -> bool,
    ) -> Result<(), FleetError> {
        let end = Instant::now() + timeout;
        while !condition() {
            if Instant::now() >= end {
                return Err(FleetError::TimedOut {
                    what: what.to_owned(),
                    seconds: timeout.as_secs(),
                    output: self.parts.directory.path().to_owned(),
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Writes the records of the log to the directory, which is kept when a test fails.
    fn save_records(&self) {
        let saved = self.log().read(1).and_then(|records| {
            let path = self.directory().join("log.records");
            let lines = records
                .iter()
                .map(|(offset, body)| format!("{offset} {body}\n"));
            fs::write(path, lines.collect::<String>()).map_err(|error| error.to_string())
        });
        if let Err(error) = saved {
            eprintln!("cannot save the records of the log: {error}");
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            self.save_records();
        }
        self.parts.vms.kill_all();
    }
}
