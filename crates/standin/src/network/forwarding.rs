//! Proxies between the processes of a fleet that can inject network faults.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use ids::VmId;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::watch;

use crate::network::ConnectionOrigin;
use crate::network::NetworkState;
use crate::network::forward_datagrams;
use crate::network::forward_streams;

const WORKER_THREADS: usize = 2;

/// Name of the log as an endpoint of the network.
const LOG_ENDPOINT: &str = "log";

/// Addresses of the proxies of one VM: through them peers reach the VM, and the VM reaches the log.
#[derive(Clone, Debug)]
pub(crate) struct ProxyAddresses {
    /// Address that the VM listens on for peers.
    pub(crate) peer_target: SocketAddr,
    /// Address of the proxy through which peers reach the VM.
    pub(crate) peer_proxy: SocketAddr,
    /// Address of the proxy through which the VM reaches the log.
    pub(crate) log_proxy: SocketAddr,
}

/// Proxies in front of every VM, and between each VM and the log, that can block traffic.
///
/// An endpoint is the name of a VM, or `log`. From a sender to a receiver that is blocked, datagrams are dropped, and
/// data on TCP connections is held back until the pair is unblocked.
#[derive(Debug)]
pub struct Network {
    runtime: Option<Runtime>,
    state: watch::Sender<NetworkState>,
    vms: Vec<VmId>,
}

impl Network {
    /// Starts the proxies of all VMs.
    pub(crate) fn start(
        peers: &BTreeMap<VmId, ProxyAddresses>,
        log: SocketAddr,
    ) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        let state = watch::Sender::new(NetworkState::default());
        for (vm, addresses) in peers {
            runtime.block_on(start_proxies(vm, addresses, peers, log, &state))?;
        }
        Ok(Self {
            runtime: Some(runtime),
            state,
            vms: peers.keys().cloned().collect(),
        })
    }

    /// Blocks traffic from one endpoint to another, in this direction only.
    pub fn block(&self, from: &str, to: &str) {
        self.state.send_modify(|state| {
            state.blocked_pairs.insert((from.to_owned(), to.to_owned()));
        });
    }

    /// Blocks traffic between two endpoints in both directions.
    pub fn block_both_ways(&self, a: &str, b: &str) {
        self.block(a, b);
        self.block(b, a);
    }

    /// Blocks all traffic between a VM and the others, and between it and the log, in both directions.
    pub fn isolate(&self, vm: &str) {
        let others = self.vms.iter().map(String::as_str);
        for other in others.filter(|other| *other != vm).chain([LOG_ENDPOINT]) {
            self.block_both_ways(vm, other);
        }
    }

    /// Unblocks all traffic.
    pub fn heal(&self) {
        self.state.send_modify(|state| state.blocked_pairs.clear());
    }

    /// Stops forwarding on every open TCP connection permanently, without closing it. New connections are not affected.
    pub fn stall_open_connections(&self) {
        self.state.send_modify(|state| state.epoch += 1);
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Starts the proxies of one VM: for datagrams and connections from its peers, and for its connections to the log.
async fn start_proxies(
    vm: &VmId,
    addresses: &ProxyAddresses,
    peers: &BTreeMap<VmId, ProxyAddresses>,
    log: SocketAddr,
    state: &watch::Sender<NetworkState>,
) -> io::Result<()> {
    let to = (vm.clone(), addresses.peer_target);
    let senders = peers.iter();
    let senders = senders.map(|(name, peer)| (peer.peer_target, name.clone()));
    let socket = UdpSocket::bind(addresses.peer_proxy).await?;
    let datagrams = forward_datagrams(socket, senders.collect(), to.clone(), state.subscribe());
    tokio::spawn(datagrams);
    let peer_origin = ConnectionOrigin::FirstFrame(peers.keys().cloned().collect());
    let peer_connections = TcpListener::bind(addresses.peer_proxy).await?;
    tokio::spawn(forward_streams(
        peer_connections,
        peer_origin,
        to,
        state.subscribe(),
    ));
    let to_log = (LOG_ENDPOINT.to_owned(), log);
    let log_connections = TcpListener::bind(addresses.log_proxy).await?;
    let log_origin = ConnectionOrigin::Fixed(vm.clone());
    tokio::spawn(forward_streams(
        log_connections,
        log_origin,
        to_log,
        state.subscribe(),
    ));
    Ok(())
}
