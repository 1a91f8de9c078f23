//! UDP proxy that drops datagrams between blocked endpoints.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ids::VmId;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::network::NetworkState;

const DATAGRAM_LIMIT_BYTES: usize = 64 * 1024;

/// Forwards datagrams from the VMs in `senders` to one VM, and its responses back, until the runtime shuts down.
///
/// Datagrams from unknown source addresses are dropped.
pub(crate) async fn forward_datagrams(
    socket: UdpSocket,
    senders: BTreeMap<SocketAddr, VmId>,
    (to, address): (VmId, SocketAddr),
    state: watch::Receiver<NetworkState>,
) {
    let socket = Arc::new(socket);
    let mut forwarding_sockets = BTreeMap::new();
    let mut buf = vec![0; DATAGRAM_LIMIT_BYTES];
    loop {
        // An error reports that an earlier datagram was not delivered.
        let Ok((count, source)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(from) = senders.get(&source) else {
            continue;
        };
        let forwarding = match forwarding_sockets.entry(source) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let endpoints = (from.clone(), to.clone());
                match open_forwarding_socket(
                    Arc::clone(&socket),
                    source,
                    address,
                    endpoints,
                    &state,
                )
                .await
                {
                    Ok(forwarding) => entry.insert(forwarding),
                    Err(_) => continue,
                }
            }
        };
        if !state.borrow().is_blocked(from, &to) {
            // A datagram that cannot be sent counts as lost.
            let _ = forwarding.send(&buf[..count]).await;
        }
    }
}

/// Opens a socket that sends to `address`, and forwards the responses it receives to `source`.
async fn open_forwarding_socket(
    socket: Arc<UdpSocket>,
    source: SocketAddr,
    address: SocketAddr,
    (from, to): (VmId, VmId),
    state: &watch::Receiver<NetworkState>,
) -> io::Result<Arc<UdpSocket>> {
    let forwarding = UdpSocket::bind(SocketAddr::new(address.ip(), 0)).await?;
    forwarding.connect(address).await?;
    let forwarding = Arc::new(forwarding);
    let (reader, state) = (Arc::clone(&forwarding), state.clone());
    tokio::spawn(async move {
        let mut buf = vec![0; DATAGRAM_LIMIT_BYTES];
        loop {
            let Ok(count) = reader.recv(&mut buf).await else {
                continue;
            };
            if !state.borrow().is_blocked(&to, &from) {
                // A datagram that cannot be sent counts as lost.
                let _ = socket.send_to(&buf[..count], source).await;
            }
        }
    });
    Ok(forwarding)
}
