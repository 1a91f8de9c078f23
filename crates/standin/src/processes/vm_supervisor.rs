//! The VMs of a fleet, and the restart of crashed upstreams.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use ids::VmId;

use crate::Execution;
use crate::FleetError;
use crate::lock::lock;
use crate::processes::Vm;
use crate::processes::VmSpec;
use crate::read_executions;

/// Interval between checks for crashed upstreams.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);

/// Holds the VMs of a fleet by name, and restarts upstreams that a request has crashed.
#[derive(Debug)]
pub(crate) struct VmSupervisor {
    vms: Arc<Mutex<BTreeMap<VmId, Vm>>>,
    _stop: Sender<()>,
}

impl VmSupervisor {
    pub(crate) fn start(specs: Vec<VmSpec>) -> io::Result<Self> {
        let mut vms = BTreeMap::new();
        for spec in specs {
            vms.insert(spec.name.clone(), Vm::start(spec)?);
        }
        let vms = Arc::new(Mutex::new(vms));
        Ok(Self {
            _stop: supervise(Arc::clone(&vms)),
            vms,
        })
    }

    /// Calls `act` with the VM that has this name.
    pub(crate) fn with_vm<T>(
        &self,
        vm: &str,
        act: impl FnOnce(&mut Vm) -> io::Result<T>,
    ) -> Result<T, FleetError> {
        let mut vms = lock(&self.vms);
        let vm = vms
            .get_mut(vm)
            .ok_or_else(|| FleetError::UnknownVm(vm.to_owned()))?;
        act(vm).map_err(|error| FleetError::System("control a process", error))
    }

    /// Returns the result of `map` for each VM, ordered by VM name.
    pub(crate) fn map_specs<T>(&self, map: impl FnMut(&VmSpec) -> T) -> Vec<T> {
        let vms = lock(&self.vms);
        vms.values().map(|vm| &vm.spec).map(map).collect()
    }

    /// Returns the names of the VMs whose daemons are running.
    pub(crate) fn running_vms(&self) -> Vec<VmId> {
        let mut vms = lock(&self.vms);
        let running = vms.values_mut().filter_map(|vm| {
            let status = vm.daemon.exit_status().ok()?;
            status.is_none().then(|| vm.spec.name.clone())
        });
        running.collect()
    }

    /// Returns all executions of all upstreams.
    pub(crate) fn executions(&self) -> io::Result<Vec<Execution>> {
        let mut executions = Vec::new();
        for path in self.map_specs(VmSpec::executions_file) {
            executions.extend(read_executions(&path)?);
        }
        Ok(executions)
    }

    /// Kills every process.
    pub(crate) fn kill_all(&self) {
        lock(&self.vms).clear();
    }
}

/// Starts a thread that restarts upstreams that a request has crashed, until the returned sender is dropped.
fn supervise(vms: Arc<Mutex<BTreeMap<VmId, Vm>>>) -> Sender<()> {
    let (stop, stopped) = mpsc::channel();
    thread::spawn(move || {
        while stopped.recv_timeout(SUPERVISION_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            for vm in lock(&vms).values_mut() {
                if let Err(error) = vm.restart_crashed_upstream() {
                    eprintln!("cannot restart the upstream of {}: {error}", vm.spec.name);
                }
            }
        }
    });
    stop
}
