//! A request that may have crashed an upstream.

use serde::Serialize;

use crate::Fingerprint;

/// A request that ran while an upstream crashed, to be recorded in the log.
///
/// The refusals of the requests are to be held back until the records are read back, for a bounded
/// time, so that callers do not send them again to a home that knows nothing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CrashObservation {
    /// Whether nothing else ran.
    pub alone: bool,
    /// Identity of the request's content.
    pub fingerprint: Fingerprint,
}
