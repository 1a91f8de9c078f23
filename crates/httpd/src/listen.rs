//! Opening of TCP listeners.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Number of completed connections that the kernel queues until they are accepted. When a VM stops, its callers all
/// reconnect to the others at the same time, and a connection beyond this number waits for a second or more.
const BACKLOG: u32 = 1024;

/// Listens on `addr`.
///
/// # Errors
///
/// Returns the operating system's error when the address is in use or does not belong to this VM.
///
/// # Panics
///
/// Panics outside a Tokio runtime with I/O.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
