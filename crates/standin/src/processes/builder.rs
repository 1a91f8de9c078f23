//! The description of a fleet.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use cluster::Body;
use cluster::Document;
use config::KeyHash;
use ids::RegionId;
use ids::ServiceId;
use ids::VmId;
use ids::ZoneId;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::Fleet;
use crate::FleetError;
use crate::LogClient;
use crate::LogOptions;
use crate::Network;
use crate::Process;
use crate::ServiceKind;
use crate::UpstreamOptions;
use crate::VmAddresses;
use crate::WorkspacePlan;
use crate::network::PeerAddress;
use crate::processes::Binaries;
use crate::processes::Directory;
use crate::processes::FleetAddresses;
use crate::processes::FleetParts;
use crate::processes::MachineSpec;
use crate::processes::Machines;
use crate::processes::plans;
use crate::processes::workspaces;

/// Time that the log stand-in has to start.
const LOG_START_TIMEOUT: Duration = Duration::from_secs(20);

/// Describes a fleet, and starts it.
///
/// Every zone gets the stated number of VMs for each service, named `SERVICE-ZONE-NUMBER`.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    cuttable: bool,
    limits: Map<String, Value>,
    log: LogOptions,
    log_level: String,
    policy: Map<String, Value>,
    region: RegionId,
    services: BTreeMap<ServiceId, ServiceKind>,
    unpublished: bool,
    upstreams: UpstreamOptions,
    vms: BTreeMap<(ZoneId, ServiceId), u32>,
    workspaces: Vec<WorkspacePlan>,
    zones: BTreeMap<ZoneId, u32>,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            cuttable: false,
            limits: Map::new(),
            log: LogOptions::default(),
            log_level: "info".to_owned(),
            policy: Map::new(),
            region: "region-1".to_owned(),
            services: BTreeMap::new(),
            unpublished: false,
            upstreams: UpstreamOptions::default(),
            vms: BTreeMap::new(),
            workspaces: Vec::new(),
            zones: BTreeMap::new(),
        }
    }
}

impl FleetBuilder {
    /// Puts a network between the VMs, and between each VM and the log, that can be cut.
    pub fn cuttable(mut self) -> Self {
        self.cuttable = true;
        self
    }

    /// Sets how the log stand-in runs. Its address is chosen by the fleet.
    pub fn log(mut self, options: LogOptions) -> Self {
        self.log = options;
        self
    }

    /// Sets the level of the daemons' logs.
    pub fn log_level(mut self, level: &str) -> Self {
        level.clone_into(&mut self.log_level);
        self
    }

    /// Sets a limit in the daemons' settings.
    pub fn limit(mut self, name: &str, value: u64) -> Self {
        self.limits.insert(name.to_owned(), value.into());
        self
    }

    /// Sets a decision in the daemons' settings, such as `chooser`.
    pub fn policy(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.policy.insert(name.to_owned(), value.into());
        self
    }

    /// Adds an availability zone with a number of VMs for each service.
    pub fn zone(mut self, name: &str, vms_per_service: u32) -> Self {
        self.zones.insert(name.to_owned(), vms_per_service);
        self
    }

    /// Adds a service. `GET` is idempotent, `POST` is not, and `GET /open` needs no tenant key.
    pub fn service(mut self, name: &str, kind: ServiceKind) -> Self {
        self.services.insert(name.to_owned(), kind);
        self
    }

    /// Leaves the publication of the configuration to others.
    pub fn unpublished(mut self) -> Self {
        self.unpublished = true;
        self
    }

    /// Sets how upstreams run. Addresses, names and seeds are chosen by the fleet.
    pub fn upstreams(mut self, options: UpstreamOptions) -> Self {
        self.upstreams = options;
        self
    }

    /// Sets the number of VMs for one service in one availability zone, in place of the number of the zone.
    pub fn vms_of(mut self, zone: &str, service: &str, vms: u32) -> Self {
        self.vms.insert((zone.to_owned(), service.to_owned()), vms);
        self
    }

    /// Adds a workspace that may use every service.
    pub fn workspace(mut self, plan: WorkspacePlan) -> Self {
        self.workspaces.push(plan);
        self
    }

