//! Level of suspicion that a request crashes upstreams.

use serde::Deserialize;
use serde::Serialize;

/// Level of suspicion that requests with one fingerprint crash upstreams.
///
/// The log records one level for the whole fleet; a home also keeps levels from its own observations.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspicionLevel {
    /// The request was one of several that were running when an upstream crashed.
    Suspect,
    /// An upstream crashed while the request ran alone as a suspect, or upstreams crashed again and again while it ran.
    Refused,
}
