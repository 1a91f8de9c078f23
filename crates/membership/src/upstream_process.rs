//! Identity of one run of an upstream.

use serde::Deserialize;
use serde::Serialize;

/// Identity of one run of an upstream, which may keep its instance id when it starts again.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UpstreamProcess {
    /// Id of the instance.
    pub instance: String,
    /// Start time of the process, in milliseconds since the Unix epoch, or 0 if every start has a new instance id.
    pub started_unix_ms: u64,
}
