//! Allocation of loopback addresses for the processes of fleets.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// Start of the range of ports, which lies below the ephemeral ports that the system uses for outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// End of the range of ports, exclusive.
const PORT_LIMIT: u16 = 32_000;

/// Number of fleets that this process has started.
static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);

/// Addresses of the processes of one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmAddresses {
    /// Address on which the daemon accepts announcements of the upstream.
    pub announce: SocketAddr,
    /// Address on which the daemon accepts requests of callers.
    pub caller: SocketAddr,
    /// Address on which the daemon accepts requests of operators.
    pub operator: SocketAddr,
    /// Address on which the daemon accepts traffic of its peers.
    pub peer: SocketAddr,
    /// Address on which the upstream accepts requests.
    pub upstream: SocketAddr,
    /// Address on which the upstream accepts fault injection and reports its counters.
    pub upstream_control: SocketAddr,
}

/// Allocates addresses on a loopback IP address of its own, so that the fleets of this process and of other processes
/// on the host do not collide.
#[derive(Debug)]
pub(crate) struct AddressAllocator {
    ip: IpAddr,
    next_port: u16,
}

impl AddressAllocator {
    pub(crate) fn new() -> Self {
        let fleet = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = process::id().to_be_bytes();
        Self {
            // The second octet starts at 1, because 127.0.x.y is left to other uses of loopback.
            ip: IpAddr::from(Ipv4Addr::new(127, (fleet % 255) + 1, high, low)),
            next_port: FIRST_PORT,
        }
    }

    /// Returns the next address whose port is free for both TCP and UDP.
    pub(crate) fn allocate(&mut self) -> io::Result<SocketAddr> {
        while self.next_port < PORT_LIMIT {
            let address = SocketAddr::new(self.ip, self.next_port);
            self.next_port += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns addresses for the processes of one VM.
    pub(crate) fn allocate_vm(&mut self) -> io::Result<VmAddresses> {
        Ok(VmAddresses {
            announce: self.allocate()?,
            caller: self.allocate()?,
            operator: self.allocate()?,
            peer: self.allocate()?,
            upstream: self.allocate()?,
            upstream_control: self.allocate()?,
        })
    }
}
