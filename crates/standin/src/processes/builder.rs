//! Configuration and start of a fleet.

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
use crate::network::ProxyAddresses;
use crate::processes::AddressAllocator;
use crate::processes::Binaries;
use crate::processes::FleetParts;
use crate::processes::TempDirectory;
use crate::processes::VmSpec;
use crate::processes::VmSupervisor;
use crate::processes::build_plans;
use crate::processes::build_workspaces;

/// Maximum time for the log stand-in to start.
const LOG_START_TIMEOUT: Duration = Duration::from_secs(20);

/// Configures and starts a fleet.
///
/// Every availability zone has a number of VMs for each service, named `SERVICE-ZONE-NUMBER`.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    has_network_faults: bool,
    limits: Map<String, Value>,
    log: LogOptions,
    log_level: String,
    policy: Map<String, Value>,
    region: RegionId,
    services: BTreeMap<ServiceId, ServiceKind>,
    omits_configuration: bool,
    upstreams: UpstreamOptions,
    vm_count_overrides: BTreeMap<(ZoneId, ServiceId), u32>,
    workspaces: Vec<WorkspacePlan>,
    zones: BTreeMap<ZoneId, u32>,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            has_network_faults: false,
            limits: Map::new(),
            log: LogOptions::default(),
            log_level: "info".to_owned(),
            policy: Map::new(),
            region: "region-1".to_owned(),
            services: BTreeMap::new(),
            omits_configuration: false,
            upstreams: UpstreamOptions::default(),
            vm_count_overrides: BTreeMap::new(),
            workspaces: Vec::new(),
            zones: BTreeMap::new(),
        }
    }
}

impl FleetBuilder {
    /// Places proxies in front of each VM, and between each VM and the log, through which [`Fleet::network`] injects
    /// faults.
    pub fn with_network_faults(mut self) -> Self {
        self.has_network_faults = true;
        self
    }

    /// Sets the options of the log stand-in. The fleet chooses its address.
    pub fn log(mut self, options: LogOptions) -> Self {
        self.log = options;
        self
    }

    /// Sets the log level of the daemons.
    pub fn log_level(mut self, level: &str) -> Self {
        level.clone_into(&mut self.log_level);
        self
    }

    /// Sets an entry of `limits` in the daemons' settings.
    pub fn limit(mut self, name: &str, value: u64) -> Self {
        self.limits.insert(name.to_owned(), value.into());
        self
    }

    /// Sets an entry of `policy` in the daemons' settings, such as `chooser`.
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

    /// Starts the fleet without publishing plans, workspaces and tenant keys, which is left to the caller.
    pub fn without_configuration(mut self) -> Self {
        self.omits_configuration = true;
        self
    }

    /// Sets the options of the upstreams. The fleet chooses their addresses and names, and derives the seed of each from
    /// the given one.
    pub fn upstreams(mut self, options: UpstreamOptions) -> Self {
        self.upstreams = options;
        self
    }

    /// Sets the number of VMs for one service in one availability zone, which overrides the number given to
    /// [`zone`](Self::zone).
    pub fn vm_count(mut self, zone: &str, service: &str, vms: u32) -> Self {
        self.vm_count_overrides
            .insert((zone.to_owned(), service.to_owned()), vms);
        self
    }

    /// Adds a workspace whose plan includes every service.
    pub fn workspace(mut self, plan: WorkspacePlan) -> Self {
        self.workspaces.push(plan);
        self
    }

