//! A network between processes that is cut on command.

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
