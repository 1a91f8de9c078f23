//! Reply for a request that the home does not know.

use prost::Message;

/// States that the home does not know a request, and will never run it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Barred {
    /// Time after the end of a request before which the home does not forget it, in milliseconds. A request that was sent longer
    /// ago may have run.
    #[prost(uint64, tag = "1")]
    pub remembered_for_ms: u64,
}
