//! A running upstream stand-in.

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
use crate::upstream::Control;
use crate::upstream::Grants;
use crate::upstream::Load;
use crate::upstream::Recorder;
use crate::upstream::State;
use crate::upstream::UpstreamService;
use crate::upstream::Warmth;

/// An upstream that runs in this process until it is dropped.
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
    /// Returns the error of the system when an address is taken, the file of executions cannot be opened, or no
    /// thread can start.
    pub fn start(options: &UpstreamOptions) -> io::Result<Self> {
        let servers = ServerRuntime::new()?;
        let service = Arc::new(service(options)?);
        let control = Arc::new(Control::new(Arc::clone(&service)));
        let address = servers.serve(options.listen, Arc::clone(&service))?;
        let control = servers.serve(options.control, control)?;
        let announcement = announcement(options, address, &service.instance);
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

    /// Returns the address that requests go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that serves faults, executions and counters.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns what has been counted.
    pub fn counters(&self) -> UpstreamCounters {
        lock(&self.service.state).counters.clone()
    }

    /// Returns every execution so far.
    ///
    /// # Errors
    ///
    /// Returns an error when the file of executions cannot be read.
    pub fn executions(&self) -> io::Result<Vec<Execution>> {
        lock(&self.service.state).recorder.executions()
    }

    /// Returns the life of the upstream.
    pub fn instance(&self) -> &str {
        &self.service.instance
    }

    /// Returns the number of open connections that still answer.
    pub fn open_connections(&self) -> usize {
        lock(&self.service.state).open.len()
    }

    /// Replaces the faults that the upstream injects.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.service.set_faults(faults);
    }
}

fn service(options: &UpstreamOptions) -> io::Result<UpstreamService> {
    let clock = Clock::new(options.seed);
    let warmth = Warmth {
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
        last_answer: None,
        load: Load::default(),
        open: BTreeSet::new(),
        recorder: Recorder::new(options.records.as_deref())?,
        running: BTreeMap::new(),
        silent: BTreeSet::new(),
        warmth,
    };
    Ok(UpstreamService {
        clock,
        grants_changed: watch::Sender::new(()),
        instance: Uuid::new_v4().to_string(),
        options: options.clone(),
        state: Mutex::new(state),
    })
}

fn announcement(options: &UpstreamOptions, address: SocketAddr, instance: &str) -> Announcement {
    Announcement {
        address,
        checks_orders: options.checks_orders,
        connections: options.connections,
        instance: instance.to_owned(),
        service: options.service.clone(),
        slots: options.slots,
    }
}
