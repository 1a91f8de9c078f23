//! Connector whose connections detect a silent peer.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use ureq::Error;
use ureq::Timeout;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;

use crate::WaitingCalls;
use crate::connection::Connection;
use crate::keep_alive_transport::KeepAliveTransport;

/// Time without traffic after which the peer is probed, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection fails.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Opens TCP connections that fail within 3 s when the peer's machine no longer answers.
///
/// A read of the log waits for records for many seconds. Without probes it would wait as long on a connection that
/// something between the two ends has lost track of. ureq's own connector does not give access to its socket.
#[derive(Debug)]
pub(crate) struct KeepAliveConnector {
    calls: Arc<WaitingCalls>,
}

impl KeepAliveConnector {
    /// Creates a connector that adds each of its connections to `calls`.
    pub(crate) fn new(calls: Arc<WaitingCalls>) -> Self {
        Self { calls }
    }
}

impl Connector for KeepAliveConnector {
    type Out = KeepAliveTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<KeepAliveTransport>, Error> {
        let timeout = details.timeout.not_zero().map(|timeout| *timeout);
        let mut result = Err(Error::HostNotFound);
        for address in &details.addrs {
            result = open(*address, timeout);
            if result.is_ok() {
                break;
            }
        }
        let connection = Arc::new(Connection {
            has_response: AtomicBool::new(false),
            stream: result?,
        });
        self.calls.add(&connection);
        Ok(Some(KeepAliveTransport::new(connection, details.config)))
    }
}

fn open(address: SocketAddr, timeout: Option<Duration>) -> Result<TcpStream, Error> {
    let stream = match timeout {
        Some(timeout) => TcpStream::connect_timeout(&address, timeout),
        None => TcpStream::connect(address),
    };
    let stream = stream.map_err(|error| match error.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => Error::Timeout(Timeout::Connect),
        _ => Error::Io(error),
    })?;
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}
