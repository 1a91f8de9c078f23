//! Address of the client of a request.

use std::net::IpAddr;
use std::net::SocketAddr;

/// Address of the client of a request, which is an extension of each request that a handler gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RemoteAddress(pub SocketAddr);

impl RemoteAddress {
    /// Returns the IP address of the client, as one of version 4 if it is mapped to version 6.
    pub fn ip(&self) -> IpAddr {
        self.0.ip().to_canonical()
    }
}
