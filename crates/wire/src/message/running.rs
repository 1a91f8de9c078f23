//! Reply for a request that is queued or running.

use prost::Message;

/// States that a request is queued or running and that its answer will follow.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Running {}
