//! A running fleet of processes.

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
use crate::processes::build_trace_facts;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a new record after which a fleet counts as settled.
const SETTLED_INTERVAL: Duration = Duration::from_secs(3);

/// A fleet of real processes on loopback addresses, which are killed on drop.
///
/// An upstream that a request crashed is restarted, as the supervisor of a real VM does.
pub struct Fleet {
    client: ProcessClient,
    parts: FleetParts,
}

/// The processes, files and clients of a running fleet.
pub(crate) struct FleetParts {
    pub(crate) directory: TempDirectory,
    pub(crate) log: LogClient,
    pub(crate) log_process: Process,
    pub(crate) vms: VmSupervisor,
    pub(crate) network: Network,
    pub(crate) workspaces: Vec<WorkspacePlan>,
}

impl Fleet {
    /// Returns a builder for a fleet, which has no VMs yet.
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
        let names = self
            .parts
            .vms
            .map_specs(|spec| (spec.zone == zone).then(|| spec.name.clone()));
        names.into_iter().flatten().collect()
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

    /// Returns the addresses on which the VMs accept requests of callers, ordered by VM name.
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

    /// Returns the directory of the settings, output and executions of the processes.
    ///
    /// When a test fails, the directory is kept, and the records of the log are saved in it.
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

    /// Suspends both processes of a VM with `SIGSTOP`, as when a VM is paused.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or a process has exited.
    pub fn freeze(&self, vm: &str) -> Result<(), FleetError> {
        self.parts.vms.with_vm(vm, Vm::freeze)
    }

    /// Resumes both processes of a frozen VM with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or a process has exited.
    pub fn thaw(&self, vm: &str) -> Result<(), FleetError> {
        self.parts.vms.with_vm(vm, Vm::thaw)
    }

    /// Requests a graceful shutdown of the daemon of a VM with `SIGTERM`.
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
    /// Returns an error when there is no such VM, or the daemon does not exit within `timeout`.
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

    /// Kills both processes of a VM and starts new ones.
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

    /// Kills the upstream of a VM and starts a new incarnation, which is cold.
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
    /// Returns an error when there is no such VM, or its upstream does not respond.
    pub fn set_upstream_faults(&self, vm: &str, faults: &UpstreamFaults) -> Result<(), FleetError> {
        self.client.set_faults(&self.addresses(vm)?, faults)
    }

    /// Returns the counters of the upstream of a VM since it started.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or its upstream does not respond.
    pub fn upstream_counters(&self, vm: &str) -> Result<UpstreamCounters, FleetError> {
        self.client.counters(&self.addresses(vm)?)
    }

    /// Returns the status that the daemon of a VM reports to operators.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such VM, or its daemon does not respond.
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

    /// Returns the executions of the upstreams, the observations of the callers, and the rate limits of all workspaces,
    /// for the checker.
    ///
    /// # Errors
    ///
    /// Returns an error when a file of executions cannot be read.
    pub fn trace(&self, report: &LoadReport) -> Result<Trace, FleetError> {
        Ok(Trace {
            executions: self.executions()?,
            facts: build_trace_facts(&self.parts.workspaces),
            observations: report.observations.clone(),
        })
    }

    /// Returns the network between the VMs.
    ///
    /// It affects traffic only in fleets built with [`FleetBuilder::with_network_faults`].
    pub fn network(&self) -> &Network {
        &self.parts.network
    }

    /// Waits until every running VM reports all running VMs as members, and an owner for every unit.
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

    /// Waits until the fleet is ready and has appended no record for 3 s, so that, for example, no witness is being
    /// replaced.
    ///
    /// # Errors
    ///
    /// Returns an error when that does not happen within `timeout`.
    pub fn wait_until_settled(&self, timeout: Duration) -> Result<(), FleetError> {
        self.wait_until_ready(timeout)?;
        let mut last_offsets = None;
        let mut unchanged_since = Instant::now();
        self.wait_until("the fleet did not settle", timeout, || {
            let next_offsets: Vec<_> = self
                .parts
                .vms
                .running_vms()
                .iter()
                .map(|vm| self.next_offset(vm))
                .collect();
            if last_offsets.as_ref() != Some(&next_offsets) {
                last_offsets = Some(next_offsets);
                unchanged_since = Instant::now();
            }
            unchanged_since.elapsed() >= SETTLED_INTERVAL
        })
    }

    /// Returns the offset of the record that a VM reads next, or `None` when it does not respond.
    fn next_offset(&self, vm: &str) -> Option<Offset> {
        self.status(vm).ok()?["next"].as_u64()
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Returns an error that begins with `failure` when the condition does not hold within `timeout`.
    pub fn wait_until(
        &self,
        failure: &str,
        timeout: Duration,
        mut condition: impl FnMut() -> bool,
    ) -> Result<(), FleetError> {
        let deadline = Instant::now() + timeout;
        while !condition() {
            if Instant::now() >= deadline {
                return Err(FleetError::TimedOut {
                    failure: failure.to_owned(),
                    seconds: timeout.as_secs(),
                    output: self.parts.directory.path().to_owned(),
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Writes the records of the log to the directory, which is kept when a test fails.
    fn save_log_records(&self) {
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
            self.save_log_records();
        }
        self.parts.vms.kill_all();
    }
}
