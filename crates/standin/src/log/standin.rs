//! Running log stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ids::Offset;

use crate::LogFaults;
use crate::LogOptions;
use crate::log::LogService;
use crate::server_runtime::ServerRuntime;

/// Log service that runs in this process until it is dropped.
pub struct LogStandin {
    address: SocketAddr,
    service: Arc<LogService>,
    _servers: ServerRuntime,
}

impl LogStandin {
    /// Starts a log service.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when the address is in use or a thread cannot be started.
    pub fn start(options: &LogOptions) -> io::Result<Self> {
        let servers = ServerRuntime::new()?;
        let service = Arc::new(LogService::new(options));
        let address = servers.serve(options.listen, Arc::clone(&service))?;
        Ok(Self {
            address,
            service,
            _servers: servers,
        })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Appends a record, ignoring faults and limits, and returns its offset.
    pub fn append(&self, body: &str) -> Offset {
        self.service.append(body)
    }

    /// Replaces the faults that the service injects.
    pub fn set_faults(&self, faults: LogFaults) {
        self.service.set_faults(faults);
    }
}
