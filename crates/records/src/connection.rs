//! Connection of one call.

use std::net::TcpStream;
use std::sync::atomic::AtomicBool;

/// TCP connection of one call.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Whether any part of the response has arrived.
    pub(crate) has_response: AtomicBool,
    pub(crate) stream: TcpStream,
}
