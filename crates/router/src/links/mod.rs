//! Links to peers.

mod link_pool;
mod peer_service;

pub(crate) use link_pool::LinkPool;
pub(crate) use link_pool::SILENCE_TIMEOUT;
pub(crate) use peer_service::PeerService;
