//! What the local upstream says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use config::KeyRange;
use ids::Fence;
use ids::ServiceId;

/// What the local upstream tells its home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamMessage {
    /// It ends, or has ended.
    Left {
        /// Life of the upstream.
        instance: String,
    },
    /// It reports its state, and polls its grants.
    Report(UpstreamReport),
}

/// The state of the local upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamReport {
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Start of this life, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Time for which it stays cold.
    pub cold_left: Duration,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Keys that it holds or still works on.
    pub held: Vec<(KeyRange, Fence)>,
    /// Life of the upstream.
    pub instance: String,
    /// Keys that it has released since its last answered report, with what the next owner's upstream is to get.
    pub released: Vec<(KeyRange, String)>,
    /// Number of the report, rising within a life.
    pub sequence: u64,
    /// Service that it provides.
    pub service: ServiceId,
    /// Requests that it runs at once.
    pub slots: u32,
}
