//! Load of a home, in its reply to a request.

use prost::Message;

/// States the work of a home in its reply to a request, for entries that choose homes by it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HomeLoad {
    /// Work that the upstream still has to do, in milliseconds on an upstream of usual speed.
    #[prost(uint32, tag = "1")]
    pub remaining_ms: u32,
    /// Speed of the upstream relative to the usual one, in percent.
    #[prost(uint32, tag = "2")]
    pub speed_percent: u32,
    /// Cost that the home expects of requests like this one, in tenths of a millisecond on an upstream of usual speed.
    #[prost(uint32, tag = "3")]
    pub cost_tenths_ms: u32,
}
