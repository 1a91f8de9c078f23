//! Links to peers.

mod link_pool;
mod peer_service;

pub(crate) use link_pool::LinkPool;
pub(crate) use link_pool::SILENT_AFTER;
pub(crate) use peer_service::PeerService;