    /// Starts all processes and publishes the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when a process cannot start, or the log refuses the configuration.
    pub fn start(self) -> Result<Fleet, FleetError> {
        let binaries = Binaries::find()?;
        let directory = TempDirectory::create()
            .map_err(|error| FleetError::System("create a temporary directory", error))?;
        let mut addresses = AddressAllocator::new();
        let start_error = |error| FleetError::System("start a process", error);
        let log_address = addresses.allocate().map_err(start_error)?;
        let log = LogClient::new(log_address);
        let mut specs = self.vm_specs(&binaries, directory.path(), &mut addresses, &log)?;
        let proxies = self
            .allocate_proxies(&specs, &mut addresses)
            .map_err(start_error)?;
        for spec in &mut specs {
            if let Some(proxy) = proxies.get(&spec.name) {
                spec.settings["log"] =
                    json!({ "addresses": [format!("http://{}", proxy.log_proxy)] });
            }
        }
        let network = Network::start(&proxies, log_address).map_err(start_error)?;
        let rewrites = proxies
            .values()
            .map(|proxy| (proxy.peer_target, proxy.peer_proxy));
        let args = self.log.args(log_address, rewrites);
        let output = directory.path().join("log.out");
        let log_process = Process::start(&binaries.log, &args, &output).map_err(start_error)?;
        log.wait_until_ready(LOG_START_TIMEOUT)
            .map_err(FleetError::Log)?;
        if !self.omits_configuration {
            self.publish(&log)?;
        }
        let vms = VmSupervisor::start(specs).map_err(start_error)?;
        Ok(Fleet::new(FleetParts {
            directory,
            log,
            log_process,
            vms,
            network,
            workspaces: self.workspaces,
        }))
    }

    /// Returns addresses for the proxies of every VM, or an empty map without network faults.
    fn allocate_proxies(
        &self,
        specs: &[VmSpec],
        addresses: &mut AddressAllocator,
    ) -> io::Result<BTreeMap<VmId, ProxyAddresses>> {
        let mut proxies = BTreeMap::new();
        for spec in specs.iter().filter(|_| self.has_network_faults) {
            let proxy = ProxyAddresses {
                peer_target: spec.addresses.peer,
                peer_proxy: addresses.allocate()?,
                log_proxy: addresses.allocate()?,
            };
            proxies.insert(spec.name.clone(), proxy);
        }
        Ok(proxies)
    }

    /// Appends plans, workspaces and tenant keys to the log.
    fn publish(&self, log: &LogClient) -> Result<(), FleetError> {
        let documents = [
            Document::Plans(build_plans(&self.services, &self.workspaces)),
            Document::Workspaces(build_workspaces(&self.workspaces)),
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

    /// Returns the zone, the service and the number of each VM.
    fn vms(&self) -> impl Iterator<Item = (&ZoneId, &ServiceId, u32)> {
        self.zones.iter().flat_map(move |(zone, count)| {
            self.services.keys().flat_map(move |service| {
                let override_count = self
                    .vm_count_overrides
                    .get(&(zone.clone(), service.clone()));
                (1..=*override_count.unwrap_or(count)).map(move |number| (zone, service, number))
            })
        })
    }

    fn vm_specs(
        &self,
        binaries: &Binaries,
        directory: &Path,
        addresses: &mut AddressAllocator,
        log: &LogClient,
    ) -> Result<Vec<VmSpec>, FleetError> {
        let secret_file = directory.join("peer-secret");
        fs::write(&secret_file, Uuid::new_v4().to_string())
            .map_err(|error| FleetError::System("write the peer secret", error))?;
        let mut specs = Vec::new();
        for (zone, service, number) in self.vms() {
            let vm = format!("{service}-{zone}-{number}");
            let vm_addresses = addresses
                .allocate_vm()
                .map_err(|error| FleetError::System("find free ports", error))?;
            specs.push(VmSpec {
                settings: self.settings(&vm, zone, &vm_addresses, &secret_file, log),
                addresses: vm_addresses,
                binaries: binaries.clone(),
                directory: directory.to_owned(),
                upstream: UpstreamOptions {
                    seed: self.upstreams.seed + specs.len() as u64,
                    service: service.clone(),
                    ..self.upstreams.clone()
                },
                name: vm,
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
        secret_file: &Path,
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
            "peer_secret_file": secret_file,
            "policy": self.policy,
            "region": self.region,
            "vm": vm,
            "zone": zone,
        })
    }
}