    /// Starts all processes and publishes the configuration.
    ///
    /// # Errors
    ///
    /// Returns why a process cannot start, or the log refuses the configuration.
    pub fn start(self) -> Result<Fleet, FleetError> {
        let binaries = Binaries::find()?;
        let directory =
            Directory::create().map_err(|error| FleetError::System("make a directory", error))?;
        let mut addresses = FleetAddresses::new();
        let started = |error| FleetError::System("start a process", error);
        let address = addresses.take().map_err(started)?;
        let log = LogClient::new(address);
        let mut specs = self.specs(&binaries, directory.path(), &mut addresses, &log)?;
        let peers = self.peers(&specs, &mut addresses).map_err(started)?;
        for spec in &mut specs {
            if let Some(peer) = peers.get(&spec.vm) {
                spec.settings["log"] = json!({ "addresses": [format!("http://{}", peer.log)] });
            }
        }
        let network = Network::start(&peers, address).map_err(started)?;
        let rewrites = peers.values().map(|peer| (peer.actual, peer.advertised));
        let args = self.log.args(address, rewrites);
        let output = directory.path().join("log.out");
        let log_process = Process::start(&binaries.log, &args, &output).map_err(started)?;
        log.wait_until_ready(LOG_START_TIMEOUT)
            .map_err(FleetError::Log)?;
        if !self.unpublished {
            self.publish(&log)?;
        }
        let machines = Machines::start(specs).map_err(started)?;
        Ok(Fleet::new(FleetParts {
            directory,
            log,
            log_process,
            machines,
            network,
            workspaces: self.workspaces,
        }))
    }

    /// Returns how the VMs reach each other over a network that can be cut, or none.
    fn peers(
        &self,
        specs: &[MachineSpec],
        addresses: &mut FleetAddresses,
    ) -> io::Result<BTreeMap<VmId, PeerAddress>> {
        let mut peers = BTreeMap::new();
        for spec in specs.iter().filter(|_| self.cuttable) {
            let peer = PeerAddress {
                actual: spec.addresses.peer,
                advertised: addresses.take()?,
                log: addresses.take()?,
            };
            peers.insert(spec.vm.clone(), peer);
        }
        Ok(peers)
    }

    fn publish(&self, log: &LogClient) -> Result<(), FleetError> {
        let documents = [
            Document::Plans(plans(&self.services, &self.workspaces)),
            Document::Workspaces(workspaces(&self.workspaces)),
        ];
        for document in documents {
            let body = Body::Publish { base: 0, document };
            log.append(body).map_err(FleetError::Log)?;
        }
        for workspace in &self.workspaces {
            let body = Body::IssueKey {
                workspace: workspace.name.clone(),
                hash: KeyHash::of(&workspace.tenant_key),
            };
            log.append(body).map_err(FleetError::Log)?;
        }
        Ok(())
    }

    /// Returns the zone, the service and the number of every VM.
    fn vms(&self) -> impl Iterator<Item = (&ZoneId, &ServiceId, u32)> {
        self.zones.iter().flat_map(move |(zone, count)| {
            self.services.keys().flat_map(move |service| {
                let own = self.vms.get(&(zone.clone(), service.clone()));
                (1..=*own.unwrap_or(count)).map(move |number| (zone, service, number))
            })
        })
    }

    fn specs(
        &self,
        binaries: &Binaries,
        directory: &Path,
        addresses: &mut FleetAddresses,
        log: &LogClient,
    ) -> Result<Vec<MachineSpec>, FleetError> {
        let secret = directory.join("peer-secret");
        fs::write(&secret, Uuid::new_v4().to_string())
            .map_err(|error| FleetError::System("write the peer secret", error))?;
        let mut specs = Vec::new();
        for (zone, service, number) in self.vms() {
            let vm = format!("{service}-{zone}-{number}");
            let own = addresses
                .take_vm()
                .map_err(|error| FleetError::System("find free ports", error))?;
            specs.push(MachineSpec {
                settings: self.settings(&vm, zone, &own, &secret, log),
                addresses: own,
                binaries: binaries.clone(),
                directory: directory.to_owned(),
                upstream: UpstreamOptions {
                    seed: self.upstreams.seed + specs.len() as u64,
                    service: service.clone(),
                    ..self.upstreams.clone()
                },
                vm,
                zone: zone.clone(),
            });
        }
        Ok(specs)
    }

    fn settings(
        &self,
        vm: &str,
        zone: &str,
        addresses: &VmAddresses,
        secret: &Path,
        log: &LogClient,
    ) -> Value {
        json!({
            "addresses": {
                "announce": addresses.announce,
                "caller": addresses.caller,
                "operator": addresses.operator,
                "peer": addresses.peer,
            },
            "limits": self.limits,
            "log": { "addresses": [log.url()] },
            "log_level": self.log_level,
            "peer_secret_file": secret,
            "policy": self.policy,
            "region": self.region,
            "vm": vm,
            "zone": zone,
        })
    }
}
