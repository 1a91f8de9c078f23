//! What the fleet knows of a request's content.

use serde::Deserialize;
use serde::Serialize;

/// What the fleet knows of a request's content, from the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspicionLevel {
    /// It was among several that ran while one upstream crashed.
    Suspect,
    /// Two upstreams crashed while it ran, or one while it ran alone.
    Refused,
}
