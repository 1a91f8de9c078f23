//! Links to peers.

mod cancellable_calls;
mod link_pool;
mod peer_service;

pub(crate) use cancellable_calls::CancellableCalls;
pub(crate) use link_pool::LinkPool;
pub(crate) use link_pool::SILENCE_TIMEOUT;
pub(crate) use peer_service::PeerService;
