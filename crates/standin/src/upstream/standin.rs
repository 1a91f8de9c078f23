//! Running upstream stand-in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::watch;
use uuid::Uuid;

use crate::Execution;
use crate::UpstreamCounters;
use crate::UpstreamFaults;
use crate::UpstreamOptions;
use crate::lock::lock;
use crate::server_runtime::ServerRuntime;
use crate::upstream::Announcement;
use crate::upstream::Announcer;
use crate::upstream::Clock;
use crate::upstream::ControlService;
use crate::upstream::Grants;
use crate::upstream::LoadHistory;
use crate::upstream::Recorder;
use crate::upstream::State;
use crate::upstream::UpstreamService;
use crate::upstream::WarmUp;

/// Upstream that runs in this process until it is dropped.
pub struct UpstreamStandin {
    address: SocketAddr,
    control: SocketAddr,
    service: Arc<UpstreamService>,
    _announcer: Option<Announcer>,
    _servers: ServerRuntime,
}

impl UpstreamStandin {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when an address is in use, the file of executions cannot be opened, or a thread cannot be
    /// started.
    pub fn start(options: &UpstreamOptions) -> io::Result<Self> {
        let servers = ServerRuntime::new()?;
        let service = Arc::new(new_service(options)?);
        let control_service = Arc::new(ControlService::new(Arc::clone(&service)));
        let address = servers.serve(options.listen, Arc::clone(&service))?;
        let control = servers.serve(options.control, control_service)?;
        let announcement = new_announcement(options, address, &service.instance);
        let announcer = options
            .home
            .map(|home| Announcer::start(home, announcement, Arc::clone(&service)));
        Ok(Self {
            address,
            control,
            service,
            _announcer: announcer,
            _servers: servers,
        })
    }

    /// Returns the address that the upstream listens on for requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that serves faults, executions and counters.
    pub fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// Returns the current counters.
    pub fn counters(&self) -> UpstreamCounters {
        lock(&self.service.state).counters.clone()
    }

    /// Returns all executions so far.
    ///
    /// # Errors
    ///
    /// Returns an error when the file of executions cannot be read.
    pub fn executions(&self) -> io::Result<Vec<Execution>> {
        lock(&self.service.state).recorder.executions()
    }

    /// Returns the incarnation of the upstream.
    pub fn instance(&self) -> &str {
        &self.service.instance
    }

    /// Returns the number of open connections, without those silenced by a fault.
    pub fn open_connections(&self) -> usize {
        lock(&self.service.state).open_connections.len()
    }

    /// Replaces the faults that the upstream injects.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.service.set_faults(faults);
    }
}

fn new_service(options: &UpstreamOptions) -> io::Result<UpstreamService> {
    let clock = Clock::new(options.seed);
    let warm_up = WarmUp {
        slots: options.slots,
        started_ms: clock.now_ms(),
        warm_ms: options.warm_ms,
    };
    let state = State {
        checks_orders: options.checks_orders,
        counters: UpstreamCounters::default(),
        draining: false,
        faults: UpstreamFaults::default(),
        grants: Grants::default(),
        last_response: None,
        load_history: LoadHistory::default(),
        open_connections: BTreeSet::new(),
        recorder: Recorder::new(options.records.as_deref())?,
        running: BTreeMap::new(),
        silent_connections: BTreeSet::new(),
        warm_up,
    };
    Ok(UpstreamService {
        clock,
        grants_changed: watch::Sender::new(()),
        instance: Uuid::new_v4().to_string(),
        options: options.clone(),
        state: Mutex::new(state),
    })
}

fn new_announcement(
    options: &UpstreamOptions,
    address: SocketAddr,
    instance: &str,
) -> Announcement {
    Announcement {
        address,
        checks_orders: options.checks_orders,
        connections: options.connections,
        instance: instance.to_owned(),
        service: options.service.clone(),
        slots: options.slots,
    }
}
