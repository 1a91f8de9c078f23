//! The forwarders between the processes of a fleet.

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

/// Name of the log as an end of the network.
const LOG_ENDPOINT: &str = "log";

/// How peers reach a VM, and how it reaches the log.
#[derive(Clone, Debug)]
pub(crate) struct ProxyAddresses {
    /// Address that the VM listens on for peers.
    pub(crate) peer_target: SocketAddr,
    /// Address at which peers reach it.
    pub(crate) peer_proxy: SocketAddr,
    /// Address at which it reaches the log.
    pub(crate) log_proxy: SocketAddr,
}

/// Forwarders in front of every VM, and between each VM and the log.
///
/// An end is a VM or `log`. While a cut lasts, datagrams are lost, and what is sent on connections waits.
#[derive(Debug)]
pub struct Network {
    runtime: Option<Runtime>,
    state: watch::Sender<NetworkState>,
    vms: Vec<VmId>,
}

impl Network {
    /// Starts to forward.
    pub(crate) fn start(
        peers: &BTreeMap<VmId, ProxyAddresses>,
        log: SocketAddr,
    ) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        let state = watch::Sender::new(NetworkState::default());
        for (vm, address) in peers {
            runtime.block_on(start_proxies(vm, address, peers, log, &state))?;
        }
        Ok(Self {
            runtime: Some(runtime),
            state,
            vms: peers.keys().cloned().collect(),
        })
    }

    /// Cuts what one end sends to another.
    pub fn block(&self, from: &str, to: &str) {
        self.state.send_modify(|state| {
            state.blocked.insert((from.to_owned(), to.to_owned()));
        });
    }

    /// Cuts what two ends send to each other.
    pub fn block_both_ways(&self, a: &str, b: &str) {
        self.block(a, b);
        self.block(b, a);
    }

    /// Cuts a VM off from all others and from the log.
    pub fn isolate(&self, vm: &str) {
        let others = self.vms.iter().map(String::as_str);
        for other in others.filter(|other| *other != vm).chain([LOG_ENDPOINT]) {
            self.block_both_ways(vm, other);
        }
    }

    /// Ends all blocked.
    pub fn heal(&self) {
        self.state.send_modify(|state| state.blocked.clear());
    }

    /// Makes every open connection silent for good, while new ones work.
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

async fn start_proxies(
    vm: &VmId,
    address: &ProxyAddresses,
    peers: &BTreeMap<VmId, ProxyAddresses>,
    log: SocketAddr,
    state: &watch::Sender<NetworkState>,
) -> io::Result<()> {
    let to = (vm.clone(), address.peer_target);
    let senders = peers.iter();
    let senders = senders.map(|(name, address)| (address.peer_target, name.clone()));
    let socket = UdpSocket::bind(address.peer_proxy).await?;
    let datagrams = forward_datagrams(socket, senders.collect(), to.clone(), state.subscribe());
    tokio::spawn(datagrams);
    let peer_origin = ConnectionOrigin::FirstFrame(peers.keys().cloned().collect());
    let peer_connections = TcpListener::bind(address.peer_proxy).await?;
    tokio::spawn(forward_streams(
        peer_connections,
        peer_origin,
        to,
        state.subscribe(),
    ));
    let to_log = (LOG_ENDPOINT.to_owned(), log);
    let log_connections = TcpListener::bind(address.log_proxy).await?;
    let log_origin = ConnectionOrigin::Fixed(vm.clone());
    tokio::spawn(forward_streams(
        log_connections,
        log_origin,
        to_log,
        state.subscribe(),
    ));
    Ok(())
}
