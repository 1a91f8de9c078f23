//! Listening sockets of the process.

use std::net::SocketAddr;

use anyhow::Context;
use anyhow::Result;
use tokio::net::TcpListener;

use crate::Settings;

/// Sockets that the process listens on.
pub(crate) struct Listeners {
    pub(crate) announce: TcpListener,
    pub(crate) caller: TcpListener,
    pub(crate) datagrams: std::net::UdpSocket,
    pub(crate) metrics: Option<TcpListener>,
    pub(crate) operator: TcpListener,
    pub(crate) peer: TcpListener,
}

impl Listeners {
    pub(crate) fn bind(settings: &Settings) -> Result<Self> {
        let addresses = &settings.addresses;
        let datagrams = std::net::UdpSocket::bind(addresses.peer)
            .with_context(|| listen_failure("addresses.peer", addresses.peer))?;
        datagrams.set_nonblocking(true)?;
        Ok(Self {
            announce: listen("addresses.announce", addresses.announce)?,
            caller: listen("addresses.caller", addresses.caller)?,
            datagrams,
            metrics: addresses
                .metrics
                .map(|address| listen("addresses.metrics", address))
                .transpose()?,
            operator: listen("addresses.operator", addresses.operator)?,
            peer: listen("addresses.peer", addresses.peer)?,
        })
    }
}

fn listen(field: &str, address: SocketAddr) -> Result<TcpListener> {
    httpd::listen(address).with_context(|| listen_failure(field, address))
}

fn listen_failure(field: &str, address: SocketAddr) -> String {
    format!(
        "settings field `{field}`: cannot listen on `{address}`: choose an address of this VM with a free port"
    )
}
