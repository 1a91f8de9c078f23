//! Forwarding of UDP datagrams.

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

/// Forwards datagrams from the VMs at known addresses to one VM, and its answers back, until the runtime ends.
pub(crate) async fn forward_datagrams(
    socket: UdpSocket,
    senders: BTreeMap<SocketAddr, VmId>,
    (to, address): (VmId, SocketAddr),
    state: watch::Receiver<NetworkState>,
) {
    let socket = Arc::new(socket);
    let mut paths = BTreeMap::new();
    let mut buf = vec![0; DATAGRAM_LIMIT_BYTES];
    loop {
        // An error tells that an earlier datagram did not arrive.
        let Ok((count, source)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(from) = senders.get(&source) else {
            continue;
        };
        let path = match paths.entry(source) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let ends = (from.clone(), to.clone());
                match open_return_path(Arc::clone(&socket), source, address, ends, &state).await {
                    Ok(path) => entry.insert(path),
                    Err(_) => continue,
                }
            }
        };
        if !state.borrow().is_blocked(from, &to) {
            // What is not sent counts as lost.
            let _ = path.send(&buf[..count]).await;
        }
    }
}

/// Opens a socket that sends to `address`, and forwards what comes back to `source`.
async fn open_return_path(
    socket: Arc<UdpSocket>,
    source: SocketAddr,
    address: SocketAddr,
    (from, to): (VmId, VmId),
    state: &watch::Receiver<NetworkState>,
) -> io::Result<Arc<UdpSocket>> {
    let path = UdpSocket::bind(SocketAddr::new(address.ip(), 0)).await?;
    path.connect(address).await?;
    let path = Arc::new(path);
    let (reader, state) = (Arc::clone(&path), state.clone());
    tokio::spawn(async move {
        let mut buf = vec![0; DATAGRAM_LIMIT_BYTES];
        loop {
            let Ok(count) = reader.recv(&mut buf).await else {
                continue;
            };
            if !state.borrow().is_blocked(&to, &from) {
                // What is not sent counts as lost.
                let _ = socket.send_to(&buf[..count], source).await;
            }
        }
    });
    Ok(path)
}
