//! A network between the processes of a fleet that injects partitions and stalled connections.

mod datagrams;
mod forwarding;
mod network_state;
mod streams;

pub use forwarding::Network;
pub(crate) use forwarding::ProxyAddresses;
pub(crate) use network_state::NetworkState;

use datagrams::forward_datagrams;
use streams::ConnectionOrigin;
use streams::forward_streams;
