//! A VM of a fleet.

use std::fs;
use std::io;
use std::path::PathBuf;

use ids::VmId;
use ids::ZoneId;
use serde_json::Value;

use crate::Process;
use crate::UpstreamOptions;
use crate::VmAddresses;
use crate::processes::Binaries;

/// Name, addresses and options with which the processes of one VM are started.
#[derive(Clone, Debug)]
pub(crate) struct VmSpec {
    pub(crate) addresses: VmAddresses,
    pub(crate) binaries: Binaries,
    pub(crate) directory: PathBuf,
    pub(crate) settings: Value,
    pub(crate) upstream: UpstreamOptions,
    pub(crate) name: VmId,
    pub(crate) zone: ZoneId,
}

/// One VM, which runs a daemon and an upstream.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) daemon: Process,
    pub(crate) spec: VmSpec,
    pub(crate) upstream: Process,
}

impl VmSpec {
    /// Returns the path of the file to which the upstream writes its executions.
    pub(crate) fn executions_file(&self) -> PathBuf {
        self.file("executions.jsonl")
    }

    fn file(&self, suffix: &str) -> PathBuf {
        self.directory.join(format!("{}.{suffix}", self.name))
    }

    pub(crate) fn start_daemon(&self) -> io::Result<Process> {
        let path = self.file("settings.json");
        fs::write(&path, self.settings.to_string())?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        Process::start(&self.binaries.daemon, &args, &self.file("daemon.out"))
    }

    pub(crate) fn start_upstream(&self) -> io::Result<Process> {
        let output = self.file("upstream.out");
        Process::start(&self.binaries.upstream, &self.upstream_args(), &output)
    }

    fn upstream_args(&self) -> Vec<String> {
        let options = &self.upstream;
        let values = [
            ("--checks-orders", options.checks_orders.to_string()),
            ("--connections", options.connections.to_string()),
            ("--control", self.addresses.upstream_control.to_string()),
            ("--home", self.addresses.announce.to_string()),
            ("--listen", self.addresses.upstream.to_string()),
            ("--records", self.executions_file().display().to_string()),
            ("--seed", options.seed.to_string()),
            ("--service", options.service.clone()),
            ("--slots", options.slots.to_string()),
            ("--vm", self.name.clone()),
            ("--warm-ms", options.warm_ms.to_string()),
            ("--work-ms", options.work_ms.to_string()),
            ("--zone", self.zone.clone()),
        ];
        let mut args = vec!["--until-input-ends".to_owned()];
        args.extend(
            values
                .into_iter()
                .flat_map(|(name, value)| [name.to_owned(), value]),
        );
        args
    }
}

impl Vm {
    pub(crate) fn start(spec: VmSpec) -> io::Result<Self> {
        Ok(Self {
            daemon: spec.start_daemon()?,
            upstream: spec.start_upstream()?,
            spec,
        })
    }

    pub(crate) fn kill(&mut self) -> io::Result<()> {
        self.daemon.kill()?;
        self.upstream.kill()
    }

    pub(crate) fn freeze(&mut self) -> io::Result<()> {
        self.daemon.freeze()?;
        self.upstream.freeze()
    }

    pub(crate) fn thaw(&mut self) -> io::Result<()> {
        self.upstream.thaw()?;
        self.daemon.thaw()
    }

    /// Kills both processes and starts new ones.
    pub(crate) fn restart(&mut self) -> io::Result<()> {
        self.daemon.kill()?;
        self.restart_upstream()?;
        self.daemon = self.spec.start_daemon()?;
        Ok(())
    }

    /// Kills the upstream and starts a new one.
    pub(crate) fn restart_upstream(&mut self) -> io::Result<()> {
        self.upstream.kill()?;
        self.upstream = self.spec.start_upstream()?;
        Ok(())
    }

    /// Restarts the upstream if a request has crashed it.
    pub(crate) fn restart_crashed_upstream(&mut self) -> io::Result<()> {
        let status = self.upstream.exit_status()?;
        if status.and_then(|status| status.code()) == Some(crate::POISON_EXIT_CODE) {
            self.upstream = self.spec.start_upstream()?;
        }
        Ok(())
    }
}
