//! Evidence on a version, from a home to the deciders of the roll-out.

use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::VmId;
use prost::Message;

use crate::datagram::MAX_PAYLOAD_BYTES;
use crate::message::RolloutRoute;

/// Reports what a home has observed of its upstream during a roll-out of its service.
///
/// Counts are cumulative, so that a lost report loses nothing.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutReport {
    /// Service of the roll-out.
    #[prost(string, tag = "1")]
    pub service: ServiceId,
    /// Position of the order among the declarations of operators.
    #[prost(uint64, tag = "2")]
    pub position: Offset,
    /// The sender.
    #[prost(string, tag = "3")]
    pub vm: VmId,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: Incarnation,
    /// Sequence number, which increases with every report of this incarnation.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Whether no request waits for the upstream or runs on it.
    #[prost(bool, tag = "6")]
    pub idle: bool,
    /// Whether the sender has read that the target version is promoted.
    #[prost(bool, tag = "7")]
    pub has_read_promoted: bool,
    /// Evidence by route. Routes of the upstream that are not listed are reported by other datagrams.
    #[prost(message, repeated, tag = "8")]
    pub routes: Vec<RolloutRoute>,
}

impl RolloutReport {
    /// Divides the report into reports that each fit into a datagram, with sequence numbers from that of this report on.
    /// A route that does not fit into a datagram alone is left out.
    pub fn split(mut self) -> Vec<Self> {
        let routes = std::mem::take(&mut self.routes);
        let mut parts = vec![self];
        for route in routes {
            let last = parts.last_mut().expect("there is always a part");
            last.routes.push(route);
            if last.encoded_len() <= MAX_PAYLOAD_BYTES {
                continue;
            }
            let Some(route) = last.routes.pop() else {
                continue;
            };
            if last.routes.is_empty() {
                continue;
            }
            let next = Self {
                routes: vec![route],
                sequence: last.sequence + 1,
                ..last.clone()
            };
            if next.encoded_len() <= MAX_PAYLOAD_BYTES {
                parts.push(next);
            }
        }
        parts
    }
}
