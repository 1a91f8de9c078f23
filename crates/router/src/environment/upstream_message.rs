//! Messages from the local upstream.

use std::net::SocketAddr;
use std::time::Duration;

use config::KeyRange;
use ids::Fence;
use ids::ServiceId;

/// A message from the local upstream to its home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamMessage {
    /// The upstream is stopping or has stopped.
    Left {
        /// Identifier of the upstream instance.
        instance: String,
    },
    /// The upstream checks in: it reports its state and polls its grants.
    CheckIn(UpstreamCheckIn),
}

/// Check-in of the local upstream, with its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamCheckIn {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Start time of this instance, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Remaining warm-up time.
    pub warm_up_left: Duration,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Keys that it holds, or for which it still runs requests. `None` if it does not state them.
    pub held: Option<Vec<(KeyRange, Fence)>>,
    /// Identifier of the upstream instance.
    pub instance: String,
    /// Keys that it has released since its last answered check-in, with the handover for the next owner's upstream.
    pub released: Vec<(KeyRange, String)>,
    /// Sequence number of the check-in, increasing within an instance.
    pub sequence: u64,
    /// Service that it provides.
    pub service: ServiceId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Version of the service that it runs, empty if it states none.
    pub version: String,
}
