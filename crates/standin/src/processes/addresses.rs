//! Loopback addresses of the processes.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// Ports below those that the system hands out for outgoing connections.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;

/// Fleets that this process has started.
static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);

/// Addresses of the processes of one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmAddresses {
    /// Address that the upstream announces itself to.
    pub announce: SocketAddr,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Address for faults and counters of the upstream.
    pub upstream_control: SocketAddr,
}

/// Hands out addresses on a loopback IP number that no other fleet on the vm uses.
#[derive(Debug)]
pub(crate) struct AddressAllocator {
    ip: IpAddr,
    next: u16,
}

impl AddressAllocator {
    pub(crate) fn new() -> Self {
        let fleet = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = process::id().to_be_bytes();
        Self {
            // 127.0.x.y belongs to other uses of loopback.
            ip: IpAddr::from(Ipv4Addr::new(127, (fleet % 255) + 1, high, low)),
            next: FIRST_PORT,
        }
    }

    /// Returns an address that is free for both TCP and UDP.
    pub(crate) fn allocate(&mut self) -> io::Result<SocketAddr> {
        while self.next < LAST_PORT {
            let address = SocketAddr::new(self.ip, self.next);
            self.next += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns the addresses of one VM.
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
