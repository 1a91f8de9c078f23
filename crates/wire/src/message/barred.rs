//! Reply for a request that never runs.

use prost::Message;

/// States that a request has not run and will never run.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Barred {}
