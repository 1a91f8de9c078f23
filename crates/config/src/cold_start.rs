//! Load that an upstream can handle after its start.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Load that an upstream can handle while it is cold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Time after a start for which the upstream is cold, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that a cold upstream can handle.
    pub requests_per_second: u32,
}

impl ColdStart {
    /// Returns the time after a start for which the upstream is cold.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}
