//! Running request that has made a call.

use prost::Message;

/// The running request that has made a call, and needs its answer to end.
///
/// The time that the parent has left is that of the call, which its dispatch states.
#[derive(Clone, Copy, Eq, PartialEq, Message)]
pub struct ParentRequest {
    /// Priority of the parent, 0 for the most urgent.
    #[prost(uint32, tag = "1")]
    pub priority: u32,
    /// Whether the parent may run again.
    #[prost(bool, tag = "2")]
    pub repeatable: bool,
}
