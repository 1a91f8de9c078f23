//! Observation of a request that ran while an upstream crashed.

use serde::Serialize;

use crate::Fingerprint;

/// A request that was running when an upstream crashed, to be recorded in the log.
///
/// The home should delay the refusals of such requests until it reads the records back from the log,
/// for a bounded time, so that callers do not retry them at a home that does not know of the crash yet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CrashObservation {
    /// Whether the request ran alone because it was a suspect.
    pub alone: bool,
    /// Fingerprint of the request's content.
    pub fingerprint: Fingerprint,
}
